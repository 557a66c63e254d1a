import {
  maxSuspectsPerCrash,
  type ClearingMessage,
  type CrashMessage,
  type CrashReportsMessage,
  type QuarantineMessage,
  type TrialMessage,
} from "./crashMessages.js";

/** Weight of the crashes against a request at which the request is quarantined. */
export const quarantineWeight = 3;
/**
 * If at least this number of other endpoints crashed at about the same time without running the request, the crash may have a common cause
 * (a rack, a power supply, a network cut) and counts half. A request that does crash its endpoints is then quarantined after six crashes.
 */
const coincidentCrashes = 2;
const coincidenceMs = 250;
const coincidenceFactor = 0.5;

/**
 * Factor for the crashes of a request that survived its initial phase shortly before: if many callers send identical requests, one of them
 * is in its initial phase at most crashes.
 */
const knownHarmlessFactor = 0.25;
const knownHarmlessMs = 60_000;

/**
 * The first quarantine is short: if a request crashes every engine at once, there is as much evidence against the harmless requests that
 * arrived with it, and only a trial of one request at a time can distinguish them.
 */
const firstQuarantineMs = 2_000;
/** Duration of a quarantine after a trial that crashed an endpoint again. */
const laterQuarantineMs = 600_000;
/** Time after which callers may retry a request that another instance is trying. */
export const trialElsewhereRetryAfterMs = 5_000;
/** A trial without a result, for example because the request found no capacity, blocks trials at other instances for this long. */
const trialTimeoutMs = 3_000;
/**
 * Interval at which one instance after another may try a request after its quarantine. A caller keeps using the same instance, so that the
 * first instance in the order may never receive the request. A trial is reported to the other instances within milliseconds.
 */
const trialIntervalMs = 250;
/** Crashes, clearings and quarantines that are older than this are forgotten. */
export const crashRetentionMs = 900_000;
/** Bounds on the memory, whatever callers send; the oldest entries are dropped first. */
const maxCrashes = 256;
const maxRequests = 1_024;

interface Crash {
  readonly atMs: number;
  readonly suspects: Map<string, number>;
}

interface Quarantine {
  /** Monotonic time of the latest trial after the quarantine. */
  trialAtMs: number;
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly times: number;
}

/** Status of a request; `due-for-trial` is a request whose quarantine has ended without a run that cleared it. */
export type RequestStatus = "unknown" | "suspected" | "held" | "due-for-trial";

/** Called for each request that is quarantined (with the quarantine) or released (with undefined). */
export type QuarantineListener = (digest: string, quarantine: QuarantineMessage | undefined) => void;

/**
 * Determines which requests crash the endpoints that run them. Each instance has one ledger, and merges the reports of its peers into it. A
 * crash ends all runs of its endpoint, so a single crash is weak evidence against a single request. Only consecutive crashes during the
 * initial phase of a request count, as long as none of its runs survives the initial phase in between. The ledger uses neither network nor
 * timers; all times are of the given monotonic clock.
 */
export class CrashLedger {
  /** Keyed by the life of the crashed endpoint; the oldest come first. */
  private readonly _crashes = new Map<string, Crash>();
  /** By digest: latest monotonic time at which a run of the request survived its initial phase. */
  private readonly _clearedAtMs = new Map<string, number>();
  /** Quarantines by digest, including those that have ended without a run that cleared the request. */
  private readonly _quarantines = new Map<string, Quarantine>();
  private readonly _listeners: QuarantineListener[] = [];

  constructor(private readonly _nowMs: () => number) {}

  /** Whether there are no crashes and no quarantines, so that requests need not be looked up. */
  get isEmpty(): boolean {
    return this._crashes.size === 0 && this._quarantines.size === 0;
  }

  /** Number of requests that are quarantined now. */
  get quarantinedCount(): number {
    const nowMs = this._nowMs();
    return [...this._quarantines.values()].filter((quarantine) => nowMs < quarantine.untilMs).length;
  }

