/** The abstract base class of forwarders, and the dependencies and constants that they share. */
import type { ConcurrentRestarts } from "../chains/ConcurrentRestarts.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { RouteTarget } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { FailureDetector } from "../discovery/FailureDetector.js";
import type { CrashDetector } from "../crashes/CrashDetector.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { AnswerTooLargeError } from "../http/AnswerTooLargeError.js";
import { EndlessAnswerError } from "../http/EndlessAnswerError.js";
import type { ConnectionPath } from "../http/Connector.js";
import type { CallError, HttpCall } from "../http/HttpCall.js";
import type { HttpClient } from "../http/HttpClient.js";
import type { ChainStage, MessageCodec } from "../http/MessageCodec.js";
import type { LoadControls } from "../loadcontrol/LoadControls.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EndpointPaths } from "../paths/EndpointPaths.js";
import { errors, utils } from "@shedtiller/common";
import type { CallerRequest } from "./CallerRequest.js";
import type { PermitForecast } from "./PermitForecast.js";
import type { RequestDemand } from "./RequestDemand.js";
import type { RetryBudgets } from "./RetryBudgets.js";
import type { StreamRunLogStructure } from "./StreamRunLog.js";

/** Dependencies of every {@link RequestForwarder}. */
export interface ForwardContext {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly httpClient: HttpClient;
  readonly codec: MessageCodec;
  readonly budgets: RetryBudgets;
  readonly log: DecisionLog;
  readonly availabilityZone: string;
  readonly failureDetector: Pick<
    FailureDetector,
    "noteUnresponsive" | "noteReportedFaulty" | "noteLayersMissing"
  >;
  readonly crashes: Pick<
    CrashDetector,
    | "isQuiet"
    | "ledger"
    | "begin"
    | "end"
    | "noteFirstEvent"
    | "noteCompleted"
    | "noteLost"
    | "getQuarantineMs"
    | "waitForTurn"
    | "getAvoidedEndpointIds"
    | "getRisk"
  >;
  readonly paths: Pick<EndpointPaths, "getFailure" | "isIsolated">;
  readonly statements: Pick<EndpointStatements, "noteAnswer">;
  readonly demand: RequestDemand;
  readonly forecast: PermitForecast;
  /** Streams that other instances send again at the same moment as this one. */
  readonly restarts: ConcurrentRestarts;
  readonly controls: Pick<LoadControls, "gates" | "flows"> & Partial<LoadControls>;
  /** Counts how doubts about runs of streams ended. */
  readonly countDoubt?: StreamRunLogStructure["countDoubt"];
  /** Counts answers that were ended since they went on beyond their limits. */
  readonly countEndless?: (service: string, cause: string) => void;
  /** Reports to the peers that an endpoint rejected a request for lack of capacity. */
  readonly broadcastFull: (endpointId: string) => void;
}

/**
 * Maximum time to establish a connection. Round trips take less than 2 ms, and a lost SYN packet is retransmitted only after 1 s, so a
 * longer wait rarely helps.
 */
export const connectTimeoutMs = 400;

/** Lowest status that counts as a failure of the endpoint itself. */
export const failureStatus = 500;

/** Retry-After while no endpoint accepts new requests: replacements are listed about one heartbeat interval later. */
export const noEndpointRetryAfterMs = 1_000;

/** What prevents another send of a request. */
export type RetryObstacle = "caller-left" | "no-attempt" | "no-time" | "no-retry-budget";

/** Handles requests of one kind from their admission to their answer. */
export abstract class RequestForwarder {
  constructor(protected readonly context: ForwardContext) {}

  /** Forwards the request to endpoints of `service` and answers it. */
  abstract run(request: CallerRequest, service: string): Promise<void>;

  /** Creates the HTTP call that forwards the request to an endpoint. */
  protected createCall(
    request: CallerRequest,
    endpoint: Endpoint,
    options: {
      readonly headTimeoutMs: number;
      readonly isFresh: boolean;
      /** Maximum time to establish a connection; the usual one by default. */
      readonly connectTimeoutMs?: number;
      readonly lastEventId?: string | undefined;
      readonly chain?: readonly ChainStage[] | undefined;
      readonly signal?: AbortSignal;
      readonly onConnected?: (path: ConnectionPath | undefined) => void;
      readonly onPathLost?: () => void;
    },
  ): HttpCall {
    const headers = this.context.codec.encodeForEndpoint(request.headers, {
      deadlineMs: Math.max(1, Math.floor(request.getRemainingMs())),
      endpointId: endpoint.id,
      accountName: request.account?.name,
      priority: request.priority,
      lastEventId: options.lastEventId,
      chain: options.chain,
    });
    return {
      address: endpoint.listed.address,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      isFresh: options.isFresh,
      connectTimeoutMs: options.connectTimeoutMs ?? connectTimeoutMs,
      headTimeoutMs: options.headTimeoutMs,
      signal: options.signal ?? request.signal,
      isRepeatable: request.isIdempotent,
      mayStillBeSent: () => this._mayStillBeSent(request, endpoint),
      onPathLost: options.onPathLost,
      onConnected: (path) => {
        request.sends.noteSent();
        this._notePath(request, endpoint, path);
        options.onConnected?.(path);
      },
      onOver: () => request.sends.noteOver(),
    };
  }

