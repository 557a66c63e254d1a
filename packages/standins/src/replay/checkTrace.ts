/** Compares what a replay saw with what its trace states, and with the promises that always hold. */
import type { CallerReport } from "../fleet/CallerClient.js";
import { getLayerCount } from "../fleet/seedConfiguration.js";
import type { TraceRecord } from "./TraceRun.js";
import type { CallLine, ExpectLine, RequestLine } from "./traceSchema.js";

/** New work must not reach a leaving endpoint after this time. */
const leavingGraceMs = 3_000;

/** What came of one request. */
export interface RequestOutcome {
  readonly outcome: string;
  readonly timesRun: number;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
}

/** The verdict on a replay. */
export interface TraceVerdict {
  readonly held: boolean;
  /** One sentence for each thing that did not hold. */
  readonly failed: readonly string[];
  readonly requests: Readonly<Record<string, RequestOutcome>>;
}

/** How strictly a replay is checked. */
export interface CheckOptions {
  /** Whether stated times count. Off in CI, whose machines' speed says nothing about the system. */
  readonly areTimesChecked: boolean;
}

/** Checks a replay; waits for the planned stops that it began. */
export async function checkTrace(
  record: TraceRecord,
  options: CheckOptions = { areTimesChecked: true },
): Promise<TraceVerdict> {
  const expectations = record.trace.expectations.map((line) =>
    options.areTimesChecked ? line : withoutTimes(line),
  );
  const failed = [
    ...expectations.flatMap((line) => checkExpectation(record, line)),
    ...record.trace.requests.flatMap((line) => checkRequest(record, line)),
    ...record.trace.calls.flatMap((line) => checkCall(record, line)),
    ...checkKeys(record),
    ...checkLeaving(record),
    ...(await checkStops(record)),
  ];
  const lines = [...record.trace.requests, ...record.trace.calls];
  const requests = Object.fromEntries(lines.map((line) => [line.id, toOutcome(record, line)]));
  return { held: failed.length === 0, failed, requests };
}

function withoutTimes(line: ExpectLine): ExpectLine {
  return { ...line, withinMs: undefined, firstTokenWithinMs: undefined };
}

function toOutcome(record: TraceRecord, line: RequestLine | CallLine): RequestOutcome {
  const report = record.reports.get(line.id);
  return {
    outcome: report?.outcome ?? "none",
    timesRun: getTimesRun(record, line),
    firstTokenMs: report?.firstTokenMs ?? null,
    totalMs: report?.totalMs ?? 0,
  };
}

/** Runs of a whole request: answers for a model, counted runs for a service. */
function getTimesRun(record: TraceRecord, line: RequestLine | CallLine): number {
  const report = record.reports.get(line.id);
  if (line.kind === "request") return report?.outcome === "answered" ? 1 : 0;
  if (line.key !== undefined) return record.fleet.runs.byKey.get(record.keys.get(line.key) ?? "") ?? 0;
  return record.fleet.runs.byRequestId.get(report?.requestId ?? "") ?? 0;
}

function checkExpectation(record: TraceRecord, expected: ExpectLine): string[] {
  if (expected.key !== undefined) return checkKeyExpectation(record, expected);
  const line = [...record.trace.requests, ...record.trace.calls].find(
    (candidate) => candidate.id === expected.id,
  );
  const report = record.reports.get(expected.id ?? "");
  if (line === undefined || report === undefined) return [`${expected.id ?? ""}: no outcome was seen.`];
  const failed: string[] = [];
  const allowed = expected.outcome === undefined ? undefined : [expected.outcome].flat();
  if (allowed !== undefined && !allowed.some((outcome) => outcome === report.outcome)) {
    failed.push(
      `${line.id}: outcome ${report.outcome} instead of ${allowed.join(" or ")} (${report.detail}).`,
    );
  }
  failed.push(...checkCount(line.id, getTimesRun(record, line), expected));
  if (
    expected.firstTokenWithinMs !== undefined &&
    (report.firstTokenMs ?? Infinity) > expected.firstTokenWithinMs
  ) {
    failed.push(
      `${line.id}: first token after ${report.firstTokenMs ?? "no"} ms instead of ${expected.firstTokenWithinMs}.`,
    );
  }
  if (expected.withinMs !== undefined && report.totalMs > expected.withinMs) {
    failed.push(`${line.id}: took ${report.totalMs} ms instead of ${expected.withinMs}.`);
  }
  return failed;
}

function checkKeyExpectation(record: TraceRecord, expected: ExpectLine): string[] {
  const key = expected.key ?? "";
  return checkCount(key, getKeyRuns(record, key), expected);
}

