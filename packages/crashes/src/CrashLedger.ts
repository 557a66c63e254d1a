/**
 * Which requests crash the endpoints that run them. A crash takes all runs of its endpoint with it, so one crash says little of one request:
 * what counts is that a request was at its beginning in several crashes in a row, and that none of its runs outlived its beginning in
 * between. No network, no timers: instances merge what they see into ledgers of their own.
 */
import {
  mostToldSuspects,
  type ToldClearing,
  type ToldCrash,
  type ToldCrashes,
  type ToldHold,
  type ToldTrial,
} from "./crashMessages.js";

/** A request is held back once its crashes weigh this much. */
export const heldFromWeight = 3;
/**
 * Crashes of other endpoints around the same moment that the request had no part in: from this many on the crash may have a cause that
 * they share (a rack, a power supply, a cut), and weighs half. A request that does crash what it meets is then held after six.
 */
const crowdCrashes = 2;
const crowdMs = 250;
const crowdedFactor = 0.5;

/**
 * A request of which a run outlived its beginning shortly before a crash weighs this much there: one that many callers send equal is at
 * its beginning in most crashes.
 */
const knownSoundFactor = 0.25;
const knownSoundMs = 60_000;

/**
 * The first time a request is held back for a moment only: where a request crashes every engine at once, sound ones that came with it have
 * as much against them, and are known apart by trials, one at a time.
 */
const firstHoldMs = 2_000;
/** After a trial that crashed an endpoint again. */
const laterHoldMs = 600_000;
/** When a request may come back that another instance tries now. */
export const trialElsewhereRetryAfterMs = 5_000;
/** A trial that led to nothing, since the request found no room, keeps others back for this long. */
const trialMs = 3_000;
/**
 * After a hold one instance after the other may try the request, each this much later: callers stay with one instance, and the first one
 * may get no such request. Whoever tries tells the others, which takes milliseconds.
 */
const trialTurnMs = 250;
/** What nobody has come back to for this long is forgotten. */
export const memoryMs = 900_000;
/** Bounds, whatever callers send; the oldest goes first. */
const mostCrashes = 256;
const mostCases = 1_024;

interface Crash {
  readonly atMs: number;
  readonly suspects: Map<string, number>;
}

interface Hold {
  /** Monotonic time of the newest trial after it. */
  trialAtMs: number;
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly times: number;
}

/** How a request stands: `due-for-trial` is one whose hold has ended without a run that cleared it. */
export type Standing = "unknown" | "suspected" | "held" | "due-for-trial";

/** Told of each request that comes to be held, or is let go. */
export type HoldListener = (digest: string, hold: ToldHold | undefined) => void;

/** One ledger an instance. All times are of the monotonic clock given. */
export class CrashLedger {
  /** By the life of the endpoint that crashed; the oldest first. */
  private readonly _crashes = new Map<string, Crash>();
  private readonly _clearedAtMs = new Map<string, number>();
  private readonly _holds = new Map<string, Hold>();
  private readonly _listeners: HoldListener[] = [];

  constructor(private readonly _nowMs: () => number) {}

  /** Whether nothing is known, so that no request need be looked up. */
  get isEmpty(): boolean {
    return this._crashes.size === 0 && this._holds.size === 0;
  }

  /** Requests that are held back now. */
  get quarantinedCount(): number {
    const nowMs = this._nowMs();
    return [...this._holds.values()].filter((hold) => nowMs < hold.untilMs).length;
  }

  onQuarantineChanged(listener: HoldListener): void {
    this._listeners.push(listener);
  }

  hasCrash(lifeId: string): boolean {
    return this._crashes.has(lifeId);
  }

  getStanding(digest: string): Standing {
    const hold = this._holds.get(digest);
    if (hold !== undefined) return this._nowMs() < hold.untilMs ? "held" : "due-for-trial";
    return this.getWeight(digest) > 0 ? "suspected" : "unknown";
  }

  /** Requests that have been held back, or are to be tried again, for a while. */
  getHeldFor(durationMs: number): string[] {
    const untilMs = this._nowMs() - durationMs;
    return [...this._holds].flatMap(([digest, { sinceMs }]) => (sinceMs <= untilMs ? [digest] : []));
  }

  /** How often a request was held back; 0 where it was not, or was cleared since. */
  getHoldTimes(digest: string): number {
    return this._holds.get(digest)?.times ?? 0;
  }

  /** How long a request is still held back; 0 where it is not. */
  getQuarantineLeftMs(digest: string): number {
    return Math.max(0, (this._holds.get(digest)?.untilMs ?? 0) - this._nowMs());
  }

