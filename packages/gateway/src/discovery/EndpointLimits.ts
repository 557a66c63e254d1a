import { utils } from "@shedtiller/common";
import type { StatedLimit } from "../http/EndpointStatement.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Endpoint } from "./Endpoint.js";

/** The request rate limit that an endpoint stated last. */
export interface KnownLimit {
  /** Undefined once the endpoint answers without a limit again. */
  readonly perSecond: number | undefined;
  /** Monotonic time at which the first answer with this limit arrived. */
  readonly atMs: number;
}

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsStructure {
  readonly log: DecisionLog;
  /** Counts answers that state a limit. */
  readonly count?: ((service: string) => void) | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

export type LimitListener = (endpoint: Endpoint) => void;

/** Tracks the request rate limits that endpoints state with their answers, and decides which of several statements applies. */
export class EndpointLimits {
  private readonly _nowMs: () => number;
  private readonly _listeners: LimitListener[] = [];

  constructor(private readonly _structure: EndpointLimitsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Calls `listener` when an answer changes the limit of an endpoint. */
  onChangedByAnswer(listener: LimitListener): void {
    this._listeners.push(listener);
  }

  /**
   * Applies the limit that the answer to a request states.
   * @param sentAtMs - Monotonic time of the request: answers can arrive out of order, so that a later one may be older.
   */
  noteAnswer(endpoint: Endpoint, stated: StatedLimit, sentAtMs: number): void {
    if (stated.kind === "unreadable") return this._noteUnreadable(endpoint, stated.text);
    if (stated.kind === "named") this._structure.count?.(endpoint.listed.service);
    const perSecond = stated.kind === "named" ? stated.perSecond : undefined;
    if (!this._isNewer(endpoint.limit, perSecond, sentAtMs)) return;
    this._set(endpoint, { perSecond, atMs: this._nowMs() }, "answer");
    for (const listener of this._listeners) listener(endpoint);
  }

  /**
   * Applies the limit that a peer reported.
   * @returns Whether the limit changed.
   */
  applyPeerLimit(endpoint: Endpoint, reported: KnownLimit): boolean {
    const isNewer = this._isNewer(endpoint.limit, reported.perSecond, reported.atMs);
    if (isNewer) this._set(endpoint, reported, "peer");
    return isNewer;
  }

  /** Applies the limit that a report states. Reports need not state a limit, so that a report without one does not end a limit. */
  noteReport(endpoint: Endpoint, stated: StatedLimit | undefined, sentAtMs: number): void {
    if (stated !== undefined && stated.kind !== "none") this.noteAnswer(endpoint, stated, sentAtMs);
  }

  /**
   * Returns whether a statement replaces the known limit. A lower limit applies at once; a statement that raises or ends the limit has to
   * answer a request that was sent after the limit became known.
   */
  private _isNewer(known: KnownLimit | undefined, perSecond: number | undefined, sentAtMs: number): boolean {
    if (known === undefined) return perSecond !== undefined;
    if (known.perSecond === perSecond) return false;
    if (known.perSecond !== undefined && perSecond !== undefined && perSecond < known.perSecond) return true;
    return sentAtMs > known.atMs;
  }

  private _set(endpoint: Endpoint, limit: KnownLimit, source: "answer" | "peer"): void {
    const before = endpoint.limit?.perSecond;
    const { perSecond } = limit;
    endpoint.limit = limit;
    // Local permits were granted under the previous limit.
    if (perSecond === undefined || perSecond < (before ?? 0)) endpoint.permits.clear();
    this._structure.log.info(getEvent(before, perSecond), {
      endpointId: endpoint.id,
      address: endpoint.listed.address,
      service: endpoint.listed.service,
      before,
      perSecond,
      source,
    });
  }

  private _noteUnreadable(endpoint: Endpoint, text: string): void {
    this._structure.log.error("endpoint-limit-unreadable", {
      endpointId: endpoint.id,
      address: endpoint.listed.address,
      text,
    });
  }
}

/** Returns the event name for a change of the limit. */
function getEvent(before: number | undefined, perSecond: number | undefined): string {
  if (perSecond === undefined) return "endpoint-limit-ended";
  return before === undefined ? "endpoint-limit-began" : "endpoint-limit-changed";
}
