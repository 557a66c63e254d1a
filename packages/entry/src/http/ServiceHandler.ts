/** Handling of calls to plain services under `/services/{service}/…`. */
import { errors, results, utils } from "@shedtiller/common";
import {
  ServiceError,
  type AtMostOnceExecutor,
  type ServiceCall,
  type ServiceCaller,
} from "@shedtiller/claims";
import type { ConfigurationProjection, ServiceObject } from "@shedtiller/intent";
import type { InstanceSettings } from "@shedtiller/settings";
import type { Timeline } from "@shedtiller/timeline";
import type * as restify from "restify";
import type * as http from "node:http";
import type { InFlightRequests } from "../InFlightRequests.js";
import type { InstanceMetrics } from "../metrics/InstanceMetrics.js";
import { ApiError, ranHeader, requestIdHeader, sendError, toApiError } from "./apiErrors.js";
import { requireAccount, type AccountDirectory } from "./authenticate.js";
import * as callerRequest from "./callerRequest.js";
import { toStoredAnswer, type StoredAnswer, type StoredServiceAnswer } from "./StoredAnswer.js";

const notFoundStatus = 404;

/** Dependencies of {@link ServiceHandler}. */
export interface ServiceHandlerStructure {
  readonly settings: InstanceSettings;
  readonly configuration: ConfigurationProjection;
  readonly accounts: AccountDirectory;
  readonly caller: ServiceCaller;
  readonly atMostOnceExecutor: AtMostOnceExecutor<StoredAnswer>;
  readonly timeline: Timeline;
  readonly metrics: InstanceMetrics;
  readonly inFlight: InFlightRequests;
}

type ServiceOutcome = results.Result<StoredAnswer, errors.ShedtillerError & { ran: "no" | "unknown" }>;

/** Forwards calls to services. Calls that are not repeatable and have an idempotency key run at most once. */
export class ServiceHandler {
  constructor(private readonly _structure: ServiceHandlerStructure) {}

  /** Handles one call and sends its answer. */
  async handle(request: restify.Request, response: http.ServerResponse): Promise<void> {
    const { inFlight, metrics, accounts } = this._structure;
    requireAccount(request, accounts);
    const controller = new AbortController();
    const service = this._requireService(String(request.params.service));
    const call = this._createCall(request, service, controller.signal);
    // A call that runs at most once continues after its caller disconnects, so that a retry finds the answer.
    if (call.isRepeatable || call.idempotencyKey === undefined)
      callerRequest.abortOnDisconnect(response, controller);
    response.setHeader(requestIdHeader, call.requestId);
    const removeRequest = inFlight.add(call.requestId, controller);
    try {
      const outcome = await this._run(call);
      metrics.requests.inc({ kind: "service", outcome: this._send(response, call, outcome) });
    } finally {
      removeRequest();
    }
  }

  private _requireService(name: string): ServiceObject {
    const service = this._structure.configuration.getObject("service", name);
    if (service !== undefined) return service;
    throw new ApiError(
      notFoundStatus,
      "not_found_error",
      "service_not_found",
      `The service ${name} does not exist.`,
    );
  }

  /** Creates the call. It is repeatable only if both the service's configuration and the request's header allow it. */
  private _createCall(request: restify.Request, service: ServiceObject, signal: AbortSignal): ServiceCall {
    const isRepeatable = service.repeatable && request.header("shedtiller-repeatable") !== "no";
    const deadlineMs = callerRequest.getDeadlineMs(request, this._structure.settings.limits.requestTimeoutMs);
    const body: unknown = request.body;
    const prefix = `/services/${service.name}`;
    return {
      service: service.name,
      requestId: utils.newId(),
      method: request.method as ServiceCall["method"],
      path: (request.url ?? "").slice(prefix.length) || "/",
      contentType: request.header("content-type") || undefined,
      body: typeof body === "string" ? Buffer.from(body) : Buffer.isBuffer(body) ? body : new Uint8Array(),
      idempotencyKey: callerRequest.getIdempotencyKey(request),
      isRepeatable,
      timeoutMs: deadlineMs - utils.monotonicMs(),
      signal,
    };
  }

  private async _run(call: ServiceCall): Promise<ServiceOutcome> {
    if (call.isRepeatable || call.idempotencyKey === undefined) return this._call(call);
    return this._structure.atMostOnceExecutor.run(call.idempotencyKey, {
      requestId: call.requestId,
      deadlineMs: utils.monotonicMs() + call.timeoutMs,
      signal: call.signal,
      run: () => this._call(call),
    });
  }

  private async _call(call: ServiceCall): Promise<results.Result<StoredAnswer, ServiceError>> {
    const answer = await this._structure.caller.call(call);
    return answer.ok ? results.Ok(toStoredAnswer(answer.val)) : answer;
  }

  private _send(response: http.ServerResponse, call: ServiceCall, outcome: ServiceOutcome): string {
    const { timeline, metrics } = this._structure;
    const { requestId, service } = call;
    if (outcome.ok && outcome.val.kind === "service") {
      sendAnswer(response, outcome.val);
      timeline.add("answered", { requestId, subject: service, detail: `by ${outcome.val.endpoint}` });
      return "answered";
    }
    const error = outcome.ok
      ? new ApiError(
          409,
          "api_error",
          "outcome_unknown",
          "The idempotency key was used for a call of another kind.",
          "unknown",
        )
      : toApiError(outcome.val);
    if (error.ran === "no") metrics.refusals.inc({ reason: error.code });
    timeline.add(error.ran === "no" ? "refused" : "cancelled", {
      requestId,
      subject: service,
      detail: error.message,
    });
    sendError(response, error);
    return error.ran === "no" ? "refused" : "unknown";
  }
}

function sendAnswer(response: http.ServerResponse, answer: StoredServiceAnswer): void {
  const headers: http.OutgoingHttpHeaders = { [ranHeader]: "yes" };
  if (answer.contentType !== null) headers["content-type"] = answer.contentType;
  response.writeHead(answer.status, headers);
  response.end(Buffer.from(answer.body));
}
