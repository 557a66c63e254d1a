/**
 * What instances tell each other of endpoints and demands. Within a zone the steward of an endpoint reads its report
 * and tells the others; across zones one instance a zone fetches a digest of another zone and passes it on.
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
import { digestSchema, getZoneSource, reportsSchema, type Digest, type Reports } from "./zoneFeedMessages.js";

const reportsTopic = "reports";
const digestTopic = "digest";
const leavingTopic = "endpoint-leaving";
/** A hung engine holds up nothing, so that a slow one may be waited for longer each time. */
const reportTimeoutMs = 400;
const longestReportTimeoutMs = 6_400;
const reportFloorMs = 200;
const digestFloorMs = 500;
const reportBytesPerSecond = 1_200;
const digestBytesPerSecond = 800;
const demandBytes = 25;
const demandBytesPerSecond = 600;
const loadBytes = 14;
/** A whole report, spread over the rounds between two of them. */
const fixedShareBytes = 26;
const digestTimeoutMs = 1_000;
const fullEveryRounds = 10;
/** A report that is older than this many rounds is fetched by each instance itself. */
const staleRounds = 5;

/** What the feed works on. */
export interface ZoneStateExchangeStructure {
  readonly membership: Membership;
  readonly directory: EndpointDirectory;
  readonly limits: AccountLimits;
  readonly demands: PipelineDemands;
  readonly versions: VersionsInUse;
  readonly onCpu: (duty: string, tookMs: number) => void;
}

/** Sends and takes reports, digests and demands. */
export class ZoneStateExchange {
  private _round = 0;
  private readonly _fetching = new Set<string>();
  private readonly _patience = new utils.AdaptiveTimeout(reportTimeoutMs, longestReportTimeoutMs);
  private _digestRound = 0;
  private _demandsToldAtMs = 0;
  private readonly _knownFixed = new Map<string, number>();
  private readonly _lastFull = new Map<string, string>();