  /**
   * Rejects the request if it is quarantined; returns whether the request was rejected. A quarantined request has crashed several
   * endpoints, and each crash aborts all requests in flight there. Repeating the request gives the same rejection immediately, with a long
   * Retry-After time.
   */
  protected async refuseIfQuarantined(request: CallerRequest, hasRun: boolean): Promise<boolean> {
    const { crashes } = this.context;
    if (crashes.isQuiet) return false;
    await crashes.waitForTurn(request);
    const quarantineMs = crashes.getQuarantineMs(request);
    if (quarantineMs === undefined) return false;
    this.context.log.info("request-held-back", {
      requestId: request.id,
      digest: request.digest,
      traits: crashes.ledger.getQuarantined(request.traits),
      hasRun,
      leftMs: Math.round(quarantineMs),
    });
    if (hasRun || request.isHeadSent) request.refuse(502, "held-back");
    else request.refuse(503, "held-back", quarantineMs);
    return true;
  }

  /** Records that an answer was ended since it went on beyond its limits. The endpoint is avoided like one that fails at once. */
  protected noteEndless(
    request: CallerRequest,
    endpoint: Endpoint,
    error: CallError,
    sentAtMs: number,
  ): void {
    const nowMs = utils.monotonicMs();
    const { service, address } = endpoint.listed;
    endpoint.circuitBreaker.noteEndless(sentAtMs, nowMs);
    this.context.countEndless?.(service, error.code);
    this.context.log.warn("answer-ended", {
      requestId: request.id,
      service,
      endpointId: endpoint.id,
      address,
      cause: error.code,
      part: error instanceof EndlessAnswerError ? error.part : "body",
      sinceSentMs: Math.round(nowMs - sentAtMs),
    });
  }

  /** Returns whether nothing that became known after the choice of the endpoint forbids the send. */
  private _mayStillBeSent(request: CallerRequest, endpoint: Endpoint): boolean {
    if (endpoint.backoff.getLeftMs(utils.monotonicMs()) > 0) return false;
    const { crashes } = this.context;
    return crashes.isQuiet || crashes.ledger.getRequestStatus(request.traits) !== "held";
  }

  private _notePath(request: CallerRequest, endpoint: Endpoint, path: ConnectionPath | undefined): void {
    request.peer = path?.peer;
    if (path === undefined) return;
    const fields = { requestId: request.id, endpointId: endpoint.id, ...path };
    this.context.log.info("request-sent-through-peer", fields);
  }

  /**
   * Withdraws a retry for one more send of the request if the request has attempts and time left.
   * @returns What prevents a retry; undefined if the request may be sent again.
   */
  protected withdrawRetry(request: CallerRequest, service: string): RetryObstacle | undefined {
    const obstacle = getOwnObstacle(request);
    if (obstacle !== undefined) return obstacle;
    const permit = this.context.budgets.tryReserve(service);
    if (permit === undefined) return "no-retry-budget";
    request.sends.addRetry(permit);
    return undefined;
  }

  /**
   * Reserves a retry for the next send of the request, which may have to wait for room. Has no effect if the request has a retry that it has
   * not sent.
   * @returns What prevents a retry; undefined if the request may be sent again.
   */
  protected reserveRetry(request: CallerRequest, service: string): RetryObstacle | undefined {
    return request.sends.hasUnsentRetry ? getOwnObstacle(request) : this.withdrawRetry(request, service);
  }

  /** Returns what prevents a retry of the request now; undefined if nothing does. */
  protected getRetryObstacle(request: CallerRequest, service: string): RetryObstacle | undefined {
    const obstacle = getOwnObstacle(request);
    if (obstacle !== undefined) return obstacle;
    return this.context.budgets.canWithdraw(service) ? undefined : "no-retry-budget";
  }
}

/** Returns whether an answer whose headers had arrived went on beyond its limits, in size or in time. */
export function isEndless(error: CallError): boolean {
  return (
    error instanceof EndlessAnswerError ||
    error instanceof AnswerTooLargeError ||
    error instanceof errors.DeadlineError
  );
}

/** Returns what prevents a retry of the request whatever the budget. */
function getOwnObstacle(request: CallerRequest): RetryObstacle | undefined {
  if (request.signal.aborted) return "caller-left";
  if (request.attempts >= request.route.maxAttempts) return "no-attempt";
  return request.getRemainingMs() <= 0 ? "no-time" : undefined;
}

/**
 * Picks a service at random by the weights of a route's targets.
 * @param random - A number from 0 to 1.
 */
export function pickTarget(targets: readonly RouteTarget[], random: number): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return targets[0]?.service ?? "";
}
