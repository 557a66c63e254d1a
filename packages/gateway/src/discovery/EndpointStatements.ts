/** The one place that takes what answers say of their endpoints, whatever they answer: requests, streams, reports or orders. */
import { utils } from "@shedtiller/common";
import { maxBackoffMs, backoffStatuses } from "@shedtiller/routing";
import type { StatedAnswer } from "../http/EndpointStatement.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { OrderTarget } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointLimits } from "./EndpointLimits.js";
import type { EndpointTable } from "./EndpointTable.js";

/** Different unknown headers that are logged; endpoints could send any number of them. */
const mostLoggedNames = 64;

/** What a statement was about. */
export type StatementKind = "rest" | "leaving" | "unknown-header" | "unreadable";

/** What statements work with. */
export interface EndpointStatementsStructure {
  readonly endpoints: Pick<EndpointTable, "get" | "getLife" | "noteDraining">;
  readonly limits: Pick<EndpointLimits, "noteAnswer" | "noteReport">;
  readonly log: DecisionLog;
  /** Counts answers that say something of their endpoint. */
  readonly count?: ((what: StatementKind, service: string) => void) | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** One an instance. */
export class EndpointStatements {
  private readonly _nowMs: () => number;
  private readonly _loggedNames = new Set<string>();
  private readonly _leavingListeners: ((lifeId: string) => void)[] = [];

  constructor(private readonly _structure: EndpointStatementsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Calls `listener` when an answer was the first to say that an endpoint leaves. */
  onDraining(listener: (lifeId: string) => void): void {
    this._leavingListeners.push(listener);
  }

  /** Takes what the answer to a request states. */
  noteAnswer(endpoint: Endpoint, answer: StatedAnswer): void {
    this._structure.limits.noteAnswer(endpoint, answer.stated.limit, answer.sentAtMs);
    this._noteRestEnded(endpoint);
    this._noteBeyondLimit(endpoint, answer);
  }

  /** Takes what the answer to an order or a question states. */
  noteOrderAnswer(target: OrderTarget, answer: StatedAnswer): void {
    const { endpoints, limits } = this._structure;
    const endpoint =
      target.lifeId === undefined ? endpoints.get(target.id) : endpoints.getLife(target.lifeId);
    if (endpoint === undefined) return;
    limits.noteReport(endpoint, answer.stated.limit, answer.sentAtMs);
    this._noteBeyondLimit(endpoint, answer);
  }

  private _noteBeyondLimit(endpoint: Endpoint, answer: StatedAnswer): void {
    if (backoffStatuses.includes(answer.status)) this._noteReturn(endpoint, answer);
    if (answer.stated.isDraining) this._noteLeaving(endpoint);
    for (const name of answer.stated.unknownHeaderNames) this._noteUnknown(endpoint, name);
  }

  private _noteReturn(endpoint: Endpoint, { status, stated }: StatedAnswer): void {
    const { retryAfter: comeBack } = stated;
    if (comeBack.kind === "none") return;
    if (comeBack.kind === "unreadable") {
      this._count("unreadable", endpoint);
      this._structure.log.error("endpoint-rest-unreadable", { ...describe(endpoint), text: comeBack.text });
      return;
    }
    this._count("rest", endpoint);
    const nowMs = this._nowMs();
    const restMs = Math.min(comeBack.afterMs, maxBackoffMs);
    if (!endpoint.backoff.extendTo(nowMs + restMs, nowMs)) return;
    this._structure.log.info("endpoint-rest-began", {
      ...describe(endpoint),
      status,
      restMs,
      namedMs: comeBack.afterMs,
    });
  }

  private _noteRestEnded(endpoint: Endpoint): void {
    const restMs = endpoint.backoff.takeEndedMs(this._nowMs());
    if (restMs !== undefined)
      this._structure.log.info("endpoint-rest-ended", { ...describe(endpoint), restMs });
  }

  /** It gets nothing new from now on; all instances are told, since it answers each of them only once it was asked in vain. */
  private _noteLeaving(endpoint: Endpoint): void {
    this._count("leaving", endpoint);
    if (!this._structure.endpoints.noteDraining(endpoint.lifeId)) return;
    this._structure.log.info("endpoint-leaves", { ...describe(endpoint), source: "answer" });
    for (const listener of this._leavingListeners) listener(endpoint.lifeId);
  }

  /** Logs each name once: an endpoint that states what nothing reads is seen on its first day. */
  private _noteUnknown(endpoint: Endpoint, name: string): void {
    this._count("unknown-header", endpoint);
    if (this._loggedNames.has(name) || this._loggedNames.size >= mostLoggedNames) return;
    this._loggedNames.add(name);
    this._structure.log.warn("endpoint-header-unknown", { ...describe(endpoint), name });
  }

  private _count(what: StatementKind, endpoint: Endpoint): void {
    this._structure.count?.(what, endpoint.listed.service);
  }
}

function describe({ id, listed }: Endpoint): { endpointId: string; address: string; service: string } {
  return { endpointId: id, address: listed.address, service: listed.service };
}