  onQuarantineChanged(listener: QuarantineListener): void {
    this._listeners.push(listener);
  }

  hasCrash(lifeId: string): boolean {
    return this._crashes.has(lifeId);
  }

  getStatus(digest: string): RequestStatus {
    const quarantine = this._quarantines.get(digest);
    if (quarantine !== undefined) return this._nowMs() < quarantine.untilMs ? "held" : "due-for-trial";
    return this.getWeight(digest) > 0 ? "suspected" : "unknown";
  }

  /** Returns the requests that were quarantined at least this long ago and have not been cleared since. */
  getQuarantinedFor(durationMs: number): string[] {
    const untilMs = this._nowMs() - durationMs;
    return [...this._quarantines].flatMap(([digest, { sinceMs }]) => (sinceMs <= untilMs ? [digest] : []));
  }

  /** Returns how often a request was quarantined since it was last cleared. */
  getQuarantineCount(digest: string): number {
    return this._quarantines.get(digest)?.times ?? 0;
  }

  /** Returns the remaining time of a request's quarantine, or 0 if there is none. */
  getQuarantineLeftMs(digest: string): number {
    return Math.max(0, (this._quarantines.get(digest)?.untilMs ?? 0) - this._nowMs());
  }

  /** Returns the weight of the crashes that count against a request since one of its runs last survived the initial phase. */
  getWeight(digest: string): number {
    let weight = 0;
    let countedAtMs = Number.NEGATIVE_INFINITY;
    for (const crash of this._crashes.values()) {
      const suspectWeight = crash.suspects.get(digest);
      if (suspectWeight === undefined) continue;
      const isKnownHarmless = this._isKnownHarmless(digest, crash.atMs);
      // If many engines crash at once, a request that many callers send is running at each of them.
      if (isKnownHarmless && Math.abs(crash.atMs - countedAtMs) <= coincidenceMs) continue;
      countedAtMs = crash.atMs;
      weight +=
        suspectWeight *
        (isKnownHarmless ? knownHarmlessFactor : 1) *
        (this._isCoincident(crash, digest) ? coincidenceFactor : 1);
    }
    return weight;
  }

  /** Returns the life of the endpoint in the latest crash that counts against a request. */
  getNewestCrash(digest: string): string | undefined {
    let newest: string | undefined;
    let newestAtMs = Number.NEGATIVE_INFINITY;
    for (const [lifeId, { atMs, suspects }] of this._crashes) {
      if (!suspects.has(digest) || atMs < newestAtMs) continue;
      newest = lifeId;
      newestAtMs = atMs;
    }
    return newest;
  }

  /**
   * Records a crash, which several instances may report, each with requests of its own.
   * @returns The parts that were new; undefined if there were none.
   */
  noteCrash(lifeId: string, atMs: number, suspects: ReadonlyMap<string, number>): CrashMessage | undefined {
    this._removeExpired();
    const known = this._crashes.get(lifeId);
    const crash = known ?? { atMs, suspects: new Map<string, number>() };
    const added = [...suspects]
      .sort(([, one], [, other]) => other - one)
      .filter(([digest, weight]) => this._addSuspect(crash, digest, weight));
    if (known === undefined) this._crashes.set(lifeId, crash);
    for (const [digest] of added) this._quarantineIfDue(digest, crash.atMs);
    removeOldest(this._crashes, maxCrashes);
    if (known !== undefined && added.length === 0) return undefined;
    return { lifeId, ageMs: this._getAgeMs(crash.atMs), suspects: added };
  }

  /**
   * Returns whether this instance may start the trial of a request after its quarantine: the instance's turn has come, and no trial of any
   * request is running.
   * @param rank - Number of instances that may try the request before this one.
   */
  mayTry(digest: string, rank: number): boolean {
    const quarantine = this._quarantines.get(digest);
    if (quarantine === undefined) return false;
    // Two concurrent trials at one endpoint would again leave open which request crashed it.
    if ([...this._quarantines.values()].some((other) => this._isOnTrial(other))) return false;
    return this._nowMs() - quarantine.untilMs >= rank * trialIntervalMs;
  }

