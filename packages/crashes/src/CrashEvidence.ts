import { isPartTrait } from "./requestTraits.js";

/**
 * If at least this number of other endpoints crashed at about the same time without running the trait, the crash may have a common cause
 * (a rack, a power supply, a network cut) and counts half. A trait that does crash its endpoints is then quarantined after six crashes.
 */
const coincidentCrashes = 2;
const coincidenceMs = 250;
const coincidenceFactor = 0.5;

/**
 * Crashes within this time count as one: endpoints that lose their power together crash all runs that they have in common. A suspect is not
 * sent to another endpoint before this time has passed.
 */
export const sameEventMs = 100;
/**
 * Crashes of a trait that was harmless shortly before count as one within a longer time, and less: it is present at most crashes if many
 * requests have it, and is only suspicious if none of these survives anywhere between the crashes.
 */
const knownHarmlessEventMs = 250;
const knownHarmlessFactor = 0.75;
/** Time for which a trait counts as harmless after a run with it has survived. */
export const knownHarmlessMs = 60_000;

/** Maximum number of suspects that are kept for one crash. */
const maxSuspectsPerCrash = 192;
/** Bounds on the memory, whatever callers send; the oldest entries are dropped first. */
const maxCrashes = 256;
const maxSurvivals = 1_024;

/** A crash of an endpoint. */
export interface Crash {
  readonly lifeId: string;
  readonly atMs: number;
  /** Traits of the runs that were in their initial phase, each with the weight of the evidence. */
  readonly suspects: Map<string, number>;
}

/**
 * The crashes of endpoints and the survivals of runs, from which the weight of the evidence against each trait follows. A crash ends all
 * runs of its endpoint, so a single one is weak evidence against each of their traits. What counts is consecutive crashes, as long as no run
 * with the trait survives its initial phase in between. All times are of one monotonic clock.
 */
export class CrashEvidence {
  /** Keyed by the life of the crashed endpoint; the oldest come first. */
  private readonly _crashes = new Map<string, Crash>();
  private readonly _crashesByTrait = new Map<string, Set<Crash>>();
  /** Latest time at which a run with the trait had survived its initial phase. */
  private readonly _survivedAtMs = new Map<string, number>();
  /** Weights that were computed since the last change. */
  private readonly _weights = new Map<string, number>();

  /** @param getConvicted - Returns the traits that are known to crash endpoints. */
  constructor(private readonly _getConvicted: () => Iterable<string>) {}

  get crashCount(): number {
    return this._crashes.size;
  }

  get crashes(): Iterable<Crash> {
    return this._crashes.values();
  }

  /** Traits that count as suspects of at least one crash. */
  get suspects(): Iterable<string> {
    return this._crashesByTrait.keys();
  }

  get survivals(): Iterable<readonly [trait: string, atMs: number]> {
    return this._survivedAtMs;
  }

  getCrash(lifeId: string): Crash | undefined {
    return this._crashes.get(lifeId);
  }

  /** Returns the weight of the crashes that count against a trait since a run with it last survived its initial phase. */
  getWeight(trait: string): number {
    if (!this.isSuspect(trait)) return 0;
    const known = this._weights.get(trait);
    if (known !== undefined) return known;
    const weight = this._computeWeight(trait);
    this._weights.set(trait, weight);
    return weight;
  }

  /** Returns whether a trait is a suspect of at least one crash. */
  isSuspect(trait: string): boolean {
    return this._crashesByTrait.has(trait);
  }

  /** Returns the latest crash that counts against a trait. */
  getNewestCrash(trait: string): Crash | undefined {
    let newest: Crash | undefined;
    for (const crash of this._crashesByTrait.get(trait) ?? [])
      if (newest === undefined || crash.atMs > newest.atMs) newest = crash;
    return newest;
  }

  /** Returns whether a run with the trait had survived its initial phase shortly before a time. */
  isKnownHarmless(trait: string, atMs: number): boolean {
    const survivedAtMs = this._survivedAtMs.get(trait);
    return survivedAtMs !== undefined && atMs - survivedAtMs < knownHarmlessMs;
  }

  /** Returns whether a run with the trait survived its initial phase at or after a time. */
  hasSurvivedSince(trait: string, atMs: number): boolean {
    return (this._survivedAtMs.get(trait) ?? Number.NEGATIVE_INFINITY) >= atMs;
  }

  /** Returns whether a crash is explained by another suspect that is known to crash endpoints. */
  isExplained(crash: Crash, trait: string): boolean {
    for (const convicted of this._getConvicted())
      if (convicted !== trait && crash.suspects.has(convicted)) return true;
    return false;
  }

  /**
   * Records a crash, which several instances may report, each with runs of its own.
   * @returns The crash, and the suspects that were new or have more weight than before.
   */
  add(
    lifeId: string,
    atMs: number,
    suspects: ReadonlyMap<string, number>,
  ): { readonly crash: Crash; readonly added: [trait: string, weight: number][] } {
    const crash = this._crashes.get(lifeId) ?? { lifeId, atMs, suspects: new Map<string, number>() };
    this._crashes.set(lifeId, crash);
    this.invalidate();
    const added = this._sort(suspects, crash.atMs).filter(([trait, weight]) =>
      this._addSuspect(crash, trait, weight),
    );
    for (const oldest of this._crashes.values()) {
      if (this._crashes.size <= maxCrashes) break;
      this._removeCrash(oldest);
    }
    return { crash, added };
  }

