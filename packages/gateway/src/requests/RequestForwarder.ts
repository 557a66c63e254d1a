/** The parts that forwarders share, and the abstract class of the variants. */
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { RouteTarget } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { FailureDetector } from "../discovery/FailureDetector.js";
import type { CrashDetector } from "../crashes/CrashDetector.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { HttpCall } from "../http/HttpCall.js";
import type { HttpClient } from "../http/HttpClient.js";
import type { ChainStage, MessageCodec } from "../http/MessageCodec.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { PermitForecast } from "./PermitForecast.js";
import type { RequestDemand } from "./RequestDemand.js";
import type { RetryBudgets } from "./RetryBudgets.js";

/** What every forwarder works with. */
export interface ForwardContext {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly httpClient: HttpClient;
  readonly codec: MessageCodec;
  readonly budgets: RetryBudgets;
  readonly log: DecisionLog;
  readonly availabilityZone: string;
  readonly suspicions: Pick<FailureDetector, "noteSilent" | "noteNamed" | "noteNotHeld">;
  readonly crashes: Pick<
    CrashDetector,
    | "isQuiet"
    | "begin"
    | "end"
    | "noteCompleted"
    | "noteLost"
    | "getQuarantineMs"
    | "waitForTurn"
    | "getAvoidedEndpointIds"
    | "getRisk"
  >;
  readonly statements: Pick<EndpointStatements, "noteAnswer">;
  readonly demand: RequestDemand;
  readonly forecast: PermitForecast;
  /** Tells the peers that an endpoint refused for want of room. */
  readonly broadcastFull: (endpointId: string) => void;
}

/** A connection that does not stand after this is given up: round trips are below 2 ms, a lost opening packet costs 1 s. */
const connectTimeoutMs = 400;

/** From here on an answer is a failure of the endpoint itself. */
export const failureStatus = 500;

/** When to come back while no endpoint takes anything new: others are listed about a heartbeat later. */
export const noEndpointRetryAfterMs = 1_000;

/** Handles requests of one kind from their acceptance to their answer. */
export abstract class RequestForwarder {
  constructor(protected readonly context: ForwardContext) {}

  /** Forwards the request to endpoints of `service` and answers it. */
  abstract run(request: CallerRequest, service: string): Promise<void>;

  /** The call that passes the request on to an endpoint. */
  protected createCall(
    request: CallerRequest,
    endpoint: Endpoint,
    options: {
      readonly headTimeoutMs: number;
      readonly isFresh: boolean;
      readonly lastEventId?: string | undefined;
      readonly chain?: readonly ChainStage[] | undefined;
      readonly signal?: AbortSignal;
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
      connectTimeoutMs,
      headTimeoutMs: options.headTimeoutMs,
      signal: options.signal ?? request.signal,
    };
  }

  /**
   * Ends a request that is held back, and tells whether it did. It has crashed several endpoints, and each one takes everybody's requests
   * with it: whoever asks again gets the same answer at once, and a time to come back that calls nobody back soon.
   */
  protected async endIfHeldBack(request: CallerRequest, hasRun: boolean): Promise<boolean> {
    const { crashes } = this.context;
    if (crashes.isQuiet) return false;
    await crashes.waitForTurn(request);
    const heldBackMs = crashes.getQuarantineMs(request);
    if (heldBackMs === undefined) return false;
    this.context.log.info("request-held-back", {
      requestId: request.id,
      digest: request.digest,
      hasRun,
      leftMs: Math.round(heldBackMs),
    });
    if (hasRun || request.isHeadSent) request.refuse(502, "held-back");
    else request.refuse(503, "held-back", heldBackMs);
    return true;
  }

  /** Whether the request may be sent once more, within its own attempts and the budget of all instances. */
  protected mayRetry(request: CallerRequest, service: string): boolean {
    if (request.attempts >= request.route.maxAttempts) return false;
    if (request.getRemainingMs() <= 0 || request.signal.aborted) return false;
    return this.context.budgets.tryTake(service);
  }
}

/** Picks a service by the weights of a route's targets. */
export function pickTarget(targets: readonly RouteTarget[], random: number): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = random * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return targets[0]?.service ?? "";
}
