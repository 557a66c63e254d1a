/** Forwarding of requests as callers and endpoints observe it, over real sockets. */
import type * as http from "node:http";
import test from "ava";
import { createRoute } from "../testData.js";
import { answer, recordRequests, generousMs, callerHeaders, setUp } from "./endpointHandlers.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const closeConnection: EndpointHandler = (_request, response) => response.destroy();

test("a non-idempotent request is sent once, and a lost answer gives status 502", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const first = recordRequests(closeConnection);
  const second = recordRequests(answer(200, "ran"));
  await fixture.list([first, second], {});
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 502);
  t.is(first.requests.length + second.requests.length, 1);
});

test("a request that arrives before the first configuration waits for it", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const targets = [{ service: "engines", weight: 1 }];
  const route = createRoute({ targets, kind: "safe", timeoutMs: generousMs });
  await fixture.listen(route);
  await fixture.list([answer(200, "ran")], {});
  const received = fixture.request("POST", callerHeaders);
  await fixture.waitForRequest();
  fixture.configure(route);
  t.is((await received).status, 200);
});

test("a non-idempotent request goes to another endpoint if no connection was established", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", maxAttempts: 1 });
  const second = recordRequests(answer(200, "ran"));
  await fixture.list([undefined, second], {});
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 200);
  t.is(second.requests.length, 1);
});

test("a request that its endpoint rejects without executing it is rejected with a Retry-After time", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", maxAttempts: 1 });
  const rejecting = recordRequests(answer(503, "", { "x-not-run": "1" }));
  await fixture.list([rejecting, rejecting], {});
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 503);
  t.truthy(received.headers["x-retry-after-ms"]);
  t.is(rejecting.requests.length, 1, "the route allows one attempt only");
});

test("a safe request is retried after a failure of the endpoint", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  await fixture.list([answer(500, "failed"), answer(200, "whole")], {});
  const received = await fixture.request("GET", callerHeaders);
  t.deepEqual([received.status, received.body], [200, "whole"]);
});

// Fails where a safe request is abandoned after a share of its target latency although there is no other endpoint to send it to.
test("a safe request keeps its only endpoint until its deadline", async (t) => {
  const fixture = await setUp(t, { kind: "safe", targetLatencyMs: 1, timeoutMs: generousMs });
  const respond = answer(200, "late");
  const slowMs = 300;
  const slow: EndpointHandler = (...args) => void setTimeout(() => respond(...args), slowMs);
  await fixture.list([slow], {});
  const received = await fixture.request("GET", callerHeaders);
  t.deepEqual([received.status, received.body], [200, "late"]);
});

test("the answer to another request is not forwarded", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  await fixture.list([answer(200, "of another", { "x-id": "r0" })], {});
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 502);
  t.false(received.body.includes("of another"));
});

test("requests without a valid key are rejected, as are those with a valid key while the configuration may be out of date", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const endpoint = recordRequests(answer(200, "whole"));
  await fixture.list([endpoint], {});
  t.is((await fixture.request("GET", { "x-id": "r1" })).status, 401);
  t.is((await fixture.request("GET", { "x-id": "r1", "x-key": "gone" })).status, 401);
  fixture.areKeysFresh = false;
  const rejected = await fixture.request("GET", callerHeaders);
  t.is(rejected.status, 503);
  t.truthy(rejected.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 0);
});

test("a request whose deadline lies after the planned stop is rejected", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const endpoint = recordRequests(answer(200, "whole"));
  await fixture.list([endpoint], {});
  fixture.stopAfter(2 * generousMs);
  t.is((await fixture.request("GET", callerHeaders)).status, 200);
  fixture.stopAfter(generousMs / 2);
  const rejected = await fixture.request("GET", callerHeaders);
  t.is(rejected.status, 503);
  t.truthy(rejected.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 1);
});

const stream = { kind: "streaming", isResumable: true } as const;
const allLayers = { layers: [{ start: 0, end: 4 }] };

