/** The operators' interface. Its paths and fields are stated in docs/INTERFACES.md. */
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
import { parseJson } from "./requestGuard.js";

const okStatus = 200;
const createdStatus = 201;
const badRequestStatus = 400;
const conflictStatus = 409;

const logLevelSchema = zod.strictObject({ level: zod.enum(["error", "warn", "info", "debug"]) });

/** What the routes work with. */
export interface OperatorStructure {
  readonly tokenHash: intent.AccountKey;
  readonly fold: intent.ConfigurationProjection;
  readonly planner: Planner;
  readonly desk: PlanService;
  readonly status: StatusGatherer;
  readonly timelines: TimelineGatherer;
  readonly timeline: Timeline;
  readonly metrics: InstanceMetrics;
  readonly logs: Logs;
}

type OperatorHandler = (
  structure: OperatorStructure,
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
export function addOperatorRoutes(listener: HttpListener, structure: OperatorStructure): void {
  for (const [method, path, handle] of routes) {
    listener[method](path, (request, response) => {
      requireOperator(request, structure.tokenHash);
      return handle(structure, request, response);
    });
  }
}

async function sendStatus(
  { status }: OperatorStructure,
  _request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  sendJson(response, okStatus, await status.gather());
}

function sendConfiguration(
  { fold }: OperatorStructure,
  _request: restify.Request,
  response: http.ServerResponse,
): void {
  const objects = Object.fromEntries(
    [...fold.getStoredObjects()].map(([key, held]) => [key, { ...held, value: withoutSecrets(held.value) }]),
  );
  sendJson(response, okStatus, { offset: fold.offset, objects, unknownRecords: fold.unknownRecords });
}

/** Hashes of keys are nobody's business but the check's. */
function withoutSecrets(value: intent.ConfigurationObject): object {
  if (value.kind !== "account") return value;
  return { ...value, keys: value.keys.map((key) => ({ keyId: key.keyId })) };
}

async function sendTimeline(
  { timelines }: OperatorStructure,
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
  structure: OperatorStructure,
  request: restify.Request,
  response: http.ServerResponse,
): void {
  const stated = intent.checkIntent(parseJson(request.body), "intent");
  if (stated.err)
    throw new ApiError(badRequestStatus, "invalid_request_error", "invalid_intent", stated.val.message);
  const plan = structure.planner.createPlan(stated.val);
  structure.desk.addPlan(plan);
  sendJson(response, createdStatus, { plan, text: intent.renderPlan(plan) });
}

async function sendPlan(
  { desk, fold }: OperatorStructure,
  request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  const planId = String(request.params.plan);
  const outcome = fold.getOutcome(planId);
  const plan = await desk.requirePlan(planId);
  if (plan.err && outcome === undefined) throw toOperatorError(plan.val);
  const known = plan.ok ? { plan: plan.val, text: intent.renderPlan(plan.val) } : {};
  sendJson(response, okStatus, { ...known, outcome });
}

async function confirmPlan(
  { desk }: OperatorStructure,
  request: restify.Request,
  response: http.ServerResponse,
): Promise<void> {
  const confirmed = await desk.confirm(String(request.params.plan));
  if (confirmed.err) throw toOperatorError(confirmed.val);
  sendJson(response, confirmed.val.outcome.isAccepted ? okStatus : conflictStatus, confirmed.val);
}

function setLogLevel(
  { logs }: OperatorStructure,
  request: restify.Request,
  response: http.ServerResponse,
): void {
  const asked = logLevelSchema.safeParse(parseJson(request.body));
  if (!asked.success)
    throw new ApiError(
      badRequestStatus,
      "invalid_request_error",
      "invalid_body",
      "level must be error, warn, info or debug.",
    );
  logs.setLevel(asked.data.level);
  sendJson(response, okStatus, { level: logs.level });
}

async function sendMetrics(
  { metrics }: OperatorStructure,
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
