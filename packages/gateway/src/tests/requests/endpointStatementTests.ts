/** What endpoints say of themselves with their answers, and what reaches them afterwards. */
import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import test from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { answer, count, generousMs, key, setUp } from "./endpointHandlers.js";
import type { EndpointHandler, GatewayFixture } from "./GatewayFixture.js";

/** Longer than any test takes, so that the time of a test decides nothing. */
const restMs = 60_000;
const askedTimes = 20;
const layers = [{ start: 0, end: 4 }];
const streaming: Partial<Route> = { kind: "streaming", isResumable: true };

const turnAway = answer(503, "", { "x-not-run": "1", "x-rest-ms": String(restMs) });
const streamEvents = answer(200, "id: 1\ndata: a\n\n");

/** Sends requests one after the other; gives the statuses of their answers. */
async function ask(fixture: GatewayFixture, method = "POST"): Promise<number[]> {
  const statuses: number[] = [];
  for (let request = 0; request < askedTimes; request++)
    statuses.push((await fixture.request(method, key)).status);
  return statuses;
}

// Guards against requests that go on reaching a plain endpoint in the time of rest that it asked for.
test("a plain endpoint that asks for rest gets nothing until it is over", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const resting = count(turnAway);
  await fixture.list([resting, answer(200)], {});
  t.deepEqual(new Set(await ask(fixture)), new Set([200]));
  t.is(resting.requests.length, 1);
});

// Guards against streams that begin at an engine in its time of rest as soon as another one ends there.
test("an engine that asks for rest gets no stream until it is over", async (t) => {
  const fixture = await setUp(t, streaming);
  const open: http.ServerResponse[] = [];
  const resting = count((request, response, crash) => {
    if (open.length > 0) return turnAway(request, response, crash);
    response.writeHead(200, { "x-id": "r1" }).write("id: 1\ndata: a\n\n");
    open.push(response);
  });
  await fixture.list([resting], { layers });
  const running = fixture.request("POST", key);
  while (resting.requests.length === 0) await utils.yieldToEvents();
  t.is((await fixture.request("POST", key)).status, 503);
  for (const response of open) response.end();
  t.true((await running).isWhole);
  t.deepEqual(new Set(await ask(fixture)), new Set([503]));
  t.is(resting.requests.length, 2);
});

// Guards against callers that wait until their deadline, or are called back too early, while all endpoints rest.
test("where all endpoints rest past the deadline a request is refused at once, with a time at which there is room", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const resting = [count(turnAway), count(turnAway)];
  await fixture.list(resting, {});
  await ask(fixture);
  const seen = await fixture.request("POST", key);
  t.is(seen.status, 503);
  t.true(Number(seen.headers["x-retry-after-ms"]) > generousMs);
  t.deepEqual(
    resting.map(({ requests }) => requests.length),
    [1, 1],
  );
});

for (const [what, route, changes] of [
  ["a plain endpoint", { kind: "safe" }, {}],
  ["an engine", streaming, { layers }],
] as const) {
  // Guards against requests that go on reaching an endpoint which says that it leaves while its entry is still as before.
  test(`${what} that says that it leaves gets nothing new, also while its entry says ready`, async (t) => {
    const fixture = await setUp(t, route);
    const leaving = count(answer(200, "id: 1\ndata: a\n\n", { "x-leaving": "1" }));
    await fixture.list([leaving, streamEvents], changes);
    while (leaving.requests.length === 0) await fixture.request("POST", key);
    t.deepEqual(new Set(await ask(fixture)), new Set([200]));
    t.is(leaving.requests.length, 1);
  });
}

const endpointCount = 24;
const failingCount = 8;
const callerCount = 400;
const leastServed = 0.99;

for (const [what, fail] of [
  ["refuses", answer(503, "", { "x-not-run": "1" })],
  ["resets", (_request, response) => void response.destroy()],
  ["fails", answer(500)],
] as [string, EndpointHandler][]) {
  // Guards against an endpoint that fails at once, so always has the fewest requests in hand, and draws those that come.
  test(`a third of the endpoints that ${what} at once costs one caller in a hundred at most`, async (t) => {
    const fixture = await setUp(t, { kind: "safe", maxAttempts: 3 });
    const handlers = Array.from({ length: endpointCount }, (_, index) =>
      index < failingCount ? fail : answer(200),
    );
    await fixture.list(handlers, {});
    let served = 0;
    for (let caller = 0; caller < callerCount; caller++) {
      if ((await fixture.request("POST", key)).status === 200) served += 1;
    }
    t.true(served >= callerCount * leastServed, `${served} of ${callerCount} were served`);
  });
}

for (const [what, route, changes] of [
  ["plain requests", { kind: "safe" }, {}],
  ["streams", streaming, { layers }],
] as const) {
  // Guards against requests that wait for a service of which nothing takes new work any more.
  test(`where all endpoints leave ${what} are refused at once`, async (t) => {
    const fixture = await setUp(t, route);
    const leaving = count(answer(200, "id: 1\ndata: a\n\n", { "x-leaving": "1" }));
    await fixture.list([leaving], changes);
    t.is((await fixture.request("POST", key)).status, 200);
    const seen = await fixture.request("POST", key);
    t.is(seen.status, 503);
    t.is(seen.body, JSON.stringify({ error: "no-endpoint" }));
    t.is(leaving.requests.length, 1);
  });
}
