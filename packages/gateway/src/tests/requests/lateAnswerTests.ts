/** Safe requests whose answers are late. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { createRoute } from "../testData.js";
import { answer, callerHeaders, generousMs, recordRequests } from "./endpointHandlers.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const targetLatencyMs = 100;
const route = createRoute({
  targets: [{ service: "engines", weight: 1 }],
  kind: "safe",
  timeoutMs: generousMs,
  targetLatencyMs,
  maxAttempts: 2,
});

// Guards against a failure instead of a late answer: the first send was ended before the retry budget allowed a second one.
test("a safe request keeps its endpoint while its answer is late and no retry is allowed", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  fixture.retryBudget = { ratio: 0, slack: 0, windowMs: generousMs };
  await fixture.start(route);
  const respond = answer(200, "late");
  const slow: EndpointHandler = (...args) => void setTimeout(() => respond(...args), 3 * targetLatencyMs);
  const second = recordRequests(answer(200, "second"));
  await fixture.list([slow, second], {});
  const received = await fixture.request("GET", callerHeaders);
  t.deepEqual([received.status, received.body], [200, "late"]);
  t.is(second.requests.length, 0);
});

// Guards against a failure where the endpoint of the second send is worse than that of the first one, which was ended for it.
test("the first send of a safe request goes on while the second one runs", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  await fixture.start(route);
  const secondArrived = new utils.Deferred<void>();
  const respond = answer(200, "first");
  const late: EndpointHandler = (...args) => void secondArrived.promise.then(() => respond(...args));
  const hang: EndpointHandler = () => secondArrived.resolve();
  await fixture.list([late, hang], {});
  const received = await fixture.request("GET", callerHeaders);
  t.deepEqual([received.status, received.body], [200, "first"]);
});
