import { utils } from "@shedtiller/common";
import {
  CompletedRequests,
  CrashLedger,
  quarantineWeight,
  trialElsewhereRetryAfterMs,
  noCrashReports,
  type CrashReportsMessage,
  type QuarantineMessage,
  type RequestIdentity,
  type ProbeResult,
} from "@shedtiller/crashes";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** A run that continues for this long after its first event has survived its initial phase. */
export const initialPhaseMs = 250;
/** Weight of the evidence if the endpoint had not shown that the run had begun: the request may merely have been queued there. */
const notStartedWeight = 0.5;
/** Timeout of a probe: an endpoint on a live machine accepts or refuses a connection within milliseconds. */
const probeTimeoutMs = 300;
/**
 * Maximum duration of an investigation whose probe got no answer: three heartbeats and a read of the list, within which the entry of a
 * crashed endpoint disappears or shows a new start.
 */
const decisionTimeoutMs = 6_000;
/**
 * Maximum time for which a suspect waits until another run of the same request has survived its initial phase at this instance or ended.
 */
const maxTurnWaitMs = 600;
/**
 * Weight from which a request counts as a high risk. Requests that fail together are often retried together, so that two crashes may still
 * be coincidence; a third one should not cost a zone its service.
 */
const highRiskWeight = 2;
const turnPollIntervalMs = 10;

/** A run of a request that is in flight. */
export interface TrackedRun {
  readonly request: { readonly digest: string };
  /** The endpoint that the run was sent to. */
  readonly endpointId: string;
  /** Whether the endpoint has shown that it runs the request. */
  readonly hasBegun: boolean;
  /** Monotonic time of the first event; undefined before that event. */
  readonly firstEventAtMs: number | undefined;
}

