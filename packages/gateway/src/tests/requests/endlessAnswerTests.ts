/** Requests to endpoints that go on to send bytes that are no answer until the connection is closed. */
import type * as http from "node:http";
import test from "ava";
import { callerHeaders, setUp } from "./endpointHandlers.js";
import type { EndpointHandler } from "./GatewayFixture.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
const stream = { kind: "streaming", isResumable: true, maxAttempts: 2 } as const;
const piece = Buffer.alloc(16 * 1024, "a");
const event = "id: 1\ndata: a\n\n";
const largeBytes = 12 * 1024 * 1024;

function writeHead(request: http.IncomingMessage, response: http.ServerResponse, status: number): void {
  const notRun = status === 503 ? { "x-not-run": "1" } : {};
  response.writeHead(status, { "x-id": String(request.headers["x-id"]), ...notRun });
}

/** Sends an answer that goes on after its start until its connection is closed. */
function sendEndlessly(status: number, start = ""): EndpointHandler {
  return (request, response) => {
    const send = (): void => {
      while (!response.destroyed && response.write(piece));
    };
    response.on("error", () => undefined);
    response.on("drain", send);
    writeHead(request, response, status);
    response.write(start);
    send();
  };
}

/** Sends a whole answer. */
function sendWhole(body: string | Buffer): EndpointHandler {
  return (request, response) => {
    writeHead(request, response, 200);
    response.end(body);
  };
}

/** Answers the first request with one handler, and all others with another one, whichever endpoints they come to. */
function inTurn(first: EndpointHandler, others: EndpointHandler): EndpointHandler {
  let count = 0;
  return (...exchange) => (count++ === 0 ? first : others)(...exchange);
}

// Guards against a plain request that waits for the end of an answer that has none.
test("a safe request whose answer has no end is answered by another endpoint", async (t) => {
  const fixture = await setUp(t, { kind: "safe", maxAttempts: 2 });
  const handler = inTurn(sendEndlessly(200), sendWhole("whole"));
  await fixture.list([handler, handler], {});
  const received = await fixture.request("GET", callerHeaders);
  t.is(received.status, 200);
  t.is(received.body, "whole");
});

// Guards against a refusal whose body has no end, so that a request that has not run counts as one that may have run.
test("a request that may run once is sent elsewhere after a refusal whose body has no end", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe", maxAttempts: 2 });
  const handler = inTurn(sendEndlessly(503), sendWhole("whole"));
  await fixture.list([handler, handler], {});
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.body, "whole");
});

const streams = {
  "an event that has no end": sendEndlessly(200),
  "events after which an event has no end": sendEndlessly(200, event),
  "a refusal whose body has no end": sendEndlessly(503),
};
for (const [what, endless] of Object.entries(streams)) {
  // Guards against a stream whose engine goes on to send bytes that are no event, which counted as a sign of life.
  test(`a stream goes on at another engine after ${what}`, async (t) => {
    const fixture = await setUp(t, stream);
    const handler = inTurn(endless, (request, response) => {
      writeHead(request, response, 200);
      response.end(request.headers["x-last"] === "1" ? "id: 2\ndata: b\n\n" : `${event}id: 2\ndata: b\n\n`);
    });
    await fixture.list([handler, handler], allLayers);
    const received = await fixture.request("POST", callerHeaders);
    t.is(received.body, `${event}id: 2\ndata: b\n\n`);
    t.true(received.isWhole);
  });
}

test("a large answer is passed on whole", async (t) => {
  const fixture = await setUp(t, { kind: "safe" });
  const body = Buffer.alloc(largeBytes, "b");
  await fixture.list([sendWhole(body)], {});
  const received = await fixture.request("GET", callerHeaders);
  t.is(received.status, 200);
  t.true(received.isWhole);
  t.is(received.body.length, largeBytes);
});
