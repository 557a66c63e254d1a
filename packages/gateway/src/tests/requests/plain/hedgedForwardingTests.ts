/** Requests to few plain endpoints before many instances, over real sockets. */
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { getBucket } from "@shedtiller/routing";
import type { Route } from "../../../configuration/gatewayConfiguration.js";
import { GatewayMetrics } from "../../../GatewayMetrics.js";
import { EndpointConcurrency } from "../../../loadcontrol/EndpointConcurrency.js";
import { DecisionLog } from "../../../logs/DecisionLog.js";
import { SharedFigures } from "../../../peers/SharedFigures.js";
import { SilentLogOutput } from "../../SilentLogOutput.js";
import { createRoute } from "../../testData.js";
import { answer, callerHeaders, generousMs, recordRequests } from "../endpointHandlers.js";
import { GatewayFixture, type EndpointHandler } from "../GatewayFixture.js";

const service = "records";
const hang: EndpointHandler = () => undefined;

/** Starts a gateway beside 20 others, whose requests usually take 10 ms. */
async function setUp(t: ExecutionContext, changes: Partial<Route>): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  const figures = new SharedFigures(() => 0);
  fixture.concurrency = new EndpointConcurrency({
    availabilityZone: "east",
    activeConfiguration: fixture.activeConfiguration,
    endpoints: fixture.endpoints,
    figures,
    metrics: new GatewayMetrics(),
    log: new DecisionLog(new SilentLogOutput(), utils.monotonicMs),
    random: () => 0,
  });
  const peers: [string, number][] = [
    ["endpoints/instances", 20],
    [`endpoints/times/${service}/${getBucket(10)}`, 100],
  ];
  figures.update(new Map(peers), new Map());
  t.teardown(() => fixture.close());
  const times = { timeoutMs: generousMs, targetLatencyMs: generousMs };
  await fixture.start(createRoute({ ...times, targets: [{ service, weight: 1 }], ...changes }));
  return fixture;
}

test("a safe request that is late against what is usual is sent to another endpoint as well", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const [first, second] = [recordRequests(hang), recordRequests(answer(200, "second"))];
  await fixture.list([first, second], { service });
  const received = await fixture.request("GET", callerHeaders);
  t.deepEqual([received.status, received.body], [200, "second"]);
  t.deepEqual([first.requests.length, second.requests.length], [1, 1]);
});

test("the next request avoids an endpoint whose answer is overdue, long before the deadline of the first", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  await fixture.list([hang, answer(200, "second")], { service });
  await fixture.request("GET", callerHeaders);
  const { concurrency } = fixture;
  const hanging = fixture.endpoints.get("endpoint-0");
  if (concurrency === undefined || hanging === undefined) return t.fail();
  // The send to the endpoint ends soon after the answer of the other one, and counts as a failure then.
  const isOverdue = (): boolean => concurrency.records.getAnswerSums(hanging).overdue > 0;
  const isNoticed = (): boolean => isOverdue() || hanging.ownLoad.requests === 0;
  t.true(await utils.waitUntil(isNoticed, generousMs));
  const query = { service, excluded: new Set<string>(), mayProbe: true, isIdempotent: true };
  t.is(concurrency.pick(query)?.id, "endpoint-1");
});

test("an unsafe request is sent once, however late its answer is", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", timeoutMs: 300 });
  const [first, second] = [recordRequests(hang), recordRequests(answer(200, "second"))];
  await fixture.list([first, second], { service });
  const received = await fixture.request("POST", callerHeaders);
  t.not(received.status, 200);
  t.deepEqual([first.requests.length, second.requests.length], [1, 0]);
});

test("a safe request is not sent to more endpoints than its route allows", async (t) => {
  const fixture = await setUp(t, { kind: "safe", maxAttempts: 1, timeoutMs: 300 });
  const [first, second] = [recordRequests(hang), recordRequests(answer(200, "second"))];
  await fixture.list([first, second], { service });
  t.not((await fixture.request("GET", callerHeaders)).status, 200);
  t.is(second.requests.length, 0);
});

// Guards against an endpoint that works on for a send whose headers arrived, although the answer of another endpoint was used.
test("the slower of two sends ends after the answer of the other one, also if its headers have arrived", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  let isClosed = false;
  const slow: EndpointHandler = (request, response) => {
    response.on("close", () => (isClosed = true));
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    response.write("a part of the bo");
  };
  await fixture.list([slow, answer(200, "second")], { service });
  t.is((await fixture.request("GET", callerHeaders)).body, "second");
  t.true(await utils.waitUntil(() => isClosed, generousMs / 2));
});
