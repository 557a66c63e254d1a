import { utils } from "@shedtiller/common";
import {
  CrashLedger,
  trialElsewhereRetryAfterMs,
  noCrashReports,
  type ClearingMessage,
  type CrashReportsMessage,
  type QuarantineMessage,
  type RequestTraits,
  type ProbeResult,
} from "@shedtiller/crashes";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { addSuspects, type Investigation } from "./Investigation.js";
import { SurvivalRecord } from "./SurvivalRecord.js";
import { SuspectCaution, type CrashRisk } from "./SuspectCaution.js";
import type { IdentifiedRequest, SuspectRequest, TrackedRequest, TrackedRun } from "./TrackedRun.js";

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
/** Maximum number of suspects in the log line of a crash; those with the most evidence against them come first. */
const maxLoggedSuspects = 16;

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorStructure {
  readonly endpoints: Pick<EndpointTable, "get" | "onChanged">;
  readonly log: DecisionLog;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  /** Broadcasts crash reports to the peers. */
  readonly broadcast: (reports: CrashReportsMessage) => void;
  /** Returns how many other instances may try a request with a trait before this one once its quarantine has ended. */
  readonly getTrialRank: (trait: string) => number;
  readonly count?: (event: "crash" | "held-back") => void;
  /** Called for each endpoint that has turned out to have crashed. */
  readonly onCrash?: ((endpoint: Endpoint) => void) | undefined;
  /** Stores a quarantine so that it outlasts a restart of all instances; undefined removes it. */
  readonly persist?: (trait: string, quarantine: QuarantineMessage | undefined) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/** A completed run whose endpoint has not been confirmed as alive since. */
interface CompletedRun {
  readonly kind: string;
  readonly run: TrackedRun;
  readonly request: IdentifiedRequest;
  readonly endpoint: Endpoint;
  /** Monotonic time at which the run had survived its initial phase or ended. */
  readonly atMs: number;
}

/**
 * Detects requests that crash endpoints, and quarantines them. A run whose connection is lost before the end of its initial phase makes the
 * traits of its request suspects if the endpoint turns out to have crashed. Each instance has one detector.
 */
export class CrashDetector {
  readonly ledger: CrashLedger;
  private readonly _runs = new Set<TrackedRun>();
  private readonly _investigations = new Map<string, Investigation>();
  /** Lives of endpoints whose crash this instance detected itself. */
  private readonly _detectedHere = new Set<string>();
  /** Quarantines that this instance stored, and removes from the store when they are released. */
  private readonly _persistedHere = new Set<string>();
  private readonly _completedRuns = new Set<CompletedRun>();
  private readonly _survivals: SurvivalRecord;
  private readonly _caution: SuspectCaution;
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;

  constructor(private readonly _structure: CrashDetectorStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._pause = _structure.pause ?? utils.sleep;
    this.ledger = new CrashLedger(this._nowMs);
    this.ledger.onQuarantineChanged((trait, quarantine) => this._noteQuarantine(trait, quarantine));
    this._survivals = new SurvivalRecord({
      ledger: this.ledger,
      getSurvivedRuns: () => this._getSurvivedRuns(),
      nowMs: this._nowMs,
    });
    this._caution = new SuspectCaution({
      ledger: this.ledger,
      getStartingRuns: () => this._getStartingRuns(),
      getWeight: (trait) => this._getWeight(trait),
      isUndecided: (trait) => this._isUndecided(trait),
      isKnownHarmless: (trait) => this._survivals.isKnownHarmless(trait),
      nowMs: this._nowMs,
      pause: this._pause,
    });
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
    if (this.isQuiet || this.ledger.getRequestStatus(run.request.traits) !== "due-for-trial") return;
    const quarantined = this.ledger.getQuarantined(run.request.traits);
    const trials = this.ledger.startTrial(quarantined);
    if (trials.length === 0) return;
    this._structure.log.info("request-tried", { traits: quarantined, endpointId: run.endpointId });
    this._structure.broadcast({ ...noCrashReports, trials });
  }

  /** Records that the first event of a run has arrived; its request is cleared if the run survives its initial phase. */
  async noteFirstEvent(run: TrackedRun): Promise<void> {
    await this._pause(initialPhaseMs);
    // If the event loop was blocked, the end of the connection may be pending.
    await this._pause(0);
    if (this._runs.has(run)) this.noteSurvived(run.request);
  }

  /** Records that a run is over. */
  end(run: TrackedRun): void {
    this._runs.delete(run);
  }

  /** Releases a trait on behalf of an operator, at this instance and at all peers. */
  release(trait: string): void {
    const cleared = this.ledger.release(trait);
    if (cleared !== undefined) this._structure.broadcast({ ...noCrashReports, clearings: [cleared] });
  }

  /**
   * Records that an endpoint completed a run. A run that survived its initial phase clears its request immediately. A shorter run, for
   * example one that resumed a stream near its end, may end just before its endpoint crashes. Such a run clears its request only if the
   * endpoint is still alive after the length of an initial phase.
   */
  noteCompleted(kind: string, request: IdentifiedRequest, run: TrackedRun, endpoint: Endpoint): void {
    const hasSurvived = this._hasSurvived(run);
    // A later crash may be the first one of a trait that was harmless until then.
    const atMs = hasSurvived ? this._getSurvivedAtMs(run) : this._nowMs();
    const completed: CompletedRun = { kind, run, request, endpoint, atMs };
    if (hasSurvived) return this._noteHarmless(completed);
    this._completedRuns.add(completed);
    void this._pause(initialPhaseMs).then(() => this._settle(completed));
  }

  /** Records that a run of a request survived its initial phase, which clears all traits of the request. */
  noteSurvived(request: TrackedRequest, atMs = this._nowMs()): void {
    this._survivals.noteSurvived(request.partTraits, atMs);
    if (this.isQuiet) return;
    for (const investigation of this._investigations.values())
      for (const trait of request.traits)
        if (investigation.atMs <= atMs) investigation.suspects.delete(trait);
    const clearings = request.traits.flatMap((trait) => this._clear(trait, atMs) ?? []);
    if (clearings.length > 0) this._structure.broadcast({ ...noCrashReports, clearings });
  }

  /**
   * Records that an endpoint closed the connection of a run; resolves once it is known whether the endpoint crashed.
   * @param endpoint - The endpoint that closed the connection, which may be a later one of the chain.
   */
  async noteLost(run: TrackedRun, endpoint: Endpoint): Promise<void> {
    if (this._hasSurvived(run)) return this.noteSurvived(run.request, this._getSurvivedAtMs(run));
    // An endpoint that stops as planned closes its remaining connections.
    const listed = this._structure.endpoints.get(endpoint.id);
    if (listed === undefined || endpoint.listed.isDraining) return;
    const investigation = this._investigations.get(endpoint.lifeId) ?? this._investigate(endpoint);
    addSuspects(investigation.suspects, run.request.traits, run.hasBegun ? 1 : notStartedWeight);
    if (listed !== endpoint) return this._close(investigation, true);
    await investigation.decided;
  }

  /**
   * Checks whether a request is quarantined; called right before each send.
   * @returns The time after which the request may be sent again, or undefined if it may be sent now.
   */
  getQuarantineMs({ traits }: SuspectRequest): number | undefined {
    if (this.isQuiet) return undefined;
    const quarantined = this.ledger.getQuarantined(traits);
    if (quarantined.length === 0) return undefined;
    const leftMs = this.ledger.getDueAtMs(quarantined) - this._nowMs();
    if (leftMs > 0) return this._countRejection(leftMs);
    return this._isOwnTurn(quarantined) ? undefined : this._countRejection(trialElsewhereRetryAfterMs);
  }

  /** Returns the risk of a request right before it is sent. */
  getRisk(request: SuspectRequest): CrashRisk {
    return this.isQuiet ? "none" : this._caution.getRisk(request);
  }

  /** Waits until the risk of a request can be evaluated. */
  async waitForTurn(request: SuspectRequest): Promise<void> {
    if (!this.isQuiet) await this._caution.waitForTurn(request);
  }

  /** Returns the endpoints that a request avoids if possible, since a crash there could not be attributed to a single request. */
  getAvoidedEndpointIds(request: SuspectRequest): string[] {
    return this.isQuiet ? [] : this._caution.getAvoidedEndpointIds(request);
  }

  /** Merges crash reports from a peer, and returns the parts that were new. */
  mergeReports(reports: CrashReportsMessage): CrashReportsMessage {
    const nowMs = this._nowMs();
    for (const { ageMs, suspects } of reports.crashes)
      this._reportHarmless(
        nowMs - ageMs,
        suspects.map(([trait]) => trait),
      );
    const added = this.ledger.mergeReports(reports);
    for (const { lifeId } of reports.crashes) this._countCompleted(lifeId);
    return added;
  }

  /** Returns whether an endpoint that ran the trait is being probed; its crash may be the one that quarantines the trait. */
  private _isUndecided(trait: string): boolean {
    return [...this._investigations.values()].some(
      ({ isProbing, suspects }) => isProbing && suspects.has(trait),
    );
  }

  /** Returns the runs that are in their initial phase, or completed too recently to clear their requests. */
  private _getStartingRuns(): TrackedRun[] {
    const starting = [...this._runs].filter((run) => !this._hasSurvived(run));
    return [...starting, ...[...this._completedRuns].map(({ run }) => run)];
  }

  /** Returns the weight of the evidence against a trait, including that of endpoints under investigation. */
  private _getWeight(trait: string): number {
    let weight = this.ledger.getWeight(trait);
    for (const investigation of this._investigations.values())
      weight += investigation.suspects.get(trait) ?? 0;
    return weight;
  }

  private _getSurvivedRuns(): (readonly [run: TrackedRun, atMs: number])[] {
    const survived = [...this._runs].filter((run) => this._hasSurvived(run));
    return survived.map((run) => [run, this._getSurvivedAtMs(run)]);
  }

  private _hasSurvived({ firstEventAtMs }: TrackedRun): boolean {
    return firstEventAtMs !== undefined && this._nowMs() - firstEventAtMs >= initialPhaseMs;
  }

  /** Returns when a run had survived its initial phase. */
  private _getSurvivedAtMs({ firstEventAtMs }: TrackedRun): number {
    return (firstEventAtMs ?? this._nowMs()) + initialPhaseMs;
  }

  private _investigate(endpoint: Endpoint): Investigation {
    const { lifeId } = endpoint;
    const probed = this._structure.probe(endpoint.listed.address, probeTimeoutMs);
    const investigation: Investigation = {
      endpoint,
      lifeId,
      atMs: this._nowMs(),
      suspects: new Map(),
      isProbing: true,
      decided: probed.then((result) => this._decide(investigation, result)),
    };
    this._investigations.set(lifeId, investigation);
    return investigation;
  }

  private _decide(investigation: Investigation, result: ProbeResult): void {
    investigation.isProbing = false;
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
    const isSuspected = !this.isQuiet && request.traits.some((trait) => this._getWeight(trait) > 0);
    if (investigation === undefined && isSuspected) investigation = this._investigate(endpoint);
    await investigation?.decided;
    this._completedRuns.delete(completed);
    if (!this.ledger.hasCrash(lifeId)) this._noteHarmless(completed);
  }

  private _noteHarmless({ kind, request, atMs }: CompletedRun): void {
    this._survivals.noteCompleted(kind, request.identity, atMs);
    this.noteSurvived(request, atMs);
  }

  /** Returns the traits of the requests whose runs completed at an endpoint right before the endpoint crashed. */
  private _getCompletedAt(lifeId: string): RequestTraits {
    const completed = [...this._completedRuns].filter(({ endpoint }) => endpoint.lifeId === lifeId);
    return completed.flatMap(({ request }) => request.traits);
  }

  /** Counts completed runs of this instance at an endpoint whose crash a peer reported. */
  private _countCompleted(lifeId: string): void {
    const suspects = new Map(this._getCompletedAt(lifeId).map((trait) => [trait, 1]));
    if (suspects.size === 0) return;
    const crashes = this.ledger.noteCrash(lifeId, this._nowMs(), suspects);
    if (crashes.length > 0) this._structure.broadcast({ ...noCrashReports, crashes });
  }

  private _close(investigation: Investigation, isCrashed: boolean): void {
    if (this._investigations.get(investigation.lifeId) !== investigation) return;
    const { endpoint, lifeId, suspects, atMs } = investigation;
    this._investigations.delete(lifeId);
    addSuspects(suspects, this._getCompletedAt(lifeId), 1);
    if (isCrashed) this._structure.onCrash?.(endpoint);
    if (!isCrashed || suspects.size === 0) return;
    for (const detectedLifeId of this._detectedHere)
      if (!this.ledger.hasCrash(detectedLifeId)) this._detectedHere.delete(detectedLifeId);
    this._detectedHere.add(lifeId);
    this._reportHarmless(atMs, [...suspects.keys()]);
    const crashes = this.ledger.noteCrash(lifeId, atMs, suspects);
    if (crashes.length === 0) return;
    this._structure.count?.("crash");
    this._logCrash(investigation);
    this._structure.broadcast({ ...noCrashReports, crashes });
  }

  private _logCrash({ endpoint, suspects }: Investigation): void {
    const evidence = [...suspects].map(([trait, weight]) => ({
      against: this.ledger.getWeight(trait),
      text: `${trait} weight=${weight} against=${this.ledger.getWeight(trait)}`,
    }));
    const heaviest = evidence.sort((one, other) => other.against - one.against).slice(0, maxLoggedSuspects);
    this._structure.log.warn("crash-counted", {
      endpointId: endpoint.id,
      address: endpoint.listed.address,
      suspectCount: suspects.size,
      suspects: heaviest.map(({ text }) => text),
    });
  }

  private _noteQuarantine(trait: string, quarantine: QuarantineMessage | undefined): void {
    const { log, persist } = this._structure;
    if (quarantine === undefined) {
      log.info("request-released", { trait });
      if (this._persistedHere.delete(trait)) persist?.(trait, undefined);
      return;
    }
    const { times, isConvicted } = quarantine;
    log.warn("request-held", {
      trait,
      times,
      isConvicted,
      against: this.ledger.getWeight(trait),
      leftMs: Math.round(quarantine.leftMs),
    });
    // Only one instance stores the quarantine: the one that detected the latest crash.
    const newest = this.ledger.getNewestCrash(trait);
    if (newest === undefined || !this._detectedHere.has(newest)) return;
    // An instance that learned of earlier crashes late may not take this crash for that of a trial.
    if (times > 1) this._structure.broadcast({ ...noCrashReports, holds: [quarantine] });
    this._persistedHere.add(trait);
    persist?.(trait, quarantine);
  }

  /** Clears a trait of crashes before the given time; returns the clearing if there was evidence against the trait. */
  private _clear(trait: string, atMs: number): ClearingMessage | undefined {
    const isStoredElsewhere = this.ledger.getQuarantineCount(trait) > 0 && !this._persistedHere.has(trait);
    const cleared = this.ledger.noteSurvived(trait, atMs);
    if (isStoredElsewhere && this.ledger.getQuarantineCount(trait) === 0)
      this._structure.persist?.(trait, undefined);
    return cleared;
  }

  /** Reports what is known here in favour of the suspects of a crash, before the crash is counted. */
  private _reportHarmless(crashAtMs: number, suspects: RequestTraits): void {
    const clearings = this._survivals.clearSuspects(crashAtMs, suspects);
    if (clearings.length > 0) this._structure.broadcast({ ...noCrashReports, clearings });
  }

  private _isOwnTurn(quarantined: RequestTraits): boolean {
    if (this._caution.isStarting(quarantined)) return false;
    // Instances take turns for all traits together, so that two of them don't begin trials of different traits at the same moment.
    return this.ledger.mayTry(quarantined, this._structure.getTrialRank(this.ledger.firstDueTrait ?? ""));
  }

  private _countRejection(leftMs: number): number {
    this._structure.count?.("held-back");
    return leftMs;
  }
}