  /** What the crashes weigh that speak against a request, since a run of it last outlived its beginning. */
  getWeight(digest: string): number {
    let weight = 0;
    let countedAtMs = Number.NEGATIVE_INFINITY;
    for (const crash of this._crashes.values()) {
      const own = crash.suspects.get(digest);
      if (own === undefined) continue;
      const isKnownSound = this._isKnownSound(digest, crash.atMs);
      // Wherever many engines end at once, one that many callers send is at each of them.
      if (isKnownSound && Math.abs(crash.atMs - countedAtMs) <= crowdMs) continue;
      countedAtMs = crash.atMs;
      weight +=
        own * (isKnownSound ? knownSoundFactor : 1) * (this._isCrowded(crash, digest) ? crowdedFactor : 1);
    }
    return weight;
  }

  /** The life of the endpoint that a request crashed last. */
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
   * Takes what is known of a crash, which several instances may see, each with requests of its own.
   * @returns What of it was news; undefined if nothing was.
   */
  noteCrash(lifeId: string, atMs: number, suspects: ReadonlyMap<string, number>): ToldCrash | undefined {
    this._forgetOld();
    const known = this._crashes.get(lifeId);
    const crash = known ?? { atMs, suspects: new Map<string, number>() };
    const news = [...suspects]
      .sort(([, one], [, other]) => other - one)
      .filter(([digest, weight]) => this._addSuspect(crash, digest, weight));
    if (known === undefined) this._crashes.set(lifeId, crash);
    for (const [digest] of news) this._holdIfDue(digest, crash.atMs);
    keepNewest(this._crashes, mostCrashes);
    if (known !== undefined && news.length === 0) return undefined;
    return { lifeId, ageMs: this._getAgeMs(crash.atMs), suspects: news };
  }

  /**
   * Whether this instance may try a request after its hold, since it is its turn and nobody else does.
   * @param rank - How many other instances come first.
   */
  mayTry(digest: string, rank: number): boolean {
    const hold = this._holds.get(digest);
    if (hold === undefined) return false;
    // Two requests that are tried at once could crash together again.
    if ([...this._holds.values()].some((other) => this._isOnTrial(other))) return false;
    return this._nowMs() - hold.untilMs >= rank * trialTurnMs;
  }

  /** Notes that a request is tried after its hold; gives what is to be told, if that was news. */
  noteTrial({ digest, ageMs }: ToldTrial): ToldTrial | undefined {
    const hold = this._holds.get(digest);
    const atMs = this._nowMs() - ageMs;
    if (hold === undefined || this._isOnTrial(hold) || this._nowMs() < hold.untilMs) return undefined;
    hold.trialAtMs = atMs;
    return { digest, ageMs };
  }

  /** Remembers that a run of a request outlived its beginning at a time before it came under suspicion. */
  noteSound(digest: string, atMs: number): ToldClearing | undefined {
    if (this._isClearedSince(digest, atMs)) return undefined;
    return this._clear(digest, atMs);
  }

  /** Notes that a run of a request outlived its beginning; gives what is to be told, where anything spoke against the request. */
  noteSurvived(digest: string, atMs: number): ToldClearing | undefined {
    const isNews = this._holds.has(digest) || this._hasSuspect(digest);
    return isNews ? this.noteSound(digest, atMs) : undefined;
  }

  private _clear(digest: string, atMs: number): ToldClearing {
    this._clearedAtMs.delete(digest);
    this._clearedAtMs.set(digest, atMs);
    keepNewest(this._clearedAtMs, mostCases);
    for (const crash of this._crashes.values()) if (crash.atMs <= atMs) crash.suspects.delete(digest);
    const hold = this._holds.get(digest);
    if (hold !== undefined && hold.sinceMs <= atMs) this._release(digest);
    return { digest, ageMs: this._getAgeMs(atMs) };
  }

  /** Lets a request go by an operator's word. */
  release(digest: string): ToldClearing | undefined {
    return this.noteSurvived(digest, this._nowMs());
  }

  /** Takes a hold that a peer or the store knows. */
  noteHold({ digest, ageMs, leftMs, times }: ToldHold): ToldHold | undefined {
    const nowMs = this._nowMs();
    const sinceMs = nowMs - ageMs;
    if (this._isClearedSince(digest, sinceMs) || (this._holds.get(digest)?.times ?? 0) >= times)
      return undefined;
    this._setHold(digest, { sinceMs, untilMs: nowMs + leftMs, times, trialAtMs: Number.NEGATIVE_INFINITY });
    return { digest, ageMs, leftMs, times };
  }

