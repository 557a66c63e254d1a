/** Routes of the operators' interface. Its paths and fields are specified in docs/INTERFACES.md. */
import type { errors } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import type { Timeline } from "@shedtiller/timeline";
import type * as restify from "restify";
import type * as http from "node:http";
import * as zod from "zod";
import type { Logs } from "../logs/createLogs.js";
import type { InstanceMetrics } from "../metrics/InstanceMetrics.js";
import type { PlanService } from "../operators/PlanService.js";
import type { Planner } from "../operators/Planner.js";
import type { StatusGatherer } from "../operators/StatusGatherer.js";
import type { TimelineGatherer } from "../operators/TimelineGatherer.js";
import { ApiError, sendJson } from "./apiErrors.js";
import { requireOperator } from "./authenticate.js";
import type { HttpListener } from "./HttpListener.js";
import { parseJson } from "./callerRequest.js";

const okStatus = 200;
const createdStatus = 201;
const badRequestStatus = 400;
const conflictStatus = 409;

const logLevelSchema = zod.strictObject({ level: zod.enum(["error", "warn", "info", "debug"]) });

/** Dependencies of the operators' routes. */
export interface OperatorRoutesStructure {
  readonly tokenHash: intent.AccountKey;
  readonly configuration: intent.ConfigurationProjection;
  readonly planner: Planner;
  readonly planService: PlanService;
  readonly status: StatusGatherer;
  readonly timelines: TimelineGatherer;
  readonly timeline: Timeline;
  readonly metrics: InstanceMetrics;
  readonly logs: Logs;
}

type OperatorHandler = (
  structure: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
) => Promise<void> | void;

/** Method, path and handler of each route. */
const routes: readonly (readonly ["get" | "post" | "put", string, OperatorHandler])[] = [
  ["get", "/v1/status", sendStatus],
  ["get", "/v1/configuration", sendConfiguration],
  ["get", "/v1/timeline", sendTimeline],
  ["post", "/v1/plans", createPlan],
  ["get", "/v1/plans/:plan", sendPlan],
  ["post", "/v1/plans/:plan/confirm", confirmPlan],
  ["put", "/v1/log-level", setLogLevel],
  ["get", "/metrics", sendMetrics],
];

/** Adds the operators' routes to a listener. */
export function addOperatorRoutes(listener: HttpListener, structure: OperatorRoutesStructure): void {
  for (const [method, path, handle] of routes) {
    listener[method](path, (request, response) => {
      requireOperator(request, structure.tokenHash);
      return handle(structure, request, response);
    });
  }
}

async function sendStatus(
  { status }: OperatorRoutesStructure,
  _request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  sendJson(response, okStatus, await status.gather());
}

function sendConfiguration(
  { configuration }: OperatorRoutesStructure,
  _request: restify.Request,
  response: http.ServerResponse,
): void {
  const objects = Object.fromEntries(
    [...configuration.getStoredObjects()].map(([key, stored]) => [
      key,
      { ...stored, value: withoutSecrets(stored.value) },
    ]),
  );
  sendJson(response, okStatus, {
    offset: configuration.offset,
    objects,
    unknownRecords: configuration.unknownRecords,
  });
}

/** Removes the salts and hashes of keys, which only authentication needs. */
function withoutSecrets(value: intent.ConfigurationObject): object {
  if (value.kind !== "account") return value;
  return { ...value, keys: value.keys.map((key) => ({ keyId: key.keyId })) };
}

async function sendTimeline(
  { timelines }: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  const query = request.query as { request?: string; sinceMs?: string };
  const sinceMs = query.sinceMs === undefined ? undefined : Number(query.sinceMs);
  if (sinceMs !== undefined && !Number.isFinite(sinceMs)) {
    throw new ApiError(
      badRequestStatus,
      "invalid_request_error",
      "invalid_query",
      "sinceMs must be a number of milliseconds.",
    );
  }
  sendJson(response, okStatus, await timelines.gather({ requestId: query.request, sinceMs }));
}

function createPlan(
  structure: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
): void {
  const submitted = intent.checkIntent(parseJson(request.body), "intent");
  if (submitted.err)
    throw new ApiError(badRequestStatus, "invalid_request_error", "invalid_intent", submitted.val.message);
  const plan = structure.planner.createPlan(submitted.val);
  structure.planService.addPlan(plan);
  sendJson(response, createdStatus, { plan, text: intent.renderPlan(plan) });
}

async function sendPlan(
  { planService, configuration }: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  const planId = String(request.params.plan);
  const outcome = configuration.getOutcome(planId);
  const plan = await planService.requirePlan(planId);
  if (plan.err && outcome === undefined) throw toOperatorError(plan.val);
  const planFields = plan.ok ? { plan: plan.val, text: intent.renderPlan(plan.val) } : {};
  sendJson(response, okStatus, { ...planFields, outcome });
}

async function confirmPlan(
  { planService }: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  const confirmed = await planService.confirm(String(request.params.plan));
  if (confirmed.err) throw toOperatorError(confirmed.val);
  sendJson(response, confirmed.val.outcome.isAccepted ? okStatus : conflictStatus, confirmed.val);
}

function setLogLevel(
  { logs }: OperatorRoutesStructure,
  request: restify.Request,
  response: http.ServerResponse,
): void {
  const parsed = logLevelSchema.safeParse(parseJson(request.body));
  if (!parsed.success)
    throw new ApiError(
      badRequestStatus,
      "invalid_request_error",
      "invalid_body",
      "level must be error, warn, info or debug.",
    );
  logs.setLevel(parsed.data.level);
  sendJson(response, okStatus, { level: logs.level });
}

async function sendMetrics(
  { metrics }: OperatorRoutesStructure,
  _request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  response.writeHead(okStatus, { "content-type": metrics.registry.contentType });
  response.end(await metrics.registry.metrics());
}

function toOperatorError(error: errors.ShedtillerError): ApiError {
  const status = error.code === "plan_not_found" ? 404 : 503;
  const ran = error.code === "confirmation_unknown" ? "unknown" : "no";
  return new ApiError(
    status,
    status === 404 ? "not_found_error" : "api_error",
    error.code,
    error.message,
    ran,
  );
}