/** Runs of a key: calls that services counted, and model answers that were generated to their end. */
function getKeyRuns(record: TraceRecord, key: string): number {
  const runs = record.fleet.runs.byKey.get(record.keys.get(key) ?? "") ?? 0;
  const models = record.trace.requests.filter((line) => line.key === key);
  return runs + models.filter((line) => isGenerated(record, line)).length;
}

/** Whether engines generated the whole answer under this very request's id. */
function isGenerated(record: TraceRecord, line: RequestLine): boolean {
  const requestId = record.reports.get(line.id)?.requestId;
  if (requestId === undefined) return false;
  const positions = line.promptTokens + line.outputTokens - 1;
  const applications = record.fleet.applications.getApplications(requestId);
  return applications.some((application) => application.position + application.count >= positions);
}

function checkCount(name: string, timesRun: number, expected: ExpectLine): string[] {
  const failed: string[] = [];
  if (expected.timesRun !== undefined && timesRun !== expected.timesRun) {
    failed.push(`${name}: ran ${timesRun} times instead of ${expected.timesRun}.`);
  }
  if (expected.timesRunAtMost !== undefined && timesRun > expected.timesRunAtMost) {
    failed.push(`${name}: ran ${timesRun} times, at most ${expected.timesRunAtMost} allowed.`);
  }
  return failed;
}

function checkRequest(record: TraceRecord, line: RequestLine): string[] {
  const report = record.reports.get(line.id);
  if (report === undefined) return [`${line.id}: no outcome was seen.`];
  if (report.outcome === "wrong") return [`${line.id}: the caller saw tokens that are not the right ones.`];
  const { applications } = record.fleet;
  const requestId = report.requestId ?? "";
  if (report.outcome === "refused-not-run")
    return checkNotRun(line.id, applications.getApplications(requestId).length);
  // The later call of a key gets the answer that was generated under the first one's id.
  const isOwnRun = applications.getApplications(requestId).length > 0;
  if (report.outcome !== "answered" || (line.key !== undefined && !isOwnRun)) return [];
  const positions = line.promptTokens + line.outputTokens - 1;
  return applications.findFaults(requestId, getLayerCount(record.trace.setup, line.model), positions);
}

function checkCall(record: TraceRecord, line: CallLine): string[] {
  const report = record.reports.get(line.id);
  if (report === undefined) return [`${line.id}: no outcome was seen.`];
  if (report.outcome !== "refused-not-run") return [];
  return checkNotRun(line.id, record.fleet.runs.byRequestId.get(report.requestId ?? "") ?? 0);
}

function checkNotRun(id: string, runs: number): string[] {
  return runs === 0 ? [] : [`${id}: was refused as not run, but ran.`];
}

function checkKeys(record: TraceRecord): string[] {
  return [...record.keys.keys()].flatMap((key) =>
    checkCount(key, getKeyRuns(record, key), { kind: "expect", key, timesRunAtMost: 1 }),
  );
}

function checkLeaving(record: TraceRecord): string[] {
  const failed: string[] = [];
  const { engines, services, applications } = record.fleet;
  for (const { name, leavingSinceMs } of engines.values()) {
    if (leavingSinceMs === undefined) continue;
    const ids = applications.getRequestIds();
    const all = ids.flatMap((requestId) => applications.getApplications(requestId));
    const late = all.find((a) => a.endpoint === name && a.streamBeganAtMs > leavingSinceMs + leavingGraceMs);
    if (late !== undefined)
      failed.push(
        `${name}: got new work ${late.streamBeganAtMs - leavingSinceMs} ms after it began to leave.`,
      );
  }
  for (const { name, leavingSinceMs, callsAtMs } of services.values()) {
    const isLate =
      leavingSinceMs !== undefined && callsAtMs.some((atMs) => atMs > leavingSinceMs + leavingGraceMs);
    if (isLate) failed.push(`${name}: got new work after it began to leave.`);
  }
  return failed;
}

/** A planned stop cuts nothing: no request at that instance ends without its answer or a true refusal. */
async function checkStops(record: TraceRecord): Promise<string[]> {
  const failed: string[] = [];
  for (const [name, drain] of record.fleet.drains) {
    const { abortedRequestIds: cut } = await drain;
    if (cut.length > 0) failed.push(`${name}: its planned stop cut ${cut.length} requests.`);
    const lines = [...record.trace.requests, ...record.trace.calls].filter((line) => line.instance === name);
    for (const { id } of lines)
      if (isCut(record.reports.get(id))) failed.push(`${id}: was cut by the planned stop of ${name}.`);
  }
  return failed;
}

function isCut(report: CallerReport | undefined): boolean {
  return report === undefined || report.outcome === "cut";
}