  constructor(private readonly _structure: ZoneStateExchangeStructure) {
    const { membership, directory } = _structure;
    membership.onNotice(reportsTopic, (body, from) => this._takeReports(body, from.name));
    membership.onNotice(digestTopic, (body) => this._takeDigest(body));
    membership.onRequest(digestTopic, (body) => this._createDigest(body));
    membership.onNotice(leavingTopic, (body) => {
      if (typeof body === "string") directory.markDraining(body);
    });
    directory.onDraining((entry) => membership.notifyAll(leavingTopic, entry.name));
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this._runReports(signal), this._runDigests(signal)]);
  }

  private async _runReports(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startMs = utils.monotonicMs();
      const intervalMs = this._getReportIntervalMs();
      // Not waited for: an endpoint that hangs must not hold up the reports of the others.
      for (const entry of this._getOwnEndpoints(intervalMs)) void this._fetchOnce(entry);
      this._tellZone();
      await utils
        .sleep(Math.max(0, startMs + intervalMs - utils.monotonicMs()), signal)
        .catch(() => undefined);
    }
  }

  private _getReportIntervalMs(): number {
    const { membership } = this._structure;
    const receivers = membership.getZoneRoleCandidates().length - 1;
    const owned = this._getStewarded().length;
    return getBudgetIntervalMs({
      messageBytes: 60 + owned * (loadBytes + fixedShareBytes),
      receivers,
      bytesPerSecond: reportBytesPerSecond,
      floorMs: reportFloorMs,
    });
  }

  /** Endpoints that this instance reads: those it is steward of, and those whose steward has gone silent. */
  private _getOwnEndpoints(intervalMs: number): EndpointEntry[] {
    const staleMs = Math.max(utils.msPerSecond, intervalMs * staleRounds);
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

  private _getStewarded(): EndpointEntry[] {
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
          timeout: { request: this._patience.getTimeoutMs(entry.address) },
        })
        .json();
      this._patience.noteAnswer(entry.address, utils.monotonicMs() - startMs);
      const report = engineReportSchema.safeParse(body);
      if (report.success && report.data.name === entry.name) directory.setReport(report.data, true);
      else directory.markUnreachable(entry.name);
    } catch (error) {
      // One report that is late shows as well that this instance itself gets little of its core.
      const isEvidence = !(error instanceof TimeoutError) || this._patience.noteTimeout(entry.address);
      const failure = classifyHttpError(entry.address, error);
      if (isEvidence && errors.hasCode(failure, "not_reached", "connection_lost"))
        directory.markUnreachable(entry.name);
    }
  }

  private _tellZone(): void {
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
    for (const entry of this._getStewarded()) this._addReport(body, entry);
    const zone = membership.self.availabilityZone;
    membership.notifyAll(reportsTopic, body, (member) => member.availabilityZone === zone);
    this._structure.onCpu("reports", utils.monotonicMs() - startMs);
  }

  /** Demands are many bytes; they have a share of their own. */
  private _areDemandsDue(demandCount: number): boolean {
    const { membership } = this._structure;
    const intervalMs = getBudgetIntervalMs({
      messageBytes: demandCount * demandBytes,
      receivers: membership.getZoneRoleCandidates().length - 1,
      bytesPerSecond: demandBytesPerSecond,
      floorMs: reportFloorMs,
    });
    const nowMs = utils.monotonicMs();
    if (nowMs - this._demandsToldAtMs < intervalMs) return false;
    this._demandsToldAtMs = nowMs;
    return true;
  }

  /** Whole reports go out when anything but the load changed, and now and then; else the load alone. */
  private _addReport(body: Reports, entry: EndpointEntry): void {
    const report = entry.report;
    if (report === undefined || entry.isUnreachable) return;
    const fixedPart = toFixedPart(report);
    if (this._lastFull.get(entry.name) === fixedPart && this._round % fullEveryRounds !== 0) {
      body.loads.push([entry.name, report.activeStreams]);
      return;
    }
    this._lastFull.set(entry.name, fixedPart);
    body.full.push(report);
  }

  private _takeReports(body: unknown, from: string): void {
    const startMs = utils.monotonicMs();
    const reports = reportsSchema.safeParse(body);
    if (!reports.success) return;
    this._applyReports(reports.data);
    if (reports.data.accounts !== undefined) this._structure.limits.setDemands(from, reports.data.accounts);
    this._structure.demands.setOther(from, reports.data.pipelines, 1);
    this._structure.versions.setOther(from, reports.data.versions);
    this._structure.onCpu("reports", utils.monotonicMs() - startMs);
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
      await Promise.all(this._getOtherZones().map((zone) => this._fetchDigest(zone)));
      await utils.sleep(this._getDigestIntervalMs(), signal).catch(() => undefined);
    }
  }

  private _getDigestIntervalMs(): number {
    const { membership, directory } = this._structure;
    const zones = new Set(directory.getEntries().map((entry) => entry.availabilityZone)).size;
    const zoneEndpoints = directory.getEntries().length / Math.max(1, zones);
    return getBudgetIntervalMs({
      messageBytes: (100 + zoneEndpoints * (loadBytes + fixedShareBytes)) * this._getOtherZones().length,
      receivers: membership.getZoneRoleCandidates().length - 1,
      bytesPerSecond: digestBytesPerSecond,
      floorMs: digestFloorMs,
    });
  }

  /** Zones whose digest is ours to fetch. */
  private _getOtherZones(): string[] {
    const { membership } = this._structure;
    const zones = new Set(membership.getLinked().map((member) => member.availabilityZone));
    zones.delete(membership.self.availabilityZone);
    return [...zones].filter((zone) => membership.ownsZoneRole(`digest:${zone}`));
  }

  private async _fetchDigest(zone: string): Promise<void> {
    const { membership } = this._structure;
    const contact = membership.getLinked().find((member) => member.availabilityZone === zone);
    if (contact === undefined) return;
    // The fixed parts come when they have changed, and now and then for those who joined meanwhile.
    this._digestRound += 1;
    const known = this._digestRound % fullEveryRounds === 0 ? null : (this._knownFixed.get(zone) ?? null);
    const digest = await membership.request(contact.name, digestTopic, known, digestTimeoutMs);
    if (digest.err) return;
    this._takeDigest(digest.val);
    const own = membership.self.availabilityZone;
    membership.notifyAll(digestTopic, digest.val, (member) => member.availabilityZone === own);
  }

  /** This zone's digest. `known` is the hash of the fixed parts that the asking instance has. */
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

  /** Instances of this zone that are linked, this one left out. */
  private _getLinkedNames(): string[] {
    const { membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const linked = membership.getLinked().filter((member) => member.availabilityZone === zone);
    return linked.map((member) => member.name);
  }

  private _takeDigest(body: unknown): void {
    const startMs = utils.monotonicMs();
    const digest = digestSchema.safeParse(body);
    if (!digest.success) return;
    const { availabilityZone, instanceCount, accounts, pipelines, fixedHash, full } = digest.data;
    if (full.length > 0) this._knownFixed.set(availabilityZone, fixedHash);
    this._applyReports(digest.data);
    this._structure.limits.setDemands(getZoneSource(availabilityZone), accounts ?? [], instanceCount);
    this._structure.demands.setOther(getZoneSource(availabilityZone), pipelines, instanceCount);
    this._structure.versions.setOther(getZoneSource(availabilityZone), digest.data.versions);
    this._structure.onCpu("digests", utils.monotonicMs() - startMs);
  }
}

/** Everything in a report but the load. */
function toFixedPart(report: EngineReport): string {
  return JSON.stringify({ ...report, activeStreams: 0 });
}
