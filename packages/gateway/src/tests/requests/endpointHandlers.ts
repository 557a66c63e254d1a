/** What scripted endpoints do, and the gateway in front of them. */
import type * as http from "node:http";
import type { ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { createRoute } from "../testData.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

/** Times of routes that no test waits for. */
export const generousMs = 30_000;
/** What each request of a test carries. */
export const key = { "x-id": "r1", "x-key": "k1" };

/** Starts a gateway with one route, until the test ends. */
export async function setUp(t: ExecutionContext, changes: Partial<Route>): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const times = { timeoutMs: generousMs, targetLatencyMs: generousMs };
  await fixture.start(createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], ...changes }));
  return fixture;
}

/** Answers each request the same. */
export function answer(status: number, body = "", headers: Record<string, string> = {}): EndpointHandler {
  return (request, response) => {
    response.writeHead(status, { "x-id": String(request.headers["x-id"]), ...headers }).end(body);
  };
}

/** Keeps the requests that a handler gets. */
export function count(handler: EndpointHandler): EndpointHandler & { requests: http.IncomingMessage[] } {
  const requests: http.IncomingMessage[] = [];
  const counting: EndpointHandler = (request, response, crash) => {
    requests.push(request);
    handler(request, response, crash);
  };
  return Object.assign(counting, { requests });
}
