/**
 * Exchange of engine reports and demands between instances. Within a zone the owner of an engine polls its report and
 * broadcasts it to the other instances; across zones one instance per zone fetches the digest of another zone and
 * broadcasts it within its own.
 */
import { errors, utils } from "@shedtiller/common";
import type { AccountLimits } from "@shedtiller/admission";
import { getBudgetIntervalMs, type Membership } from "@shedtiller/membership";
import { classifyHttpError } from "@shedtiller/logservice";
import {
  engineReportSchema,
  type EndpointDirectory,
  type EndpointEntry,
  type EngineReport,
} from "@shedtiller/routing";
import got, { TimeoutError } from "got";
import type { PipelineDemands } from "./PipelineDemands.js";
import type { VersionsInUse } from "./VersionsInUse.js";
import {
  digestSchema,
  getZoneSource,
  reportsSchema,
  type Digest,
  type Reports,
} from "./zoneStateMessages.js";

const reportsTopic = "reports";
const digestTopic = "digest";
const drainingTopic = "endpoint-leaving";
/**
 * The timeout of a report request grows with each late reply, up to the maximum. A long timeout does no harm, since reports
 * are fetched concurrently and a hung engine delays no other.
 */
const initialReportTimeoutMs = 400;
const maxReportTimeoutMs = 6_400;
const minReportIntervalMs = 200;
const minDigestIntervalMs = 500;
/** Control traffic that one instance may send per second, by kind of message. */
const reportBytesPerSecond = 1_200;
const digestBytesPerSecond = 800;
/** Estimated size of an account's demand in a message. */
const demandBytes = 25;
const demandBytesPerSecond = 600;
/** Estimated size of an engine's load in a message. */
const loadBytes = 14;
/** Size of a full report, divided by the rounds between two full reports. */
const amortizedFixedBytes = 26;
const digestTimeoutMs = 1_000;
const roundsPerFullReport = 10;
/** An instance polls an engine itself once the engine's last report is older than this many rounds. */
const maxReportAgeRounds = 5;

/** Dependencies of {@link ZoneStateExchange}. */
export interface ZoneStateExchangeStructure {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly limits: AccountLimits;
  readonly demands: PipelineDemands;
  readonly versions: VersionsInUse;
  /** Records the time for which a control duty occupied the event loop. */
  readonly recordDutyTime: (duty: string, tookMs: number) => void;
}

/** Sends and receives engine reports, zone digests, demands and the versions in use. */
export class ZoneStateExchange {
  private _round = 0;
  private readonly _fetching = new Set<string>();
  private readonly _reportTimeouts = new utils.AdaptiveTimeout(initialReportTimeoutMs, maxReportTimeoutMs);
  private _digestFetches = 0;
  private _demandsSentAtMs = 0;
  private readonly _fixedHashes = new Map<string, number>();
  private readonly _lastFixedParts = new Map<string, string>();

  constructor(private readonly _structure: ZoneStateExchangeStructure) {
    const { membership, directory } = _structure;
    membership.onNotice(reportsTopic, (body, from) => this._handleReports(body, from.name));
    membership.onNotice(digestTopic, (body) => this._handleDigest(body));
    membership.onRequest(digestTopic, (body) => this._createDigest(body));
    membership.onNotice(drainingTopic, (body) => {
      if (typeof body === "string") directory.markDraining(body);
    });
    directory.onDraining((entry) => membership.notifyAll(drainingTopic, entry.name));
  }

  /** Exchanges reports within the zone and digests with other zones until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this._runReports(signal), this._runDigests(signal)]);
  }

  private async _runReports(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startMs = utils.monotonicMs();
      const intervalMs = this._getReportIntervalMs();
      // The fetches are not awaited: an engine that hangs must not delay the reports of the others.
      for (const entry of this._getEnginesToPoll(intervalMs)) void this._fetchOnce(entry);
      this._broadcastReports();
      await utils
        .sleep(Math.max(0, startMs + intervalMs - utils.monotonicMs()), signal)
        .catch(() => undefined);
    }
  }

  private _getReportIntervalMs(): number {
    const { membership } = this._structure;
    const receivers = membership.getZoneRoleCandidates().length - 1;
    const owned = this._getOwnedEngines().length;
    return getBudgetIntervalMs({
      messageBytes: 60 + owned * (loadBytes + amortizedFixedBytes),
      receivers,
      bytesPerSecond: reportBytesPerSecond,
      floorMs: minReportIntervalMs,
    });
  }

  /** Returns the engines to poll: those that this instance owns, and those that are unreachable or lack a recent report. */
  private _getEnginesToPoll(intervalMs: number): EndpointEntry[] {
    const staleMs = Math.max(utils.msPerSecond, intervalMs * maxReportAgeRounds);
    const nowMs = utils.monotonicMs();
    const zone = this._structure.membership.self.availabilityZone;
    return this._structure.directory.getEntries().filter((entry) => {
      if (entry.role !== "engine") return false;
      if (entry.isUnreachable || entry.report === undefined) return true;
      if (entry.availabilityZone === zone && this._structure.membership.ownsZoneRole(`report:${entry.name}`))
        return true;
      return nowMs - entry.reportAtMs > staleMs;
    });
  }

