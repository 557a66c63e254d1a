import { CrashEvidence, type Crash } from "./CrashEvidence.js";
import {
  maxSuspectsPerMessage,
  type ClearingMessage,
  type CrashMessage,
  type CrashReportsMessage,
  type QuarantineMessage,
  type TrialMessage,
} from "./crashMessages.js";
import { isPartTrait, type RequestTraits } from "./requestTraits.js";

/** Weight of the crashes against a trait at which requests with the trait are quarantined. */
export const quarantineWeight = 3;
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
/**
 * Time for which requests with several quarantined traits wait for requests with only one of them, whose trial tells which trait it is.
 */
const jointTrialDelayMs = 3_000;
/** Factor by which the time until the next trial of a sole trait grows with each trial that did not tell which trait it was. */
const unclearTrialFactor = 4;
/** Crashes, clearings and quarantines that are older than this are forgotten. */
export const crashRetentionMs = 900_000;
/** Bound on the memory, whatever callers send; the oldest quarantines are dropped first. */
const maxQuarantines = 1_024;

interface Quarantine {
  /** Monotonic time of the latest trial after the quarantine. */
  trialAtMs: number;
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly times: number;
  /** Whether a request without any other quarantined trait has crashed an endpoint in a trial. */
  readonly isConvicted: boolean;
}

/** Status of a request; `due-for-trial` is a request whose quarantine has ended without a run that cleared it. */
export type RequestStatus = "unknown" | "suspected" | "held" | "due-for-trial";

/** Called for each trait that is quarantined (with the quarantine) or released (with undefined). */
export type QuarantineListener = (trait: string, quarantine: QuarantineMessage | undefined) => void;

/**
 * Determines which traits of requests crash the endpoints that run them, and quarantines the requests with these traits. Each instance has
 * one ledger, and merges the reports of its peers into it. The ledger uses neither network nor timers; all times are of the given
 * monotonic clock.
 *
 * A trait is quarantined once the evidence against it has enough weight; after that, one request at a time is tried. A trial that survives
 * clears all traits of its request. A trial that crashes an endpoint convicts the trait, and crashes that a convicted trait explains start
 * no further quarantine. They end none: only a run of its own that survives releases a trait.
 */
export class CrashLedger {
  readonly evidence: CrashEvidence;
  /** Quarantines by trait, including those that have ended without a run that cleared the trait. */
  private readonly _quarantines = new Map<string, Quarantine>();
  private readonly _convicted = new Set<string>();
  private readonly _listeners: QuarantineListener[] = [];

  constructor(private readonly _nowMs: () => number) {
    this.evidence = new CrashEvidence(() => this._convicted);
  }

  /** Whether there are no crashes and no quarantines, so that requests need not be looked up. */
  get isEmpty(): boolean {
    return this.evidence.crashCount === 0 && this._quarantines.size === 0;
  }

  /** Number of traits that are quarantined now. */
  get quarantinedCount(): number {
    const nowMs = this._nowMs();
    return [...this._quarantines.values()].filter((quarantine) => nowMs < quarantine.untilMs).length;
  }

  onQuarantineChanged(listener: QuarantineListener): void {
    this._listeners.push(listener);
  }

  hasCrash(lifeId: string): boolean {
    return this.evidence.getCrash(lifeId) !== undefined;
  }

  /** Returns the status of a request with a single trait. */
  getStatus(trait: string): RequestStatus {
    return this.getRequestStatus([trait]);
  }

  /** Returns the status of a request. */
  getRequestStatus(traits: RequestTraits): RequestStatus {
    const quarantined = this.getQuarantined(traits);
    if (quarantined.length > 0)
      return this._nowMs() < this.getDueAtMs(quarantined) ? "held" : "due-for-trial";
    return traits.some((trait) => this.getWeight(trait) > 0) ? "suspected" : "unknown";
  }

  /** Returns the traits of a request that are quarantined or due for a trial. */
  getQuarantined(traits: RequestTraits): string[] {
    if (this._quarantines.size === 0) return [];
    return traits.filter((trait) => this._quarantines.has(trait));
  }