  /** Records that a run with the trait had survived its initial phase; earlier crashes no longer count against the trait. */
  noteSurvived(trait: string, atMs: number): void {
    this._survivedAtMs.delete(trait);
    this._survivedAtMs.set(trait, atMs);
    for (const oldest of this._survivedAtMs.keys()) {
      if (this._survivedAtMs.size <= maxSurvivals) break;
      this._survivedAtMs.delete(oldest);
    }
    for (const crash of this._crashesByTrait.get(trait) ?? [])
      if (crash.atMs <= atMs) this._removeSuspect(crash, trait);
    this.invalidate();
  }

  /** Removes what happened before a time. */
  removeBefore(oldestMs: number): void {
    for (const crash of this._crashes.values()) if (crash.atMs < oldestMs) this._removeCrash(crash);
    for (const [trait, atMs] of this._survivedAtMs) if (atMs < oldestMs) this._survivedAtMs.delete(trait);
  }

  /** Discards computed weights, since the traits that are known to crash endpoints have changed. */
  invalidate(): void {
    this._weights.clear();
  }

  private _computeWeight(trait: string): number {
    const against = [...(this._crashesByTrait.get(trait) ?? [])]
      .filter((crash) => !this.isExplained(crash, trait))
      .sort((one, other) => one.atMs - other.atMs);
    const isKnownHarmless = against[0] !== undefined && this.isKnownHarmless(trait, against[0].atMs);
    const eventMs = isKnownHarmless ? knownHarmlessEventMs : sameEventMs;
    let weight = 0;
    let eventWeight = 0;
    let eventAtMs = Number.NEGATIVE_INFINITY;
    for (const crash of against) {
      if (crash.atMs - eventAtMs >= eventMs) {
        weight += eventWeight;
        eventWeight = 0;
        eventAtMs = crash.atMs;
      }
      const factor = this._isCoincident(crash, trait) ? coincidenceFactor : 1;
      eventWeight = Math.max(eventWeight, factor * (crash.suspects.get(trait) ?? 0));
    }
    return (weight + eventWeight) * (isKnownHarmless ? knownHarmlessFactor : 1);
  }

  /**
   * Returns whether a crash probably has a common cause with others. A trait that was present at most of them is itself that cause, and crashes
   * that their own suspects explain have no other one.
   */
  private _isCoincident(crash: Crash, trait: string): boolean {
    const coincident = [...this._crashes.values()].filter(
      ({ atMs }) => Math.abs(atMs - crash.atMs) <= coincidenceMs,
    );
    const others = coincident.filter(({ suspects }) => !suspects.has(trait));
    const unexplained = others.filter((other) => !this._hasOwnCause(other));
    return unexplained.length >= coincidentCrashes && others.length >= coincident.length - others.length;
  }

  /** Returns whether a crash has a single suspect, which was one of an earlier crash as well. */
  private _hasOwnCause({ atMs, suspects }: Crash): boolean {
    const [suspect] = suspects.keys();
    if (suspect === undefined || suspects.size > 1) return false;
    const crashes = this._crashesByTrait.get(suspect) ?? [];
    return [...crashes].some((earlier) => atMs - earlier.atMs >= sameEventMs);
  }

  /**
   * Sorts suspects by how much is lost if they exceed the maximum of a crash: first those with crashes of their own, then those with more
   * weight, those that were not harmless shortly before, and parts of prompts before single requests.
   */
  private _sort(suspects: ReadonlyMap<string, number>, atMs: number): [string, number][] {
    if (suspects.size <= 1) return [...suspects];
    const getRank = ([trait, weight]: [string, number]): number =>
      (this.isSuspect(trait) ? 8 : 0) +
      4 * weight +
      (this.isKnownHarmless(trait, atMs) ? 0 : 2) +
      (isPartTrait(trait) ? 1 : 0);
    return [...suspects].sort((one, other) => getRank(other) - getRank(one));
  }

  /** Adds a suspect and returns whether it was new. Once the maximum number of suspects of a crash is reached, further ones are ignored. */
  private _addSuspect(crash: Crash, trait: string, weight: number): boolean {
    const known = crash.suspects.get(trait);
    if (known !== undefined ? known >= weight : crash.suspects.size >= maxSuspectsPerCrash) return false;
    if (this.hasSurvivedSince(trait, crash.atMs)) return false;
    crash.suspects.set(trait, weight);
    const crashes = this._crashesByTrait.get(trait) ?? new Set();
    this._crashesByTrait.set(trait, crashes.add(crash));
    return true;
  }

  private _removeCrash(crash: Crash): void {
    this._crashes.delete(crash.lifeId);
    for (const trait of crash.suspects.keys()) this._removeSuspect(crash, trait);
    this.invalidate();
  }

  private _removeSuspect(crash: Crash, trait: string): void {
    crash.suspects.delete(trait);
    const crashes = this._crashesByTrait.get(trait);
    crashes?.delete(crash);
    if (crashes?.size === 0) this._crashesByTrait.delete(trait);
  }
}
