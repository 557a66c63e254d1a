/** Statements of endpoints in their answers' headers, and their effect on later requests. */
import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import test from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { answer, recordRequests, generousMs, callerHeaders, setUp } from "./endpointHandlers.js";
import type { EndpointHandler, GatewayFixture } from "./GatewayFixture.js";
import { HeldConnector } from "./HeldConnector.js";

/** Longer than any test takes, so that the speed of a test does not affect its result. */
const backoffMs = 60_000;
const requestCount = 20;
const layers = [{ start: 0, end: 4 }];
const streaming: Partial<Route> = { kind: "streaming", isResumable: true };

const rejectWithBackoff = answer(503, "", { "x-not-run": "1", "x-rest-ms": String(backoffMs) });
const streamEvents = answer(200, "id: 1\ndata: a\n\n");

/** Sends requests one after the other and returns the statuses of their answers. */
async function sendRequests(fixture: GatewayFixture, method = "POST"): Promise<number[]> {
  const statuses: number[] = [];
  for (let request = 0; request < requestCount; request++)
    statuses.push((await fixture.request(method, callerHeaders)).status);
  return statuses;
}

// Guards against requests that reach a plain endpoint during the back-off that it requested.
test("a plain endpoint that requests a back-off gets no requests until its end", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const backingOff = recordRequests(rejectWithBackoff);
  await fixture.list([backingOff, answer(200)], {});
  t.deepEqual(new Set(await sendRequests(fixture)), new Set([200]));
  t.is(backingOff.requests.length, 1);
});

// Guards against streams that begin at an engine during its back-off as soon as another stream ends there.
test("an engine that requests a back-off gets no streams until its end", async (t) => {
  const fixture = await setUp(t, streaming);
  const open: http.ServerResponse[] = [];
  const backingOff = recordRequests((request, response, crash) => {
    if (open.length > 0) return rejectWithBackoff(request, response, crash);
    response.writeHead(200, { "x-id": "r1" }).write("id: 1\ndata: a\n\n");
    open.push(response);
  });
  await fixture.list([backingOff], { layers });
  const running = fixture.request("POST", callerHeaders);
  while (backingOff.requests.length === 0) await utils.yieldToEvents();
  t.is((await fixture.request("POST", callerHeaders)).status, 503);
  for (const response of open) response.end();
  t.true((await running).isWhole);
  t.deepEqual(new Set(await sendRequests(fixture)), new Set([503]));
  t.is(backingOff.requests.length, 2);
});

// Guards against callers that wait until their deadline, or get a Retry-After time that is too early, while all endpoints back off.
test("a request is rejected immediately while all endpoints back off beyond its deadline, with a later Retry-After time", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const backingOff = [recordRequests(rejectWithBackoff), recordRequests(rejectWithBackoff)];
  await fixture.list(backingOff, {});
  await sendRequests(fixture);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 503);
  t.true(Number(received.headers["x-retry-after-ms"]) > generousMs);
  t.deepEqual(
    backingOff.map(({ requests }) => requests.length),
    [1, 1],
  );
});

for (const [endpointName, route, changes] of [
  ["a plain endpoint", { kind: "safe" }, {}],
  ["an engine", streaming, { layers }],
] as const) {
  // Guards against requests that reach an endpoint which has announced that it drains, while its entry in the list is still unchanged.
  test(`${endpointName} that announces draining gets no new requests, even while it is listed as ready`, async (t) => {
    const fixture = await setUp(t, route);
    const draining = recordRequests(answer(200, "id: 1\ndata: a\n\n", { "x-leaving": "1" }));
    await fixture.list([draining, streamEvents], changes);
    while (draining.requests.length === 0) await fixture.request("POST", callerHeaders);
    t.deepEqual(new Set(await sendRequests(fixture)), new Set([200]));
    t.is(draining.requests.length, 1);
  });
}

const underWay = 8;

for (const [requestKind, route, changes] of [
  ["requests that run once", { kind: "unsafe" }, {}],
  ["streams", streaming, { layers }],
] as const) {
  // Guards against requests that were on their way to an endpoint when it requested a back-off, and reach it late.
  test(`${requestKind} that wait for their connections are not sent to an endpoint that requests a back-off meanwhile`, async (t) => {
    const fixture = await setUp(t, route);
    const connector = new HeldConnector(1);
    fixture.useConnector(connector);
    let reject = (): void => undefined;
    const backingOff = recordRequests((request, response, crash) => {
      reject = () => rejectWithBackoff(request, response, crash);
    });
    await fixture.list([backingOff], changes);
    const first = fixture.request("POST", callerHeaders);
    while (backingOff.requests.length === 0) await utils.yieldToEvents();
    const others = Array.from({ length: underWay }, () => fixture.request("POST", callerHeaders));
    while (connector.requested < 1 + underWay) await utils.yieldToEvents();
    reject();
    const isBackingOff = (): boolean =>
      fixture.endpoints.getAll().every(({ backoff }) => backoff.getLeftMs(utils.monotonicMs()) > 0);
    while (!isBackingOff()) await utils.yieldToEvents();
    connector.release();
    const statuses = (await Promise.all([first, ...others])).map(({ status }) => status);
    t.deepEqual(new Set(statuses), new Set([503]));
    t.is(backingOff.requests.length, 1);
  });
}

const endpointCount = 24;
const failingCount = 8;
const callerCount = 400;
const minServedShare = 0.99;

for (const [failure, fail] of [
  ["reject requests", answer(503, "", { "x-not-run": "1" })],
  ["reset connections", (_request, response) => void response.destroy()],
  ["fail", answer(500)],
] as [string, EndpointHandler][]) {
  // Guards against an endpoint that fails immediately: it always has the fewest requests in flight, and so attracts new ones.
  test(`if a third of the endpoints ${failure} immediately, at most 1 % of the callers are affected`, async (t) => {
    const fixture = await setUp(t, { kind: "safe", maxAttempts: 3 });
    const handlers = Array.from({ length: endpointCount }, (_, index) =>
      index < failingCount ? fail : answer(200),
    );
    await fixture.list(handlers, {});
    let served = 0;
    for (let caller = 0; caller < callerCount; caller++) {
      if ((await fixture.request("POST", callerHeaders)).status === 200) served += 1;
    }
    t.true(served >= callerCount * minServedShare, `${served} of ${callerCount} were served`);
  });
}

for (const [requestKind, route, changes] of [
  ["plain requests", { kind: "safe" }, {}],
  ["streams", streaming, { layers }],
] as const) {
  // Guards against requests that wait for a service whose endpoints all drain.
  test(`${requestKind} are rejected immediately while all endpoints drain`, async (t) => {
    const fixture = await setUp(t, route);
    const draining = recordRequests(answer(200, "id: 1\ndata: a\n\n", { "x-leaving": "1" }));
    await fixture.list([draining], changes);
    t.is((await fixture.request("POST", callerHeaders)).status, 200);
    const received = await fixture.request("POST", callerHeaders);
    t.is(received.status, 503);
    t.is(received.body, JSON.stringify({ error: "no-endpoint" }));
    t.is(draining.requests.length, 1);
  });
}