  /**
   * Records the start of a trial after a quarantine.
   * @returns The trial, if it was new and is to be reported.
   */
  noteTrial({ digest, ageMs }: TrialMessage): TrialMessage | undefined {
    const quarantine = this._quarantines.get(digest);
    const atMs = this._nowMs() - ageMs;
    if (quarantine === undefined || this._isOnTrial(quarantine) || this._nowMs() < quarantine.untilMs)
      return undefined;
    quarantine.trialAtMs = atMs;
    return { digest, ageMs };
  }

  /**
   * Records that a run of a request survived its initial phase at the given time, which may precede the suspicion.
   * @returns The clearing, if it was new.
   */
  noteHarmless(digest: string, atMs: number): ClearingMessage | undefined {
    if (this._isClearedSince(digest, atMs)) return undefined;
    return this._clear(digest, atMs);
  }

  /**
   * Records that a run of a request survived its initial phase.
   * @returns The clearing, if there was evidence against the request.
   */
  noteSurvived(digest: string, atMs: number): ClearingMessage | undefined {
    const isSuspected = this._quarantines.has(digest) || this._hasSuspect(digest);
    return isSuspected ? this.noteHarmless(digest, atMs) : undefined;
  }

  private _clear(digest: string, atMs: number): ClearingMessage {
    this._clearedAtMs.delete(digest);
    this._clearedAtMs.set(digest, atMs);
    removeOldest(this._clearedAtMs, maxRequests);
    for (const crash of this._crashes.values()) if (crash.atMs <= atMs) crash.suspects.delete(digest);
    const quarantine = this._quarantines.get(digest);
    if (quarantine !== undefined && quarantine.sinceMs <= atMs) this._release(digest);
    return { digest, ageMs: this._getAgeMs(atMs) };
  }

  /** Releases a request on behalf of an operator. */
  release(digest: string): ClearingMessage | undefined {
    return this.noteSurvived(digest, this._nowMs());
  }

  /** Applies a quarantine that a peer or the store reports. */
  noteQuarantine({ digest, ageMs, leftMs, times }: QuarantineMessage): QuarantineMessage | undefined {
    const nowMs = this._nowMs();
    const sinceMs = nowMs - ageMs;
    if (this._isClearedSince(digest, sinceMs) || (this._quarantines.get(digest)?.times ?? 0) >= times)
      return undefined;
    this._setQuarantine(digest, {
      sinceMs,
      untilMs: nowMs + leftMs,
      times,
      trialAtMs: Number.NEGATIVE_INFINITY,
    });
    return { digest, ageMs, leftMs, times };
  }

  /** Returns all crash reports of the ledger, for an instance that has none yet. */
  getAllReports(): CrashReportsMessage {
    this._removeExpired();
    return {
      crashes: [...this._crashes].map(([lifeId, { atMs, suspects }]) => ({
        lifeId,
        ageMs: this._getAgeMs(atMs),
        suspects: [...suspects],
      })),
      clearings: [...this._clearedAtMs].map(([digest, atMs]) => ({ digest, ageMs: this._getAgeMs(atMs) })),
      holds: [...this._quarantines].map(([digest, quarantine]) => this._toMessage(digest, quarantine)),
      trials: [],
    };
  }

  /** Merges crash reports from a peer, and returns the parts that were new. */
  mergeReports(reports: CrashReportsMessage): CrashReportsMessage {
    const nowMs = this._nowMs();
    // Quarantines come before crashes, so that the crashes that led to a known quarantine do not start another one.
    return {
      clearings: reports.clearings.flatMap(
        ({ digest, ageMs }) => this.noteHarmless(digest, nowMs - ageMs) ?? [],
      ),
      holds: reports.holds.flatMap((quarantine) => this.noteQuarantine(quarantine) ?? []),
      trials: reports.trials.flatMap((trial) => this.noteTrial(trial) ?? []),
      crashes: reports.crashes.flatMap(
        ({ lifeId, ageMs, suspects }) => this.noteCrash(lifeId, nowMs - ageMs, new Map(suspects)) ?? [],
      ),
    };
  }