  /** Returns the engines of this zone whose reports this instance broadcasts. */
  private _getOwnedEngines(): EndpointEntry[] {
    const { membership, directory } = this._structure;
    const zone = membership.self.availabilityZone;
    return directory
      .getEntries()
      .filter(
        (e) =>
          e.role === "engine" && e.availabilityZone === zone && membership.ownsZoneRole(`report:${e.name}`),
      );
  }

  private async _fetchOnce(entry: EndpointEntry): Promise<void> {
    if (this._fetching.has(entry.name)) return;
    this._fetching.add(entry.name);
    await this._fetchReport(entry);
    this._fetching.delete(entry.name);
  }

  private async _fetchReport(entry: EndpointEntry): Promise<void> {
    const { directory } = this._structure;
    const startMs = utils.monotonicMs();
    try {
      const body: unknown = await got
        .get(`http://${entry.address}/v1/state`, {
          retry: { limit: 0 },
          timeout: { request: this._reportTimeouts.getTimeoutMs(entry.address) },
        })
        .json();
      this._reportTimeouts.noteAnswer(entry.address, utils.monotonicMs() - startMs);
      const report = engineReportSchema.safeParse(body);
      if (report.success && report.data.name === entry.name) directory.setReport(report.data, true);
      else directory.markUnreachable(entry.name);
    } catch (error) {
      // A single late report is no evidence against the engine: this instance itself may be short of CPU time.
      const isEvidence = !(error instanceof TimeoutError) || this._reportTimeouts.noteTimeout(entry.address);
      const failure = classifyHttpError(entry.address, error);
      if (isEvidence && errors.hasCode(failure, "not_reached", "connection_lost"))
        directory.markUnreachable(entry.name);
    }
  }

  private _broadcastReports(): void {
    const startMs = utils.monotonicMs();
    const { membership, limits, demands, versions } = this._structure;
    this._round += 1;
    const ownDemands = limits.getDemands();
    const accounts = this._areDemandsDue(ownDemands.length) ? ownDemands : undefined;
    const body: Reports = {
      full: [],
      loads: [],
      accounts,
      pipelines: demands.getOwn(),
      versions: versions.getOwn(),
    };
    for (const entry of this._getOwnedEngines()) this._addReport(body, entry);
    const zone = membership.self.availabilityZone;
    membership.notifyAll(reportsTopic, body, (member) => member.availabilityZone === zone);
    this._structure.recordDutyTime("reports", utils.monotonicMs() - startMs);
  }

  /** Returns whether to send the accounts' demands in this round. They are large, and have a traffic budget of their own. */
  private _areDemandsDue(demandCount: number): boolean {
    const { membership } = this._structure;
    const intervalMs = getBudgetIntervalMs({
      messageBytes: demandCount * demandBytes,
      receivers: membership.getZoneRoleCandidates().length - 1,
      bytesPerSecond: demandBytesPerSecond,
      floorMs: minReportIntervalMs,
    });
    const nowMs = utils.monotonicMs();
    if (nowMs - this._demandsSentAtMs < intervalMs) return false;
    this._demandsSentAtMs = nowMs;
    return true;
  }

  /**
   * Adds an engine's report to a message: the full report if anything but the load has changed, and in every tenth round;
   * otherwise only the load.
   */
  private _addReport(body: Reports, entry: EndpointEntry): void {
    const report = entry.report;
    if (report === undefined || entry.isUnreachable) return;
    const fixedPart = toFixedPart(report);
    if (this._lastFixedParts.get(entry.name) === fixedPart && this._round % roundsPerFullReport !== 0) {
      body.loads.push([entry.name, report.activeStreams]);
      return;
    }
    this._lastFixedParts.set(entry.name, fixedPart);
    body.full.push(report);
  }

  private _handleReports(body: unknown, from: string): void {
    const startMs = utils.monotonicMs();
    const reports = reportsSchema.safeParse(body);
    if (!reports.success) return;
    this._applyReports(reports.data);
    if (reports.data.accounts !== undefined) this._structure.limits.setDemands(from, reports.data.accounts);
    this._structure.demands.setOther(from, reports.data.pipelines, 1);
    this._structure.versions.setOther(from, reports.data.versions);
    this._structure.recordDutyTime("reports", utils.monotonicMs() - startMs);
  }

