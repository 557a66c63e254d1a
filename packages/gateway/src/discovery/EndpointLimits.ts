/** The limits that endpoints name with their answers: which one holds, and since when. */
import { utils } from "@shedtiller/common";
import type { StatedLimit } from "../http/EndpointStatement.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Endpoint } from "./Endpoint.js";

/** What an endpoint named last. */
export interface KnownLimit {
  /** Undefined once the endpoint answers without a limit again. */
  readonly perSecond: number | undefined;
  /** Monotonic time of the answer that said so first. */
  readonly atMs: number;
}

/** What the limits of an instance work with. */
export interface EndpointLimitsStructure {
  readonly log: DecisionLog;
  /** Counts answers that name a limit. */
  readonly count?: ((service: string) => void) | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

export type LimitListener = (endpoint: Endpoint) => void;

/** One an instance. */
export class EndpointLimits {
  private readonly _nowMs: () => number;
  private readonly _listeners: LimitListener[] = [];

  constructor(private readonly _structure: EndpointLimitsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Calls `listener` when an answer tells something new. */
  onLearnt(listener: LimitListener): void {
    this._listeners.push(listener);
  }

  /**
   * Takes what an answer to a request states.
   * @param sentAtMs - Monotonic time of the request: an answer may have been on its way while another one told something newer.
   */
  noteAnswer(endpoint: Endpoint, stated: StatedLimit, sentAtMs: number): void {
    if (stated.kind === "unreadable") return this._noteUnreadable(endpoint, stated.text);
    if (stated.kind === "named") this._structure.count?.(endpoint.listed.service);
    const perSecond = stated.kind === "named" ? stated.perSecond : undefined;
    if (!this._isNewer(endpoint.limit, perSecond, sentAtMs)) return;
    this._set(endpoint, { perSecond, atMs: this._nowMs() }, "answer");
    for (const listener of this._listeners) listener(endpoint);
  }

  /** Takes what a peer knows; tells whether it was news. */
  applyPeerLimit(endpoint: Endpoint, told: KnownLimit): boolean {
    const isNews = this._isNewer(endpoint.limit, told.perSecond, told.atMs);
    if (isNews) this._set(endpoint, told, "peer");
    return isNews;
  }

  /** Takes what a report states. Reports need not name a limit, so that one without it ends none. */
  noteReport(endpoint: Endpoint, stated: StatedLimit | undefined, sentAtMs: number): void {
    if (stated !== undefined && stated.kind !== "none") this.noteAnswer(endpoint, stated, sentAtMs);
  }

  /** A lower limit holds at once; what raises or ends one has to answer a request that was sent since it was known. */
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
    // Permits in hand were handed out by the limit before.
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

/** The name of the line for a change. */
function getEvent(before: number | undefined, perSecond: number | undefined): string {
  if (perSecond === undefined) return "endpoint-limit-ended";
  return before === undefined ? "endpoint-limit-began" : "endpoint-limit-changed";
}