  /** Adds a suspect and returns whether it was new. Once the maximum number of suspects of a crash is reached, further ones are ignored. */
  private _addSuspect({ atMs, suspects }: Crash, digest: string, weight: number): boolean {
    const known = suspects.get(digest);
    if (known !== undefined ? known >= weight : suspects.size >= maxSuspectsPerCrash) return false;
    if (this._isClearedSince(digest, atMs)) return false;
    suspects.set(digest, weight);
    return true;
  }

  /**
   * Quarantines a request that has enough evidence against it. A crash after the end of a quarantine is that of a trial, and leads to a
   * longer quarantine.
   */
  private _quarantineIfDue(digest: string, crashedAtMs: number): void {
    const nowMs = this._nowMs();
    const before = this._quarantines.get(digest);
    if (before !== undefined && nowMs < before.untilMs) return;
    if (before === undefined ? this.getWeight(digest) < quarantineWeight : crashedAtMs <= before.sinceMs)
      return;
    const times = (before?.times ?? 0) + 1;
    const untilMs = nowMs + (times === 1 ? firstQuarantineMs : laterQuarantineMs);
    this._setQuarantine(digest, { sinceMs: nowMs, untilMs, times, trialAtMs: Number.NEGATIVE_INFINITY });
  }

  private _isOnTrial({ trialAtMs }: Quarantine): boolean {
    return this._nowMs() - trialAtMs < trialTimeoutMs;
  }

  private _setQuarantine(digest: string, quarantine: Quarantine): void {
    this._quarantines.delete(digest);
    this._quarantines.set(digest, quarantine);
    removeOldest(this._quarantines, maxRequests);
    for (const listener of this._listeners) listener(digest, this._toMessage(digest, quarantine));
  }

  private _release(digest: string): void {
    this._quarantines.delete(digest);
    for (const listener of this._listeners) listener(digest, undefined);
  }

  private _isKnownHarmless(digest: string, atMs: number): boolean {
    const harmlessAtMs = this._clearedAtMs.get(digest);
    return harmlessAtMs !== undefined && atMs - harmlessAtMs < knownHarmlessMs;
  }

  /** Returns whether a crash probably has a common cause with others. A request that was running at most of them is itself that cause. */
  private _isCoincident(crash: Crash, digest: string): boolean {
    const coincident = [...this._crashes.values()].filter(
      ({ atMs }) => Math.abs(atMs - crash.atMs) <= coincidenceMs,
    );
    const others = coincident.filter(({ suspects }) => !suspects.has(digest)).length;
    return others >= coincidentCrashes && others >= coincident.length - others;
  }

  private _hasSuspect(digest: string): boolean {
    for (const crash of this._crashes.values()) if (crash.suspects.has(digest)) return true;
    return false;
  }

  private _isClearedSince(digest: string, atMs: number): boolean {
    return (this._clearedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY) >= atMs;
  }

  private _removeExpired(): void {
    const oldestMs = this._nowMs() - crashRetentionMs;
    for (const [lifeId, { atMs }] of this._crashes) if (atMs < oldestMs) this._crashes.delete(lifeId);
    for (const [digest, atMs] of this._clearedAtMs) if (atMs < oldestMs) this._clearedAtMs.delete(digest);
    for (const [digest, { untilMs }] of this._quarantines) if (untilMs < oldestMs) this._release(digest);
  }

  private _toMessage(digest: string, { sinceMs, untilMs, times }: Quarantine): QuarantineMessage {
    return { digest, ageMs: this._getAgeMs(sinceMs), leftMs: untilMs - this._nowMs(), times };
  }

  private _getAgeMs(atMs: number): number {
    return Math.max(0, this._nowMs() - atMs);
  }
}

/** Removes the oldest entries of a map beyond a maximum size. */
function removeOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