  /** Returns the monotonic time from which a request with these quarantined traits, and no other ones, may be tried. */
  getDueAtMs(quarantined: RequestTraits): number {
    const isSole = quarantined.length === 1;
    return Math.max(...quarantined.map((trait) => this._getDueAtMs(trait, isSole)));
  }

  /** Returns the traits that were quarantined at least this long ago and have not been cleared since. */
  getQuarantinedFor(durationMs: number): string[] {
    const untilMs = this._nowMs() - durationMs;
    return [...this._quarantines].flatMap(([trait, { sinceMs }]) => (sinceMs <= untilMs ? [trait] : []));
  }

  /** Returns how often a trait was quarantined since it was last cleared. */
  getQuarantineCount(trait: string): number {
    return this._quarantines.get(trait)?.times ?? 0;
  }

  /** Returns the remaining time of a trait's quarantine, or 0 if there is none. */
  getQuarantineLeftMs(trait: string): number {
    return Math.max(0, (this._quarantines.get(trait)?.untilMs ?? 0) - this._nowMs());
  }

  /** Returns the weight of the crashes that count against a trait since a run with it last survived the initial phase. */
  getWeight(trait: string): number {
    return this.evidence.getWeight(trait);
  }

  /** Returns the life of the endpoint in the latest crash that counts against a trait. */
  getNewestCrash(trait: string): string | undefined {
    return this.evidence.getNewestCrash(trait)?.lifeId;
  }

  /**
   * Records a crash, which several instances may report, each with runs of its own.
   * @returns The parts that were new.
   */
  noteCrash(lifeId: string, atMs: number, suspects: ReadonlyMap<string, number>): CrashMessage[] {
    this._removeExpired();
    const isKnown = this.hasCrash(lifeId);
    const { crash, added } = this.evidence.add(lifeId, atMs, suspects);
    if (added.length > 0) this._judge(crash);
    return isKnown && added.length === 0 ? [] : this._toCrashMessages(crash, added);
  }

  /**
   * Returns whether this instance may start the trial of a request after its quarantine: the instance's turn has come, and no trial of any
   * request is running.
   * @param rank - Number of instances that may try the request before this one.
   */
  mayTry(traits: RequestTraits, rank: number): boolean {
    const quarantined = this.getQuarantined(traits);
    if (quarantined.length === 0) return false;
    // Two concurrent trials at one endpoint would again leave open which request crashed it.
    if ([...this._quarantines.values()].some((other) => this._isOnTrial(other))) return false;
    return this._nowMs() - this.getDueAtMs(quarantined) >= rank * trialIntervalMs;
  }

  /** A trait that is due for a trial; all instances with the same quarantines return the same one. */
  get firstDueTrait(): string | undefined {
    const nowMs = this._nowMs();
    const due = [...this._quarantines.keys()].filter((trait) => this._getDueAtMs(trait, true) <= nowMs);
    return due.sort()[0];
  }

  /**
   * Records the start of a trial after a quarantine.
   * @returns The trial, if it was new and is to be reported.
   */
  noteTrial({ digest: trait, ageMs }: TrialMessage): TrialMessage | undefined {
    const quarantine = this._quarantines.get(trait);
    const atMs = this._nowMs() - ageMs;
    const isDue = this._nowMs() >= this._getDueAtMs(trait, true);
    if (quarantine === undefined || this._isOnTrial(quarantine) || !isDue) return undefined;
    quarantine.trialAtMs = atMs;
    return { digest: trait, ageMs };
  }

  /** Records the start of a trial by this instance; returns the trials to report. */
  startTrial(quarantined: RequestTraits): TrialMessage[] {
    return quarantined.flatMap((trait) => this.noteTrial({ digest: trait, ageMs: 0 }) ?? []);
  }

  /**
   * Records that a run with a trait had survived its initial phase at the given time, which may precede the suspicion.
   * @returns The clearing, if it was new.
   */
  noteHarmless(trait: string, atMs: number): ClearingMessage | undefined {
    if (this.evidence.hasSurvivedSince(trait, atMs)) return undefined;
    this.evidence.noteSurvived(trait, atMs);
    const quarantine = this._quarantines.get(trait);
    if (quarantine !== undefined && quarantine.sinceMs <= atMs) {
      this._release(trait);
      // The crashes that the trait seemed to explain may count against another one.
      this._quarantineHeaviest([...this.evidence.suspects]);
    }
    return { digest: trait, ageMs: this._getAgeMs(atMs) };
  }

