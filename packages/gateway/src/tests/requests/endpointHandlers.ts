/** Handlers of scripted endpoints, and the setup of a gateway in front of them. */
import type * as http from "node:http";
import type { ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import type { EngineOrders } from "../../orders/EngineOrders.js";
import { createRoute } from "../testData.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

/** Time limit of the test routes; no test reaches it. */
export const generousMs = 30_000;
/** Headers of each test request. */
export const callerHeaders = { "x-id": "r1", "x-key": "k1" };

/** Starts a gateway with one route and closes it at the end of the test. */
export async function setUp(
  t: ExecutionContext,
  changes: Partial<Route>,
  orders?: EngineOrders,
): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  fixture.orders = orders ?? fixture.orders;
  t.teardown(() => fixture.close());
  const times = { timeoutMs: generousMs, targetLatencyMs: generousMs };
  await fixture.start(createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], ...changes }));
  return fixture;
}

/** Creates a handler that gives the same answer to each request. */
export function answer(status: number, body = "", headers: Record<string, string> = {}): EndpointHandler {
  return (request, response) => {
    response.writeHead(status, { "x-id": String(request.headers["x-id"]), ...headers }).end(body);
  };
}

/** Wraps a handler to record the requests that it receives. */
export function recordRequests(
  handler: EndpointHandler,
): EndpointHandler & { requests: http.IncomingMessage[] } {
  const requests: http.IncomingMessage[] = [];
  const recording: EndpointHandler = (request, response, crash) => {
    requests.push(request);
    handler(request, response, crash);
  };
  return Object.assign(recording, { requests });
}