/** How likely a request is to crash the engine that its chain begins with. */
export type CrashRisk = "none" | "some" | "high";

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorStructure {
  readonly endpoints: Pick<EndpointTable, "get" | "onChanged">;
  readonly log: DecisionLog;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  /** Broadcasts crash reports to the peers. */
  readonly broadcast: (reports: CrashReportsMessage) => void;
  /** Returns how many other instances may try a request before this one once its quarantine has ended. */
  readonly getTrialRank: (digest: string) => number;
  readonly count?: (event: "crash" | "held-back") => void;
  /** Called for each endpoint that has turned out to have crashed. */
  readonly onCrash?: ((endpoint: Endpoint) => void) | undefined;
  /** Stores a quarantine so that it outlasts a restart of all instances; undefined removes it. */
  readonly persist?: (digest: string, quarantine: QuarantineMessage | undefined) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

interface IdentifiedRequest {
  readonly digest: string;
  readonly identity: RequestIdentity;
}

/** A completed run whose endpoint has not been confirmed as alive since. */
interface CompletedRun {
  readonly kind: string;
  readonly request: IdentifiedRequest;
  readonly endpoint: Endpoint;
  readonly endedAtMs: number;
}

/** The investigation of an endpoint that closed connections, until it is known whether the endpoint crashed. */
interface Investigation {
  readonly endpoint: Endpoint;
  readonly lifeId: string;
  readonly atMs: number;
  readonly suspects: Map<string, number>;
  readonly decided: Promise<void>;
}

/**
 * Detects requests that crash endpoints, and quarantines them. A run whose connection is lost before the end of its initial phase makes its
 * request a suspect if the endpoint turns out to have crashed. Each instance has one detector.
 */
export class CrashDetector {
  readonly ledger: CrashLedger;
  private readonly _runs = new Set<TrackedRun>();
  private readonly _investigations = new Map<string, Investigation>();
  /** Lives of endpoints whose crash this instance detected itself. */
  private readonly _detectedHere = new Set<string>();
  private readonly _completedRuns = new Set<CompletedRun>();
  private readonly _completed = new CompletedRequests();
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;

  constructor(private readonly _structure: CrashDetectorStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._pause = _structure.pause ?? utils.sleep;
    this.ledger = new CrashLedger(this._nowMs);
    this.ledger.onQuarantineChanged((digest, quarantine) => this._noteQuarantine(digest, quarantine));
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "gone" || event === "restarted") this._endLife(endpoint);
    });
  }

  /** Whether there are no suspects, quarantines or investigations, so that requests need not be looked up. */
  get isQuiet(): boolean {
    return this.ledger.isEmpty && this._investigations.size === 0;
  }

  /** Records that a run is being sent. */
  begin(run: TrackedRun): void {
    this._runs.add(run);
    if (this.isQuiet || this.ledger.getStatus(run.request.digest) !== "due-for-trial") return;
    const trial = this.ledger.noteTrial({ digest: run.request.digest, ageMs: 0 });
    if (trial !== undefined) this._structure.broadcast({ ...noCrashReports, trials: [trial] });
  }

  /** Records that a run is over. */
  end(run: TrackedRun): void {
    this._runs.delete(run);
  }

  /** Releases a request on behalf of an operator, at this instance and at all peers. */
  release(digest: string): void {
    const cleared = this.ledger.release(digest);
    if (cleared !== undefined) this._structure.broadcast({ ...noCrashReports, clearings: [cleared] });
  }

  /**
   * Records that an endpoint completed a run. A run that survived its initial phase clears its request immediately. A shorter run, for
   * example one that resumed a stream near its end, may end just before its endpoint crashes. Such a run clears its request only if the
   * endpoint is still alive after the length of an initial phase.
   */
  noteCompleted(kind: string, request: IdentifiedRequest, run: TrackedRun, endpoint: Endpoint): void {
    const completed: CompletedRun = { kind, request, endpoint, endedAtMs: this._nowMs() };
    if (this._hasSurvived(run)) return this._noteHarmless(completed);
    this._completedRuns.add(completed);
    void this._pause(initialPhaseMs).then(() => this._settle(completed));
  }

  /** Records that a run of a request survived its initial phase. */
  noteSurvived(request: { readonly digest: string }): void {
    if (this.isQuiet) return;
    const { digest } = request;
    for (const investigation of this._investigations.values()) investigation.suspects.delete(digest);
    const wasQuarantined = this.ledger.getQuarantineCount(digest) > 0;
    const cleared = this.ledger.noteSurvived(digest, this._nowMs());
    if (cleared === undefined) return;
    this._structure.broadcast({ ...noCrashReports, clearings: [cleared] });
    if (wasQuarantined) this._structure.persist?.(digest, undefined);
  }

  /**
   * Records that an endpoint closed the connection of a run; resolves once it is known whether the endpoint crashed.
   * @param endpoint - The endpoint that closed the connection, which may be another one of the chain than the first.
   */
  async noteLost(run: TrackedRun, endpoint: Endpoint): Promise<void> {
    if (this._hasSurvived(run)) return this.noteSurvived(run.request);
    // An endpoint that stops as planned closes its remaining connections.
    const listed = this._structure.endpoints.get(endpoint.id);
    if (listed === undefined || endpoint.listed.isDraining) return;
    const investigation = this._investigations.get(endpoint.lifeId) ?? this._investigate(endpoint);
    const { digest } = run.request;
    const weight = run.hasBegun ? 1 : notStartedWeight;
    investigation.suspects.set(digest, Math.max(weight, investigation.suspects.get(digest) ?? 0));
    if (listed !== endpoint) return this._close(investigation, true);
    await investigation.decided;
  }

  /**
   * Checks whether a request is quarantined; called right before each send.
   * @returns The time after which the request may be sent again, or undefined if it may be sent now.
   */
  getQuarantineMs(request: { readonly digest: string }): number | undefined {
    if (this.isQuiet) return undefined;
    const { digest } = request;
    const status = this.ledger.getStatus(digest);
    if (status === "held") return this._countRejection(this.ledger.getQuarantineLeftMs(digest));
    if (status !== "due-for-trial" || this._isOwnTurn(digest)) return undefined;
    return this._countRejection(trialElsewhereRetryAfterMs);
  }

  /** Returns the risk of a request right before it is sent. */
  getRisk(request: { readonly digest: string }): CrashRisk {
    if (this.isQuiet) return "none";
    const weight = this._getWeight(request.digest);
    if (weight >= highRiskWeight || this.ledger.getStatus(request.digest) === "due-for-trial") return "high";
    return weight > 0 ? "some" : "none";
  }

  /** Waits until the risk of a request can be evaluated: a suspect has at most one run in its initial phase at a time per instance. */
  async waitForTurn(request: { readonly digest: string }): Promise<void> {
    if (this.isQuiet) return;
    const { digest } = request;
    const untilMs = this._nowMs() + maxTurnWaitMs;
    while (this._mustWait(digest) && this._nowMs() < untilMs) await this._pause(turnPollIntervalMs);
  }

  /**
   * Returns the endpoints at which other suspects are in their initial phase, since a crash there could not be attributed to one of them.
   */
  getAvoidedEndpointIds(request: { readonly digest: string }): string[] {
    if (this.isQuiet || this._getWeight(request.digest) === 0) return [];
    return [...this._runs].flatMap((run) => {
      const isOther = run.request.digest !== request.digest && !this._hasSurvived(run);
      return isOther && this._getWeight(run.request.digest) > 0 ? [run.endpointId] : [];
    });
  }

  /** Merges crash reports from a peer, and returns the parts that were new. */
  mergeReports(reports: CrashReportsMessage): CrashReportsMessage {
    this._clearCompleted(reports.crashes.flatMap(({ suspects }) => suspects.map(([digest]) => digest)));
    const added = this.ledger.mergeReports(reports);
    for (const { lifeId } of reports.crashes) this._countCompleted(lifeId);
    for (const { suspects } of added.crashes) this._clearByOwnRuns(suspects.map(([digest]) => digest));
    return added;
  }

  private _mustWait(digest: string): boolean {
    const weight = this._getWeight(digest);
    if (weight === 0) return false;
    return this._isStarting(digest) || (weight >= quarantineWeight && this._isUndecided(digest));
  }

  /** Returns whether an endpoint that ran the request is under investigation; its crash may be the one that quarantines the request. */
  private _isUndecided(digest: string): boolean {
    return [...this._investigations.values()].some((investigation) => investigation.suspects.has(digest));
  }

  /** Returns whether a run of the request at this instance is in its initial phase, or completed too recently to clear the request. */
  private _isStarting(digest: string): boolean {
    for (const { request } of this._completedRuns) if (request.digest === digest) return true;
    for (const run of this._runs) {
      if (run.request.digest === digest && !this._hasSurvived(run)) return true;
    }
    return false;
  }

  /** Returns the weight of the evidence against a request, including that of endpoints under investigation. */
  private _getWeight(digest: string): number {
    let weight = this.ledger.getWeight(digest);
    for (const investigation of this._investigations.values())
      weight += investigation.suspects.get(digest) ?? 0;
    return weight;
  }

  private _hasSurvived({ firstEventAtMs }: TrackedRun): boolean {
    return firstEventAtMs !== undefined && this._nowMs() - firstEventAtMs >= initialPhaseMs;
  }

  private _investigate(endpoint: Endpoint): Investigation {
    const { lifeId } = endpoint;
    const probed = this._structure.probe(endpoint.listed.address, probeTimeoutMs);
    const investigation: Investigation = {
      endpoint,
      lifeId,
      atMs: this._nowMs(),
      suspects: new Map(),
      decided: probed.then((result) => this._decide(investigation, result)),
    };
    this._investigations.set(lifeId, investigation);
    return investigation;
  }

  private _decide(investigation: Investigation, result: ProbeResult): void {
    const isCrashed = result === "refused" || this.ledger.hasCrash(investigation.lifeId);
    if (isCrashed) return this._close(investigation, true);
    if (result === "open") return this._close(investigation, false);
    void this._pause(decisionTimeoutMs).then(() => this._close(investigation, false));
  }

  /** Closes an investigation as a crash, since the endpoint's entry disappeared or shows a new start of the process. */
  private _endLife(endpoint: Endpoint): void {
    const investigation = this._investigations.get(endpoint.lifeId);
    if (investigation !== undefined && !endpoint.listed.isDraining) this._close(investigation, true);
  }

  private async _settle(completed: CompletedRun): Promise<void> {
    const { endpoint, request } = completed;
    const { lifeId } = endpoint;
    let investigation = this._investigations.get(lifeId);
    // A suspect's endpoint is probed even without a lost connection, since no other request may have had a run there.
    if (investigation === undefined && this._getWeight(request.digest) > 0)
      investigation = this._investigate(endpoint);
    await investigation?.decided;
    this._completedRuns.delete(completed);
    if (!this.ledger.hasCrash(lifeId)) this._noteHarmless(completed);
  }

  private _noteHarmless({ kind, request, endedAtMs }: CompletedRun): void {
    this._completed.add(kind, request.identity, endedAtMs);
    this.noteSurvived(request);
  }

  /** Returns the requests whose runs completed at an endpoint right before the endpoint crashed. */
  private _getCompletedAt(lifeId: string): string[] {
    const completed = [...this._completedRuns].filter(({ endpoint }) => endpoint.lifeId === lifeId);
    return completed.map(({ request }) => request.digest);
  }

  /** Counts completed runs of this instance at an endpoint whose crash a peer reported. */
  private _countCompleted(lifeId: string): void {
    const suspects = new Map(this._getCompletedAt(lifeId).map((digest) => [digest, 1]));
    if (suspects.size === 0) return;
    const crash = this.ledger.noteCrash(lifeId, this._nowMs(), suspects);
    if (crash !== undefined) this._structure.broadcast({ ...noCrashReports, crashes: [crash] });
  }

  private _close(investigation: Investigation, isCrashed: boolean): void {
    if (this._investigations.get(investigation.lifeId) !== investigation) return;
    this._investigations.delete(investigation.lifeId);
    for (const digest of this._getCompletedAt(investigation.lifeId)) investigation.suspects.set(digest, 1);
    if (isCrashed) this._structure.onCrash?.(investigation.endpoint);
    if (!isCrashed || investigation.suspects.size === 0) return;
    const { endpoint, lifeId, suspects } = investigation;
    for (const detectedLifeId of this._detectedHere)
      if (!this.ledger.hasCrash(detectedLifeId)) this._detectedHere.delete(detectedLifeId);
    this._detectedHere.add(lifeId);
    this._clearCompleted([...suspects.keys()]);
    const crash = this.ledger.noteCrash(lifeId, investigation.atMs, suspects);
    if (crash === undefined) return;
    this._structure.count?.("crash");
    for (const [digest, weight] of suspects) {
      this._structure.log.warn("crash-counted", {
        digest,
        endpointId: endpoint.id,
        address: endpoint.listed.address,
        weight,
        against: this.ledger.getWeight(digest),
      });
    }
    this._structure.broadcast({ ...noCrashReports, crashes: [crash] });
    this._clearByOwnRuns([...suspects.keys()]);
  }

  private _noteQuarantine(digest: string, quarantine: QuarantineMessage | undefined): void {
    const { log, persist } = this._structure;
    if (quarantine === undefined) return log.info("request-released", { digest });
    log.warn("request-held", { digest, times: quarantine.times, leftMs: Math.round(quarantine.leftMs) });
    // Only one instance stores the quarantine: the one that detected the latest crash.
    const newest = this.ledger.getNewestCrash(digest);
    if (newest !== undefined && this._detectedHere.has(newest)) persist?.(digest, quarantine);
  }

  /** Clears suspects that are identical to a request whose run at this instance has survived its initial phase. */
  private _clearByOwnRuns(digests: readonly string[]): void {
    for (const run of this._runs) {
      if (this._hasSurvived(run) && digests.includes(run.request.digest)) this.noteSurvived(run.request);
    }
  }

  /** Clears suspects that are identical to requests that have completed at this instance, before the crash is counted. */
  private _clearCompleted(digests: readonly string[]): void {
    if (digests.length === 0) return;
    const found = this._completed.find(new Set(digests));
    const clearings = [...found].flatMap(([digest, atMs]) => this.ledger.noteHarmless(digest, atMs) ?? []);
    if (clearings.length > 0) this._structure.broadcast({ ...noCrashReports, clearings });
  }

  private _isOwnTurn(digest: string): boolean {
    return !this._isStarting(digest) && this.ledger.mayTry(digest, this._structure.getTrialRank(digest));
  }

  private _countRejection(leftMs: number): number {
    this._structure.count?.("held-back");
    return leftMs;
  }
}