  /**
   * Records that a run with a trait survived its initial phase.
   * @returns The clearing, if there was evidence against the trait.
   */
  noteSurvived(trait: string, atMs: number): ClearingMessage | undefined {
    const isSuspected = this._quarantines.has(trait) || this.evidence.isSuspect(trait);
    return isSuspected ? this.noteHarmless(trait, atMs) : undefined;
  }

  /** Releases a trait on behalf of an operator. */
  release(trait: string): ClearingMessage | undefined {
    return this.noteSurvived(trait, this._nowMs());
  }

  /** Applies a quarantine that a peer or the store reports. */
  noteQuarantine(message: QuarantineMessage): QuarantineMessage | undefined {
    const { digest: trait, ageMs, leftMs, times } = message;
    const nowMs = this._nowMs();
    const sinceMs = nowMs - ageMs;
    const knownTimes = this._quarantines.get(trait)?.times ?? 0;
    if (this.evidence.hasSurvivedSince(trait, sinceMs) || knownTimes >= times) return undefined;
    const isConvicted = message.isConvicted ?? times > 1;
    this._setQuarantine(trait, { sinceMs, untilMs: nowMs + leftMs, times, isConvicted });
    return message;
  }

  /** Returns all crash reports of the ledger, for an instance that has none yet. */
  getAllReports(): CrashReportsMessage {
    this._removeExpired();
    return {
      crashes: [...this.evidence.crashes].flatMap((crash) =>
        this._toCrashMessages(crash, [...crash.suspects]),
      ),
      clearings: [...this.evidence.survivals].map(([digest, atMs]) => ({
        digest,
        ageMs: this._getAgeMs(atMs),
      })),
      holds: [...this._quarantines].map(([trait, quarantine]) => this._toMessage(trait, quarantine)),
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
      crashes: reports.crashes.flatMap(({ lifeId, ageMs, suspects }) =>
        this.noteCrash(lifeId, nowMs - ageMs, new Map(suspects)),
      ),
    };
  }

  /** Quarantines traits because of a crash. */
  private _judge(crash: Crash): void {
    const suspects = [...crash.suspects.keys()];
    const quarantined = this.getQuarantined(suspects);
    const isLater = quarantined.some((trait) => (this._quarantines.get(trait)?.sinceMs ?? 0) < crash.atMs);
    if (!isLater) return this._quarantineHeaviest(suspects);
    // The crash is that of a trial, or of a run that was sent before the quarantine was known.
    const tried = quarantined.filter((trait) => this._isCrashOfTrial(trait, crash));
    for (const trait of tried) this._noteFailedTrial(trait, quarantined.length === 1);
  }

  private _isCrashOfTrial(trait: string, crash: Crash): boolean {
    return crash.atMs >= this._getDueAtMs(trait, true) && !this.evidence.isExplained(crash, trait);
  }

  /** Quarantines a trait for longer, since a request with it crashed an endpoint in its trial. */
  private _noteFailedTrial(trait: string, isSole: boolean): void {
    const before = this._quarantines.get(trait);
    if (before === undefined) return;
    const isConvicted = isSole || before.isConvicted;
    const doubtful = isConvicted ? this._getDoubtful(trait) : [];
    const nowMs = this._nowMs();
    const untilMs = nowMs + laterQuarantineMs;
    this._setQuarantine(trait, { sinceMs: nowMs, untilMs, times: before.times + 1, isConvicted });
    for (const other of doubtful) this._reconsider(other);
  }

  /** Returns the convicted traits whose trial crashed an endpoint at which a newly convicted one was running as well. */
  private _getDoubtful(convicted: string): string[] {
    return [...this._convicted].filter(
      (other) => other !== convicted && this.evidence.getNewestCrash(other)?.suspects.has(convicted) === true,
    );
  }

  /** Has a trait tried again. Only a run that survives releases it, since several traits may have crashed the same endpoints. */
  private _reconsider(trait: string): void {
    this._convicted.delete(trait);
    this._quarantineFirst(trait);
  }