  private _applyReports(reports: Reports): void {
    const { directory } = this._structure;
    for (const report of reports.full) directory.setReport(report, false);
    for (const [name, activeStreams] of reports.loads) {
      const known = directory.getEntry(name)?.report;
      if (known !== undefined) directory.setReport({ ...known, activeStreams }, false);
    }
  }

  private async _runDigests(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await Promise.all(this._getZonesToFetch().map((zone) => this._fetchDigest(zone)));
      await utils.sleep(this._getDigestIntervalMs(), signal).catch(() => undefined);
    }
  }

  private _getDigestIntervalMs(): number {
    const { membership, directory } = this._structure;
    const zones = new Set(directory.getEntries().map((entry) => entry.availabilityZone)).size;
    const zoneEndpoints = directory.getEntries().length / Math.max(1, zones);
    return getBudgetIntervalMs({
      messageBytes:
        (100 + zoneEndpoints * (loadBytes + amortizedFixedBytes)) * this._getZonesToFetch().length,
      receivers: membership.getZoneRoleCandidates().length - 1,
      bytesPerSecond: digestBytesPerSecond,
      floorMs: minDigestIntervalMs,
    });
  }

  /** Returns the linked zones whose digest this instance has to fetch. */
  private _getZonesToFetch(): string[] {
    const { membership } = this._structure;
    const zones = new Set(membership.getLinked().map((member) => member.availabilityZone));
    zones.delete(membership.self.availabilityZone);
    return [...zones].filter((zone) => membership.ownsZoneRole(`digest:${zone}`));
  }

  private async _fetchDigest(zone: string): Promise<void> {
    const { membership } = this._structure;
    const contact = membership.getLinked().find((member) => member.availabilityZone === zone);
    if (contact === undefined) return;
    // The digest has the full reports if they have changed, and in every tenth fetch for instances that joined meanwhile.
    this._digestFetches += 1;
    const known =
      this._digestFetches % roundsPerFullReport === 0 ? null : (this._fixedHashes.get(zone) ?? null);
    const digest = await membership.request(contact.name, digestTopic, known, digestTimeoutMs);
    if (digest.err) return;
    this._handleDigest(digest.val);
    const ownZone = membership.self.availabilityZone;
    membership.notifyAll(digestTopic, digest.val, (member) => member.availabilityZone === ownZone);
  }

  /**
   * Creates this zone's digest.
   * @param known - Hash of the reports without their loads, as the requesting instance has them.
   */
  private _createDigest(known: unknown): Digest {
    const { membership, directory, limits, demands, versions } = this._structure;
    const zone = membership.self.availabilityZone;
    const reports = directory
      .getEntries()
      .filter((entry) => entry.availabilityZone === zone && !entry.isUnreachable)
      .flatMap((entry) => entry.report ?? []);
    const fixedHash = utils.hash32(reports.map(toFixedPart).join());
    const isKnown = known === fixedHash;
    return {
      availabilityZone: zone,
      instanceCount: membership.getZoneRoleCandidates().length,
      fixedHash,
      full: isKnown ? [] : reports,
      loads: isKnown ? reports.map((report) => [report.name, report.activeStreams]) : [],
      accounts: limits.getZoneDemands(this._getZoneNames()),
      pipelines: demands.getZone(this._getZoneNames()),
      versions: versions.getZone(this._getLinkedNames()),
    };
  }

  private _getZoneNames(): Set<string> {
    const { membership } = this._structure;
    const zone = membership.self.availabilityZone;
    return new Set(
      membership
        .getMembers()
        .filter((m) => m.availabilityZone === zone)
        .map((m) => m.name),
    );
  }

  /** Returns the names of the linked instances of this zone, without this instance. */
  private _getLinkedNames(): string[] {
    const { membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const linked = membership.getLinked().filter((member) => member.availabilityZone === zone);
    return linked.map((member) => member.name);
  }

  private _handleDigest(body: unknown): void {
    const startMs = utils.monotonicMs();
    const digest = digestSchema.safeParse(body);
    if (!digest.success) return;
    const { availabilityZone, instanceCount, accounts, pipelines, fixedHash, full } = digest.data;
    if (full.length > 0) this._fixedHashes.set(availabilityZone, fixedHash);
    this._applyReports(digest.data);
    this._structure.limits.setDemands(getZoneSource(availabilityZone), accounts ?? [], instanceCount);
    this._structure.demands.setOther(getZoneSource(availabilityZone), pipelines, instanceCount);
    this._structure.versions.setOther(getZoneSource(availabilityZone), digest.data.versions);
    this._structure.recordDutyTime("digests", utils.monotonicMs() - startMs);
  }
}

/** Returns a report without its load, as text for comparison. */
function toFixedPart(report: EngineReport): string {
  return JSON.stringify({ ...report, activeStreams: 0 });
}
