import { utils } from "@shedtiller/common";
import { maxBackoffMs, backoffStatuses } from "@shedtiller/routing";
import type { StatedAnswer } from "../http/EndpointStatement.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { OrderTarget } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointLimits } from "./EndpointLimits.js";
import type { EndpointTable } from "./EndpointTable.js";

/** Maximum number of different unknown headers that are logged, since endpoints could send any number of them. */
const maxLoggedNames = 64;

/** The subject of a statement, used as a metric label. */
export type StatementKind = "rest" | "leaving" | "unknown-header" | "unreadable";

/** Dependencies of {@link EndpointStatements}. */
export interface EndpointStatementsStructure {
  readonly endpoints: Pick<EndpointTable, "get" | "getLife" | "noteDraining">;
  readonly limits: Pick<EndpointLimits, "noteAnswer" | "noteReport">;
  readonly log: DecisionLog;
  /** Counts answers with a statement about their endpoint. */
  readonly count?: ((kind: StatementKind, service: string) => void) | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/**
 * Applies the statements that endpoints make about themselves in the headers of their answers, whether they answer requests, streams,
 * report requests or orders. All such answers pass through this class.
 */
export class EndpointStatements {
  private readonly _nowMs: () => number;
  private readonly _loggedNames = new Set<string>();
  private readonly _drainingListeners: ((lifeId: string) => void)[] = [];

  constructor(private readonly _structure: EndpointStatementsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Calls `listener` when an answer is the first to state that an endpoint is draining. */
  onDraining(listener: (lifeId: string) => void): void {
    this._drainingListeners.push(listener);
  }

  /** Applies the statements of the answer to a request. */
  noteAnswer(endpoint: Endpoint, answer: StatedAnswer): void {
    endpoint.heardAtMs = this._nowMs();
    this._structure.limits.noteAnswer(endpoint, answer.stated.limit, answer.sentAtMs);
    if (answer.stated.load !== undefined) endpoint.noteStatedLoad(answer.stated.load, this._nowMs());
    this._noteBackoffEnded(endpoint);
    this._noteOtherStatements(endpoint, answer);
  }

  /** Applies the statements of the answer to an order or a report request. */
  noteOrderAnswer(target: OrderTarget, answer: StatedAnswer): void {
    const { endpoints, limits } = this._structure;
    const endpoint =
      target.lifeId === undefined ? endpoints.get(target.id) : endpoints.getLife(target.lifeId);
    if (endpoint === undefined) return;
    endpoint.heardAtMs = this._nowMs();
    limits.noteReport(endpoint, answer.stated.limit, answer.sentAtMs);
    this._noteOtherStatements(endpoint, answer);
  }

  private _noteOtherStatements(endpoint: Endpoint, answer: StatedAnswer): void {
    if (backoffStatuses.includes(answer.status)) this._noteRetryAfter(endpoint, answer);
    if (answer.stated.isDraining) this._noteDraining(endpoint);
    for (const name of answer.stated.unknownHeaderNames) this._noteUnknownHeader(endpoint, name);
  }

  private _noteRetryAfter(endpoint: Endpoint, { status, stated }: StatedAnswer): void {
    const { retryAfter } = stated;
    if (retryAfter.kind === "none") return;
    if (retryAfter.kind === "unreadable") {
      this._count("unreadable", endpoint);
      this._structure.log.error("endpoint-rest-unreadable", { ...describe(endpoint), text: retryAfter.text });
      return;
    }
    this._count("rest", endpoint);
    const nowMs = this._nowMs();
    const restMs = Math.min(retryAfter.afterMs, maxBackoffMs);
    if (!endpoint.backoff.extendTo(nowMs + restMs, nowMs)) return;
    this._structure.log.info("endpoint-rest-began", {
      ...describe(endpoint),
      status,
      restMs,
      namedMs: retryAfter.afterMs,
    });
  }

  private _noteBackoffEnded(endpoint: Endpoint): void {
    const restMs = endpoint.backoff.takeEndedMs(this._nowMs());
    if (restMs !== undefined)
      this._structure.log.info("endpoint-rest-ended", { ...describe(endpoint), restMs });
  }

  /**
   * Stops new work for a draining endpoint and notifies the listeners, which inform the peers. The endpoint states its draining only in
   * answers, so without this message each instance would first have to send it a request.
   */
  private _noteDraining(endpoint: Endpoint): void {
    this._count("leaving", endpoint);
    if (!this._structure.endpoints.noteDraining(endpoint.lifeId)) return;
    this._structure.log.info("endpoint-leaves", { ...describe(endpoint), source: "answer" });
    for (const listener of this._drainingListeners) listener(endpoint.lifeId);
  }

  /** Logs each unknown header once, so that operators notice a header that no code reads as soon as an endpoint sends it. */
  private _noteUnknownHeader(endpoint: Endpoint, name: string): void {
    this._count("unknown-header", endpoint);
    if (this._loggedNames.has(name) || this._loggedNames.size >= maxLoggedNames) return;
    this._loggedNames.add(name);
    this._structure.log.warn("endpoint-header-unknown", { ...describe(endpoint), name });
  }

  private _count(kind: StatementKind, endpoint: Endpoint): void {
    this._structure.count?.(kind, endpoint.listed.service);
  }
}

function describe({ id, listed }: Endpoint): { endpointId: string; address: string; service: string } {
  return { endpointId: id, address: listed.address, service: listed.service };
}