  /**
   * Quarantines those of the given traits that have enough evidence against them. If some were not known as harmless shortly before, the
   * others wait for further evidence, since requests that have a harmless trait are present at the crashes of all traits beside it. Single
   * requests wait for a trial of the parts of prompts, since a request that is sent again has as much against it as the part at fault.
   */
  private _quarantineHeaviest(traits: readonly string[]): void {
    const nowMs = this._nowMs();
    const candidates = traits.filter((trait) => this.getWeight(trait) >= quarantineWeight);
    const unknown = candidates.filter((trait) => !this.evidence.isKnownHarmless(trait, nowMs));
    const parts = candidates.filter(isPartTrait);
    const unknownParts = unknown.filter(isPartTrait);
    const chosen = [unknownParts, unknown, parts, candidates].find((some) => some.length > 0) ?? [];
    for (const trait of chosen) if (!this._quarantines.has(trait)) this._quarantineFirst(trait);
  }

  private _quarantineFirst(trait: string): void {
    const sinceMs = this._nowMs();
    const untilMs = sinceMs + firstQuarantineMs;
    this._setQuarantine(trait, { sinceMs, untilMs, times: 1, isConvicted: false });
  }

  /** Returns the time from which a trait may be tried, alone or together with other quarantined traits. */
  private _getDueAtMs(trait: string, isSole: boolean): number {
    const quarantine = this._quarantines.get(trait);
    if (quarantine === undefined) return Number.NEGATIVE_INFINITY;
    const { sinceMs, untilMs, times, isConvicted } = quarantine;
    if (isConvicted) return untilMs;
    if (isSole) return Math.min(untilMs, sinceMs + firstQuarantineMs * unclearTrialFactor ** (times - 1));
    return times === 1 ? untilMs + jointTrialDelayMs : untilMs;
  }

  private _isOnTrial({ trialAtMs }: Quarantine): boolean {
    return this._nowMs() - trialAtMs < trialTimeoutMs;
  }

  private _setQuarantine(trait: string, changed: Omit<Quarantine, "trialAtMs">): void {
    const quarantine = { ...changed, trialAtMs: Number.NEGATIVE_INFINITY };
    this._quarantines.delete(trait);
    this._quarantines.set(trait, quarantine);
    if (quarantine.isConvicted) this._convicted.add(trait);
    this.evidence.invalidate();
    for (const listener of this._listeners) listener(trait, this._toMessage(trait, quarantine));
    this._releaseOldest();
  }

  /** Keeps the number of quarantines within its bound; those that a trial has confirmed are kept longest. */
  private _releaseOldest(): void {
    if (this._quarantines.size <= maxQuarantines) return;
    const traits = [...this._quarantines.keys()];
    const oldest = traits.find((trait) => !this._convicted.has(trait)) ?? traits[0];
    if (oldest !== undefined) this._release(oldest);
  }

  private _release(trait: string): void {
    this._quarantines.delete(trait);
    this._convicted.delete(trait);
    this.evidence.invalidate();
    for (const listener of this._listeners) listener(trait, undefined);
  }

  private _removeExpired(): void {
    const oldestMs = this._nowMs() - crashRetentionMs;
    this.evidence.removeBefore(oldestMs);
    for (const [trait, { untilMs }] of this._quarantines) if (untilMs < oldestMs) this._release(trait);
  }

  /** Splits a crash into messages of limited size. */
  private _toCrashMessages(crash: Crash, suspects: readonly [string, number][]): CrashMessage[] {
    const { lifeId, atMs } = crash;
    const ageMs = this._getAgeMs(atMs);
    const messages: CrashMessage[] = [];
    let from = 0;
    do {
      messages.push({ lifeId, ageMs, suspects: suspects.slice(from, from + maxSuspectsPerMessage) });
      from += maxSuspectsPerMessage;
    } while (from < suspects.length);
    return messages;
  }

  private _toMessage(trait: string, { sinceMs, untilMs, times, isConvicted }: Quarantine): QuarantineMessage {
    const ageMs = this._getAgeMs(sinceMs);
    return { digest: trait, ageMs, leftMs: untilMs - this._nowMs(), times, isConvicted };
  }

  private _getAgeMs(atMs: number): number {
    return Math.max(0, this._nowMs() - atMs);
  }
}