  /** All that is known, for an instance that knows nothing yet. */
  getAllReports(): ToldCrashes {
    this._forgetOld();
    return {
      crashes: [...this._crashes].map(([lifeId, { atMs, suspects }]) => ({
        lifeId,
        ageMs: this._getAgeMs(atMs),
        suspects: [...suspects],
      })),
      clearings: [...this._clearedAtMs].map(([digest, atMs]) => ({ digest, ageMs: this._getAgeMs(atMs) })),
      holds: [...this._holds].map(([digest, hold]) => this._toTold(digest, hold)),
      trials: [],
    };
  }

  /** Takes what a peer told; gives what of it was news. */
  mergeReports(told: ToldCrashes): ToldCrashes {
    const nowMs = this._nowMs();
    // A hold that is known already is not begun anew by the crashes that led to it.
    return {
      clearings: told.clearings.flatMap(({ digest, ageMs }) => this.noteSound(digest, nowMs - ageMs) ?? []),
      holds: told.holds.flatMap((hold) => this.noteHold(hold) ?? []),
      trials: told.trials.flatMap((trial) => this.noteTrial(trial) ?? []),
      crashes: told.crashes.flatMap(
        ({ lifeId, ageMs, suspects }) => this.noteCrash(lifeId, nowMs - ageMs, new Map(suspects)) ?? [],
      ),
    };
  }

  /** Tells whether it was news. Beyond the most that one crash may have, the first ones stay. */
  private _addSuspect({ atMs, suspects }: Crash, digest: string, weight: number): boolean {
    const known = suspects.get(digest);
    if (known !== undefined ? known >= weight : suspects.size >= mostToldSuspects) return false;
    if (this._isClearedSince(digest, atMs)) return false;
    suspects.set(digest, weight);
    return true;
  }

  /** A crash after the end of a hold is that of a trial: the request is held back again, for longer. */
  private _holdIfDue(digest: string, crashedAtMs: number): void {
    const nowMs = this._nowMs();
    const before = this._holds.get(digest);
    if (before !== undefined && nowMs < before.untilMs) return;
    if (before === undefined ? this.getWeight(digest) < heldFromWeight : crashedAtMs <= before.sinceMs)
      return;
    const times = (before?.times ?? 0) + 1;
    const untilMs = nowMs + (times === 1 ? firstHoldMs : laterHoldMs);
    this._setHold(digest, { sinceMs: nowMs, untilMs, times, trialAtMs: Number.NEGATIVE_INFINITY });
  }

  private _isOnTrial({ trialAtMs }: Hold): boolean {
    return this._nowMs() - trialAtMs < trialMs;
  }

  private _setHold(digest: string, hold: Hold): void {
    this._holds.delete(digest);
    this._holds.set(digest, hold);
    keepNewest(this._holds, mostCases);
    for (const listener of this._listeners) listener(digest, this._toTold(digest, hold));
  }

  private _release(digest: string): void {
    this._holds.delete(digest);
    for (const listener of this._listeners) listener(digest, undefined);
  }

  private _isKnownSound(digest: string, atMs: number): boolean {
    const soundAtMs = this._clearedAtMs.get(digest);
    return soundAtMs !== undefined && atMs - soundAtMs < knownSoundMs;
  }

  /** Whether a crash has a cause that others share; a request that is at most of them is itself what they share. */
  private _isCrowded(crash: Crash, digest: string): boolean {
    const crowd = [...this._crashes.values()].filter(({ atMs }) => Math.abs(atMs - crash.atMs) <= crowdMs);
    const others = crowd.filter(({ suspects }) => !suspects.has(digest)).length;
    return others >= crowdCrashes && others >= crowd.length - others;
  }

  private _hasSuspect(digest: string): boolean {
    for (const crash of this._crashes.values()) if (crash.suspects.has(digest)) return true;
    return false;
  }

  private _isClearedSince(digest: string, atMs: number): boolean {
    return (this._clearedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY) >= atMs;
  }

  private _forgetOld(): void {
    const oldestMs = this._nowMs() - memoryMs;
    for (const [lifeId, { atMs }] of this._crashes) if (atMs < oldestMs) this._crashes.delete(lifeId);
    for (const [digest, atMs] of this._clearedAtMs) if (atMs < oldestMs) this._clearedAtMs.delete(digest);
    for (const [digest, { untilMs }] of this._holds) if (untilMs < oldestMs) this._release(digest);
  }

  private _toTold(digest: string, { sinceMs, untilMs, times }: Hold): ToldHold {
    return { digest, ageMs: this._getAgeMs(sinceMs), leftMs: untilMs - this._nowMs(), times };
  }

  private _getAgeMs(atMs: number): number {
    return Math.max(0, this._nowMs() - atMs);
  }
}

/** Drops the oldest entries of a map beyond a number. */
function keepNewest(map: Map<string, unknown>, most: number): void {
  for (const key of map.keys()) {
    if (map.size <= most) return;
    map.delete(key);
  }
}
