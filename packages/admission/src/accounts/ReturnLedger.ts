/** Time after its return time for which a request that was rejected is expected: callers wait as told, and their links take a moment. */
const graceMs = 1_000;
/** A request may come back this long before its time, since timers of callers are inexact. */
const toleranceMs = 20;

/** What is known of a request with a digest: never rejected, back before its time, or back in time. */
export type ReturnStatus =
  | { readonly kind: "first" }
  | { readonly kind: "early"; readonly remainingMs: number }
  | { readonly kind: "returned" };

/** The requests with one digest that were rejected and are expected back. */
export interface ExpectedReturn {
  readonly service: string;
  readonly priority: number;
  readonly returnAtMs: number;
  /** Callers who were promised to be admitted in time. */
  readonly returns: number;
  /** Callers without a promise, or who came back before their time: they count as first attempts when they are in time. */
  readonly others: number;
}

/**
 * Remembers rejected requests by their digests until they come back or their time has passed. Several callers may send the same request, so
 * it counts them. Bounded: the oldest entries give way, whose callers count as first attempts.
 */
export class ReturnLedger {
  private readonly _entries = new Map<string, ExpectedReturn>();

  /** @param _capacity - Maximum number of digests. */
  constructor(private readonly _capacity: number) {}

  get size(): number {
    return this._entries.size;
  }

  /** Records that a request was rejected with a time to return. */
  noteRejected(
    digest: string,
    { service, priority, returnAtMs }: Pick<ExpectedReturn, "service" | "priority" | "returnAtMs">,
    isPromised: boolean,
  ): void {
    const known = this._entries.get(digest);
    this._set(digest, {
      service,
      priority,
      returnAtMs: Math.max(returnAtMs, known?.returnAtMs ?? returnAtMs),
      returns: (known?.returns ?? 0) + (isPromised ? 1 : 0),
      others: (known?.others ?? 0) + (isPromised ? 0 : 1),
    });
  }

  has(digest: string): boolean {
    return this._entries.has(digest);
  }

  /** Returns whether a request that arrives is a return. */
  getStatus(digest: string, nowMs: number): ReturnStatus {
    const known = this._entries.get(digest);
    if (known === undefined || nowMs > known.returnAtMs + graceMs) return { kind: "first" };
    const remainingMs = known.returnAtMs - nowMs;
    if (remainingMs > toleranceMs) return { kind: "early", remainingMs };
    return known.returns > 0 ? { kind: "returned" } : { kind: "first" };
  }

  /** Records the arrival of a request with the status that it has. */
  noteArrival(digest: string, { kind }: ReturnStatus): void {
    const known = this._entries.get(digest);
    if (known === undefined) return;
    const { returns, others } = known;
    if (kind === "early")
      this._set(digest, { ...known, returns: Math.max(0, returns - 1), others: others + 1 });
    else if (kind === "returned") this._set(digest, { ...known, returns: returns - 1 });
    else this._set(digest, { ...known, others: others - 1 });
  }

  /** Forgets a request that came back elsewhere. */
  remove(digest: string): void {
    this._entries.delete(digest);
  }

  /** Returns the expected returns by digest, without those whose time has passed. */
  getExpected(nowMs: number): ReadonlyMap<string, ExpectedReturn> {
    for (const [digest, { returnAtMs }] of this._entries)
      if (nowMs > returnAtMs + graceMs) this._entries.delete(digest);
    return this._entries;
  }

  private _set(digest: string, entry: ExpectedReturn): void {
    this._entries.delete(digest);
    if (entry.returns + entry.others <= 0) return;
    this._entries.set(digest, entry);
    const [oldest] = this._entries.keys();
    if (this._entries.size > this._capacity && oldest !== undefined) this._entries.delete(oldest);
  }
}
