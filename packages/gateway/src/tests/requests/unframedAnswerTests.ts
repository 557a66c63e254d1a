/** Answers with neither a length nor chunks, which end with their connection. */
import type * as http from "node:http";
import type * as net from "node:net";
import test from "ava";
import { callerHeaders, recordRequests, setUp } from "./endpointHandlers.js";
import type { EndpointHandler } from "./GatewayFixture.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
const stream = { kind: "streaming", isResumable: true } as const;

/** Answers without framing: the bytes, and then the end of the connection. */
function sendUnframed(response: http.ServerResponse, request: http.IncomingMessage, bytes: string): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
  response.end(bytes);
}

/** Answers without framing, and resets the connection once the caller has the bytes. */
function sendAndReset(response: http.ServerResponse, request: http.IncomingMessage, bytes: string): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
  response.write(bytes, () => (response.socket as net.Socket).resetAndDestroy());
}

test("a plain answer that ends with its connection is forwarded whole, and the caller's connection is kept", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  await fixture.list([(request, response) => sendUnframed(response, request, "whole")], {});
  const received = await fixture.request("GET", callerHeaders);
  t.is(received.status, 200);
  t.is(received.body, "whole");
  t.is(received.headers["content-length"], "5");
});

test("a plain answer without a length whose connection is reset is sent for again", async (t) => {
  const fixture = await setUp(t, { kind: "safe", maxAttempts: 2 });
  let runs = 0;
  const handler: EndpointHandler = (request, response) =>
    (runs++ === 0 ? sendAndReset : sendUnframed)(response, request, "whole");
  await fixture.list([handler, handler], {});
  const received = await fixture.request("GET", callerHeaders);
  t.is(received.body, "whole");
  t.is(runs, 2);
});

test("a stream that ends with its connection after a whole event is complete", async (t) => {
  const fixture = await setUp(t, stream);
  const handler = recordRequests((request, response) =>
    sendUnframed(response, request, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
  );
  await fixture.list([handler, handler], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(received.isWhole);
  t.is(handler.requests.length, 1);
});

const ends = {
  "in the middle of a line": "id: 1\ndata: a\n\nid: 2\nda",
  "after a line of an event": "id: 1\ndata: a\n\nid: 2\n",
  "before the blank line of an event": "id: 1\ndata: a\n\nid: 2\ndata: b\n",
};
for (const [where, bytes] of Object.entries(ends)) {
  test(`a stream that ends with its connection ${where} resumes after the last complete event`, async (t) => {
    const fixture = await setUp(t, stream);
    const handler = recordRequests((request, response) => {
      const isFirst = request.headers["x-last"] === undefined;
      sendUnframed(response, request, isFirst ? bytes : "id: 2\ndata: b\n\n");
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
}

test("a stream that ends with its connection inside an event and may not be resumed does not look complete", async (t) => {
  const fixture = await setUp(t, { kind: "streaming", isResumable: false });
  const handler: EndpointHandler = (request, response) =>
    sendUnframed(response, request, "id: 1\ndata: a\n\nid: 2\nda");
  await fixture.list([handler], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.body, "id: 1\ndata: a\n\n");
  t.false(received.isWhole);
});

test("a stream without framing whose connection is reset after a whole event resumes after that event", async (t) => {
  const fixture = await setUp(t, stream);
  const handler = recordRequests((request, response) => {
    if (request.headers["x-last"] === undefined) sendAndReset(response, request, "id: 1\ndata: a\n\n");
    else sendUnframed(response, request, "id: 2\ndata: b\n\n");
  });
  await fixture.list([handler, handler], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.true(received.isWhole);
});
