/** Calls to plain services under `/services/{service}/…`. */
import { errors, results, utils } from "@shedtiller/common";
import { ServiceError, type AtMostOnce, type ServiceCall, type ServiceCaller } from "@shedtiller/claims";
import type { ConfigurationProjection, ServiceObject } from "@shedtiller/intent";
import type { InstanceSettings } from "@shedtiller/settings";
import type { Timeline } from "@shedtiller/timeline";
import type * as restify from "restify";
import type * as http from "node:http";
import type { InFlightRequests } from "../InFlightRequests.js";
import type { InstanceMetrics } from "../metrics/InstanceMetrics.js";
import { ApiError, ranHeader, requestIdHeader, sendError, toApiError } from "./apiErrors.js";
import { requireAccount, type AccountDirectory } from "./authenticate.js";
import * as guard from "./requestGuard.js";
import { toStoredAnswer, type StoredAnswer, type StoredServiceAnswer } from "./StoredAnswer.js";

const notFoundStatus = 404;

/** What the handler works with. */
export interface ServiceStructure {
  readonly settings: InstanceSettings;
  readonly fold: ConfigurationProjection;
  readonly accounts: AccountDirectory;
  readonly caller: ServiceCaller;
  readonly once: AtMostOnce<StoredAnswer>;
  readonly timeline: Timeline;
  readonly metrics: InstanceMetrics;
  readonly inFlight: InFlightRequests;
}

type ServiceOutcome = results.Result<StoredAnswer, errors.ShedtillerError & { ran: "no" | "unknown" }>;

/** Passes calls on; those that are not repeatable run at most once. */
export class ServiceHandler {
  constructor(private readonly _structure: ServiceStructure) {}

  async handle(request: restify.Request, response: http.ServerResponse): Promise<void> {
    const { inFlight, metrics, accounts } = this._structure;
    requireAccount(request, accounts);
    const controller = new AbortController();
    const service = this._requireService(String(request.params.service));
    const call = this._createCall(request, service, controller.signal);
    // Once claimed, a call goes on when its caller goes away: the caller's next try finds the answer.
    if (call.isRepeatable || call.idempotencyKey === undefined) guard.abortWithCaller(response, controller);
    response.setHeader(requestIdHeader, call.requestId);
    const leave = inFlight.add(call.requestId, controller);
    try {
      const outcome = await this._run(call);
      metrics.requests.inc({ kind: "service", outcome: this._send(response, call, outcome) });
    } finally {
      leave();
    }
  }

  private _requireService(name: string): ServiceObject {
    const service = this._structure.fold.getObject("service", name);
    if (service !== undefined) return service;
    throw new ApiError(
      notFoundStatus,
      "not_found_error",
      "service_not_found",
      `The service ${name} is not known.`,
    );
  }

  /** The stricter of the service's configuration and the request's word wins. */
  private _createCall(request: restify.Request, service: ServiceObject, signal: AbortSignal): ServiceCall {
    const isRepeatable = service.repeatable && request.header("shedtiller-repeatable") !== "no";
    const deadlineMs = guard.getDeadlineMs(request, this._structure.settings.limits.requestTimeoutMs);
    const body: unknown = request.body;
    const prefix = `/services/${service.name}`;
    return {
      service: service.name,
      requestId: utils.newId(),
      method: request.method as ServiceCall["method"],
      path: (request.url ?? "").slice(prefix.length) || "/",
      contentType: request.header("content-type") || undefined,
      body: typeof body === "string" ? Buffer.from(body) : Buffer.isBuffer(body) ? body : new Uint8Array(),
      idempotencyKey: guard.getIdempotencyKey(request),
      isRepeatable,
      timeoutMs: deadlineMs - utils.monotonicMs(),
      signal,
    };
  }

  private async _run(call: ServiceCall): Promise<ServiceOutcome> {
    if (call.isRepeatable || call.idempotencyKey === undefined) return this._call(call);
    return this._structure.once.run(call.idempotencyKey, {
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
