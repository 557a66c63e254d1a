/** Callers that leave while their requests wait or run, over real sockets. */
import * as http from "node:http";
import test from "ava";
import { utils } from "@shedtiller/common";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { answer, callerHeaders, generousMs, recordRequests, setUp } from "./endpointHandlers.js";
import { createRoute } from "../testData.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
const resumable = { kind: "streaming", isResumable: true } as const;
const kinds: Record<string, Partial<Route>> = {
  "a resumable stream": resumable,
  "a stream that may run only once": { kind: "streaming", isResumable: false },
  "a safe request": { kind: "safe" },
  "an unsafe request": { kind: "unsafe" },
};
/** Time after a crash at which its suspects wait for nothing any more. */
const settledMs = 10_000;
const shortPath = "/a/short";
const eventBytes = 64 * 1024;
/** Bytes that wait at the engine once neither the gateway nor the caller reads. */
const heldUpBytes = 1024 * 1024;

/** An endpoint that answers on one path, and on all others begins answers that it never ends. */
class EndlessEndpoint {
  isBegun = false;
  isClosed = false;

  constructor(private readonly _status: number) {}

  readonly handler: EndpointHandler = (request, response, crash) => {
    if (request.url === shortPath) return answer(200, "id: 1\ndata: a\n\n")(request, response, crash);
    response.on("close", () => (this.isClosed = true));
    response.writeHead(this._status, { "x-id": String(request.headers["x-id"]) });
    response.write("id: 1\ndata: a\n\n", () => (this.isBegun = true));
  };
}

/** Sends a request whose caller never reads the answer; returns a function with which the caller leaves. */
function sendAndIgnore(fixture: GatewayFixture, headers: Record<string, string>): () => void {
  const options = { host: "127.0.0.1", port: fixture.port, method: "POST", path: "/a/x", agent: false };
  const request = http.request({ ...options, headers: { host: "notes.example", ...headers } });
  request.on("error", () => undefined);
  request.end();
  return () => request.destroy();
}

for (const [name, route] of Object.entries(kinds)) {
  // Guards against requests that are sent on after their callers have left during the wait that follows a crash.
  test(`${name} whose caller leaves while it waits for its turn after a crash is not sent`, async (t) => {
    const fixture = await setUp(t, route);
    const engine = recordRequests(answer(200, "id: 1\ndata: a\n\n"));
    await fixture.list([engine, engine], allLayers);
    fixture.crashes?.ledger.noteCrash("life", fixture.crashClockMs, new Map([["part:shared", 1]]));
    const leave = sendAndIgnore(fixture, { ...callerHeaders, "x-parts": "shared,own" });
    t.true(await utils.waitUntil(() => fixture.forwarded.begun === 1, generousMs));
    leave();
    t.true(await utils.waitUntil(() => fixture.listener.inFlight === 0, generousMs));
    t.is(fixture.forwarded.ended, 0, "the request waits");
    fixture.crashClockMs += settledMs;
    t.true(await utils.waitUntil(() => fixture.forwarded.ended === 1, generousMs));
    t.is(engine.requests.length, 0);
  });
}

// Guards against streams that are sent on after their callers have left during the wait for a chain.
test("a stream whose caller leaves while it waits for capacity is not sent", async (t) => {
  const fixture = await setUp(t, resumable);
  const engine = recordRequests(answer(200, "id: 1\ndata: a\n\n"));
  const leave = sendAndIgnore(fixture, callerHeaders);
  t.true(await utils.waitUntil(() => fixture.forwarded.begun === 1, generousMs));
  leave();
  t.true(await utils.waitUntil(() => fixture.forwarded.ended === 1, generousMs));
  await fixture.list([engine], allLayers);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
  t.is(engine.requests.length, 1, "only the request of the caller that stayed");
});

// Guards against requests that are sent on after their callers have left before the first configuration was known.
test("a request whose caller leaves while it waits for the first configuration is not sent", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const targets = [{ service: "engines", weight: 1 }];
  const route = createRoute({ targets, kind: "unsafe", timeoutMs: generousMs });
  await fixture.listen(route);
  const endpoint = recordRequests(answer(200, "ran"));
  await fixture.list([endpoint], {});
  const leave = sendAndIgnore(fixture, callerHeaders);
  await fixture.waitForRequest();
  leave();
  t.true(await utils.waitUntil(() => fixture.listener.inFlight === 0, generousMs));
  fixture.configure(route);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
  t.is(endpoint.requests.length, 1, "only the request of the caller that stayed");
});

const runs: Record<string, { readonly route: Partial<Route>; readonly status: number }> = {
  "a safe request": { route: { kind: "safe" }, status: 200 },
  "an unsafe request": { route: { kind: "unsafe" }, status: 200 },
  "a stream": { route: resumable, status: 200 },
  "a stream that its engine rejects": { route: resumable, status: 404 },
};

for (const [name, { route, status }] of Object.entries(runs)) {
  // Guards against endpoints that work on for callers that have left.
  test(`the endpoint's connection is closed when the caller leaves while the answer to ${name} arrives`, async (t) => {
    const fixture = await setUp(t, { ...route, timeoutMs: 2 * generousMs });
    const endpoint = new EndlessEndpoint(status);
    await fixture.list([endpoint.handler], allLayers);
    const leave = sendAndIgnore(fixture, callerHeaders);
    t.true(await utils.waitUntil(() => endpoint.isBegun, generousMs));
    // The gateway has read the beginning of the answer once a later request is answered.
    t.is((await fixture.request("POST", callerHeaders, shortPath)).status, 200);
    leave();
    t.true(await utils.waitUntil(() => endpoint.isClosed, generousMs));
    t.true(await utils.waitUntil(() => fixture.forwarded.ended === 2, generousMs));
  });
}

// Guards against engines that work on because their events wait for a caller that has stopped to read.
test("the engine's connection is closed when a caller leaves that has not read its stream", async (t) => {
  const fixture = await setUp(t, { ...resumable, timeoutMs: 2 * generousMs });
  const event = Buffer.from(`id: 1\ndata: ${"x".repeat(eventBytes)}\n\n`);
  let isClosed = false;
  let isHeldUp = false;
  await fixture.list(
    [
      (request, response) => {
        response.on("close", () => (isClosed = true));
        response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
        const writeNext = (): void => {
          if (response.destroyed) return;
          isHeldUp = !response.write(event) && response.writableLength > heldUpBytes;
          if (!isHeldUp) setImmediate(writeNext);
        };
        writeNext();
      },
    ],
    allLayers,
  );
  const options = { host: "127.0.0.1", port: fixture.port, method: "POST", path: "/a/x", agent: false };
  const request = http.request({ ...options, headers: { host: "notes.example", ...callerHeaders } });
  request.on("error", () => undefined);
  const message = new utils.Deferred<http.IncomingMessage>();
  request.once("response", (response) => message.resolve(response));
  request.end();
  (await message.promise).on("error", () => undefined);
  t.true(await utils.waitUntil(() => isHeldUp, generousMs));
  request.destroy();
  t.true(await utils.waitUntil(() => isClosed, generousMs));
});
