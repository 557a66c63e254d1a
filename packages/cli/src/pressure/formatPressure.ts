/** Text for the decisions under load of several instances, by availability zone. */
import { utils } from "@shedtiller/common";
import { getEntryKey, type PressureEntry, type PressureReport } from "@shedtiller/gateway";

/** Figures of a live collector are at most this old; older ones mean that the collector is away. */
const maxLiveAgeMs = 1_000;
const valueDigits = 3;

/** Headings of the decisions, in the order in which they are printed. Decisions without a heading follow under their own names. */
const headings: Readonly<Record<string, string>> = {
  urgencyLevels: "level of admission, and who is refused",
  accountShares: "client accounts that are refused",
  zoneFlows: "flows between zones",
  firstEngineShare: "first engines, and the share that each begins",
};

/** An entry as one instance reports it. */
interface InstanceEntry {
  readonly entry: PressureEntry;
  readonly report: PressureReport;
}

/** Formats the reports, one section for each zone and within it one for each decision. */
export function formatPressure(reports: readonly PressureReport[]): string[] {
  const zones = utils.groupBy(reports, (report) => report.availabilityZone);
  return [...zones]
    .sort(([a], [b]) => a.localeCompare(b))
    .flatMap(([zone, inZone]) => formatZone(zone, inZone));
}

function formatZone(zone: string, reports: readonly PressureReport[]): string[] {
  const collectors = [...new Set(reports.map((report) => report.collector))].sort();
  const names = `${collectors.length === 1 ? "collector" : "collectors"} ${collectors.join(" and ")}`;
  const entries = reports.flatMap((report) => report.entries.map((entry) => ({ entry, report })));
  const decisions = utils.groupBy(entries, ({ entry }) => entry.decision);
  const sections = [...decisions]
    .sort(([a], [b]) => getRank(a) - getRank(b) || a.localeCompare(b))
    .flatMap(([decision, ofDecision]) => formatDecision(decision, ofDecision));
  return [
    `zone ${zone}: ${names}, ${reports.length} ${reports.length === 1 ? "instance" : "instances"} asked`,
    ...reports.flatMap(formatUnknown),
    ...(sections.length > 0 ? sections : ["  no decision has an effect"]),
  ];
}

function getRank(decision: string): number {
  const rank = Object.keys(headings).indexOf(decision);
  return rank < 0 ? Object.keys(headings).length : rank;
}

function formatDecision(decision: string, entries: readonly InstanceEntry[]): string[] {
  const subjects = utils.groupBy(entries, ({ entry }) => getEntryKey(entry));
  const lines = [...subjects.values()].map((ofSubject) => formatSubject(ofSubject));
  return [`  ${headings[decision] ?? decision}`, ...lines.map((line) => `    ${line}`)];
}

/** Formats what one or several instances report about the same subject; the reason is the one with the most recent inputs. */
function formatSubject(entries: readonly InstanceEntry[]): string {
  const values = entries.map(({ entry }) => entry.value);
  const newest = entries.reduce((best, next) => (next.entry.ageMs < best.entry.ageMs ? next : best));
  const { service, subject, reason, ageMs } = newest.entry;
  const [lowest, highest] = [formatNumber(Math.min(...values)), formatNumber(Math.max(...values))];
  const value = lowest === highest ? lowest : `${lowest} to ${highest} (${values.length} instances)`;
  return `${service}  ${subject}  ${value}  ${reason} (${formatAge(ageMs)} old)`;
}

/** Returns the lines that say what an instance does not know, and what entries it left out. */
function formatUnknown(report: PressureReport): string[] {
  const { instance, collector, isCollector, figuresAgeMs, omitted } = report;
  const omission =
    omitted > 0 ? [`  ${instance} left out ${omitted} smaller values; see its log for their changes`] : [];
  if (figuresAgeMs !== undefined && figuresAgeMs <= maxLiveAgeMs) return omission;
  const unknown = "figures of all other instances and the zone's decisions";
  const silence =
    figuresAgeMs === undefined
      ? `${unknown} have not arrived since its start`
      : `${unknown} are ${formatAge(figuresAgeMs)} old`;
  const source = isCollector ? "it collects them itself" : `the collector ${collector} is silent`;
  return [`  not known to ${instance}: ${silence}; ${source}`, ...omission];
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(valueDigits)));
}

function formatAge(ageMs: number): string {
  return `${(ageMs / utils.msPerSecond).toFixed(1)} s`;
}