function sendEvents(response: http.ServerResponse, request: http.IncomingMessage, text: string): void {
  response.writeHead(200, { "x-id": String(request.headers["x-id"]), "content-type": "text/event-stream" });
  response.write(text);
}

test("a stream that breaks inside an event resumes at another engine after the last complete event", async (t) => {
  const fixture = await setUp(t, stream);
  const handler = recordRequests((request, response) => {
    if (request.headers["x-last"] === undefined) {
      sendEvents(response, request, "id: 1\ndata: a\n\nid: 2\nda");
      setImmediate(() => response.destroy());
      return;
    }
    sendEvents(response, request, "id: 2\ndata: b\n\n");
    response.end();
  });
  await fixture.list([handler, handler], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(received.isWhole);
  t.deepEqual(
    handler.requests.map((request) => request.headers["x-last"]),
    [undefined, "1"],
  );
});

test("a stream that breaks and may not be resumed does not look complete to its caller", async (t) => {
  const fixture = await setUp(t, { kind: "streaming", isResumable: false });
  const handler = recordRequests((request, response) => {
    sendEvents(response, request, "id: 1\ndata: a\n\n");
    setImmediate(() => response.destroy());
  });
  await fixture.list([handler, handler], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.false(received.isWhole);
  t.is(handler.requests.length, 1);
});

test("the capacity reserved for a stream is released when its connection is lost", async (t) => {
  const fixture = await setUp(t, { ...stream, maxAttempts: 1 });
  await fixture.list([closeConnection], allLayers);
  t.is((await fixture.request("POST", callerHeaders)).status, 502);
  t.deepEqual(fixture.endpoints.get("endpoint-0")?.ownLoad, { requests: 0, tokenLayers: 0, promptTokens: 0 });
});

test("an endpoint that resets every connection does not attract all requests by its low load", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const resetting = recordRequests(closeConnection);
  await fixture.list([resetting, answer(200, "ran")], {});
  for (let request = 0; request < 12; request++)
    t.is((await fixture.request("POST", callerHeaders)).status, 200);
  t.true(resetting.requests.length <= 6, `${resetting.requests.length} of 12 began there`);
});

const limited = { "x-limit": "0.1" };

// Guards against requests that wait until their deadline although no endpoint can accept them before it.
test("a request is rejected as soon as it can no longer be served in time while all endpoints are at their limits", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const endpoint = recordRequests(answer(200, "whole", limited));
  await fixture.list([endpoint], {});
  t.is((await fixture.request("POST", callerHeaders)).status, 200, "this answer states the limit");
  const rejected = await fixture.request("POST", callerHeaders);
  t.is(rejected.status, 503);
  t.true(rejected.body.includes("limited"));
  t.truthy(rejected.headers["x-retry-after-ms"]);
  t.is(endpoint.requests.length, 1);
});

// Guards against requests that wait for a limited endpoint while another one accepts them.
test("requests beyond the limit of an endpoint go to an endpoint without a limit", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const one = recordRequests(answer(200, "whole", limited));
  const other = recordRequests(answer(200, "whole"));
  await fixture.list([one, other], {});
  for (let sent = 0; sent < 6; sent++) t.is((await fixture.request("GET", callerHeaders)).status, 200);
  t.is(one.requests.length, 1);
  t.is(other.requests.length, 5);
});

test("a stream is rejected immediately if all engines with the first layers are at their limits", async (t) => {
  const fixture = await setUp(t, stream);
  const engine = recordRequests((request, response) => {
    response.writeHead(200, { "x-id": String(request.headers["x-id"]), "x-limit": "0.1" });
    response.end("id: 1\ndata: a\n\n");
  });
  await fixture.list([engine], allLayers);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
  const rejected = await fixture.request("POST", callerHeaders);
  t.is(rejected.status, 503);
  t.true(rejected.body.includes("limited"));
  t.is(engine.requests.length, 1);
});
