/** What callers and endpoints see of requests, over real sockets. */
import type * as http from "node:http";
import test from "ava";
import { createRoute } from "../testData.js";
import { answer, count, generousMs, key, setUp } from "./endpointHandlers.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const breakOff: EndpointHandler = (_request, response) => response.destroy();

test("a request that may not be repeated is sent once, and its lost answer is no promise", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const first = count(breakOff);
  const second = count(answer(200, "ran"));
  await fixture.list([first, second], {});
  const seen = await fixture.request("POST", key);
  t.is(seen.status, 502);
  t.is(first.requests.length + second.requests.length, 1);
});

test("a request that comes before the first configuration waits for it", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const route = createRoute({ targets: [{ service: "engines", weight: 1 }], kind: "safe" });
  await fixture.listen(route);
  await fixture.list([answer(200, "ran")], {});
  const seen = fixture.request("POST", key);
  await fixture.waitForRequest();
  fixture.configure(route);
  t.is((await seen).status, 200);
});

test("a request that may not be repeated goes elsewhere if no connection stood", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", maxAttempts: 1 });
  const second = count(answer(200, "ran"));
  await fixture.list([undefined, second], {});
  const seen = await fixture.request("POST", key);
  t.is(seen.status, 200);
  t.is(second.requests.length, 1);
});

test("a refusal that says not run is passed on as one, with the time to come back", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", maxAttempts: 1 });
  const refusing = count(answer(503, "", { "x-not-run": "1" }));
  await fixture.list([refusing, refusing], {});
  const seen = await fixture.request("POST", key);
  t.is(seen.status, 503);
  t.truthy(seen.headers["x-retry-after-ms"]);
  t.is(refusing.requests.length, 1, "one attempt is all the route allows");
});

test("a safe request is sent again after a failure of the endpoint", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  await fixture.list([answer(500, "failed"), answer(200, "whole")], {});
  const seen = await fixture.request("GET", key);
  t.deepEqual([seen.status, seen.body], [200, "whole"]);
});

test("the answer of another request reaches nobody", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  await fixture.list([answer(200, "of another", { "x-id": "r0" })], {});
  const seen = await fixture.request("POST", key);
  t.is(seen.status, 502);
  t.false(seen.body.includes("of another"));
});

test("keys are asked for, and none is taken at its word while the configuration may be out of date", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const endpoint = count(answer(200, "whole"));
  await fixture.list([endpoint], {});
  t.is((await fixture.request("GET", { "x-id": "r1" })).status, 401);
  t.is((await fixture.request("GET", { "x-id": "r1", "x-key": "gone" })).status, 401);
  fixture.areKeysFresh = false;
  const refused = await fixture.request("GET", key);
  t.is(refused.status, 503);
  t.truthy(refused.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 0);
});

test("near the end of a planned stop only what surely ends in time is begun", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const endpoint = count(answer(200, "whole"));
  await fixture.list([endpoint], {});
  fixture.refuseLasting(2 * generousMs);
  t.is((await fixture.request("GET", key)).status, 200);
  fixture.refuseLasting(generousMs / 2);
  const refused = await fixture.request("GET", key);
  t.is(refused.status, 503);
  t.truthy(refused.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 1);
});

const stream = { kind: "streaming", isResumable: true } as const;
const whole = { layers: [{ start: 0, end: 4 }] };

function sendEvents(response: http.ServerResponse, request: http.IncomingMessage, text: string): void {
  response.writeHead(200, { "x-id": String(request.headers["x-id"]), "content-type": "text/event-stream" });
  response.write(text);
}

test("a stream that breaks inside an event goes on elsewhere after the last whole one", async (t) => {
  const fixture = await setUp(t, stream);
  const handler = count((request, response) => {
    if (request.headers["x-last"] === undefined) {
      sendEvents(response, request, "id: 1\ndata: a\n\nid: 2\nda");
      setImmediate(() => response.destroy());
      return;
    }
    sendEvents(response, request, "id: 2\ndata: b\n\n");
    response.end();
  });
  await fixture.list([handler, handler], whole);
  const seen = await fixture.request("POST", key);
  t.is(seen.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(seen.isWhole);
  t.deepEqual(
    handler.requests.map((request) => request.headers["x-last"]),
    [undefined, "1"],
  );
});

test("a stream that may not go on elsewhere breaks off and never looks complete", async (t) => {
  const fixture = await setUp(t, { kind: "streaming", isResumable: false });
  const handler = count((request, response) => {
    sendEvents(response, request, "id: 1\ndata: a\n\n");
    setImmediate(() => response.destroy());
  });
  await fixture.list([handler, handler], whole);
  const seen = await fixture.request("POST", key);
  t.false(seen.isWhole);
  t.is(handler.requests.length, 1);
});

test("room that a stream held is free again, however it ended", async (t) => {
  const fixture = await setUp(t, { ...stream, maxAttempts: 1 });
  await fixture.list([breakOff], whole);
  t.is((await fixture.request("POST", key)).status, 502);
  t.deepEqual(fixture.endpoints.get("endpoint-0")?.ownLoad, { requests: 0, tokenLayers: 0 });
});

test("an endpoint that resets each request does not attract all of them by its low load", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const resetting = count(breakOff);
  await fixture.list([resetting, answer(200, "ran")], {});
  for (let request = 0; request < 12; request++) t.is((await fixture.request("POST", key)).status, 200);
  t.true(resetting.requests.length <= 6, `${resetting.requests.length} of 12 began there`);
});

const limited = { "x-limit": "0.1" };

// Guards against requests that are held until their deadline though no endpoint may take them before.
test("where all endpoints are at their limits a request that can't be served in time is refused at once", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const endpoint = count(answer(200, "whole", limited));
  await fixture.list([endpoint], {});
  t.is((await fixture.request("POST", key)).status, 200, "it names its limit with this answer");
  const refused = await fixture.request("POST", key);
  t.is(refused.status, 503);
  t.true(refused.body.includes("limited"));
  t.truthy(refused.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 1);
});

// Guards against requests that wait for a limited endpoint while another one takes them.
test("requests that a limited endpoint does not take go to one without a limit", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const one = count(answer(200, "whole", limited));
  const other = count(answer(200, "whole"));
  await fixture.list([one, other], {});
  for (let sent = 0; sent < 6; sent++) t.is((await fixture.request("GET", key)).status, 200);
  t.is(one.requests.length, 1);
  t.is(other.requests.length, 5);
});

test("a stream that only limited engines could begin is refused at once", async (t) => {
  const fixture = await setUp(t, stream);
  const engine = count((request, response) => {
    response.writeHead(200, { "x-id": String(request.headers["x-id"]), "x-limit": "0.1" });
    response.end("id: 1\ndata: a\n\n");
  });
  await fixture.list([engine], whole);
  t.is((await fixture.request("POST", key)).status, 200);
  const refused = await fixture.request("POST", key);
  t.is(refused.status, 503);
  t.true(refused.body.includes("limited"));
  t.is(engine.requests.length, 1);
});
