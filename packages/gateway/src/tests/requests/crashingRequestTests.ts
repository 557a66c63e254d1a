/** Quarantine of requests that crash their endpoints: each such request is rejected after three crashes. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { initialPhaseMs } from "../../crashes/CrashDetector.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";
import { createRoute } from "../testData.js";

/** Times that no test reaches, so that its speed neither ends a request nor lets it be hedged, which would crash two endpoints at once. */
const times = { timeoutMs: 60_000, targetLatencyMs: 60_000 };
const callerHeaders = { "x-id": "r1", "x-key": "k1" };
const crashingPath = "/a/crashes";
const allowedCrashes = 3;
const trialMs = 3_000;

/** Creates a handler that crashes its endpoint on one path and answers on all others. */
function createHandler(crashed: string[]): EndpointHandler {
  return (request, response, crash) => {
    if (request.url === crashingPath) {
      crashed.push(String(request.headers["x-id"]));
      return crash();
    }
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    response.end("whole");
  };
}

for (const kind of ["safe", "unsafe"] as const) {
  test(`${kind} requests that crash plain endpoints are not sent after the third crash, and others are served`, async (t) => {
    const fixture = new GatewayFixture();
    t.teardown(() => fixture.close());
    await fixture.start(
      createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], kind, maxAttempts: 2 }),
    );
    const crashed: string[] = [];
    const handler = createHandler(crashed);
    await fixture.list([handler, handler, handler, handler, handler, handler], {});
    for (let repeat = 0; repeat < 6; repeat++) await fixture.request("POST", callerHeaders, crashingPath);
    const rejected = await fixture.request("POST", callerHeaders, crashingPath);
    t.is(crashed.length, allowedCrashes);
    t.is(rejected.status, 503);
    const firstQuarantineMs = Number(rejected.headers["x-retry-after-ms"]);
    t.true(firstQuarantineMs > 0);
    // A trial may be sent to an endpoint that has crashed before; it is repeated after some seconds then.
    for (let trial = 0; trial < 6 && crashed.length === allowedCrashes; trial++) {
      fixture.crashClockMs += firstQuarantineMs + trialMs;
      await fixture.request("POST", callerHeaders, crashingPath);
    }
    t.is(crashed.length, allowedCrashes + 1, "the trial");
    const afterTrial = await fixture.request("POST", callerHeaders, crashingPath);
    t.is(afterTrial.status, 503);
    t.true(Number(afterTrial.headers["x-retry-after-ms"]) > 60_000);
    t.is(crashed.length, allowedCrashes + 1);
    t.is((await fixture.request("POST", callerHeaders)).status, 200);
  });
}

// Guards against a request whose attempts crash all engines of a zone that have the first layers, one after the other.
test("a stream that has crashed two engines does not begin at the last engine with the first layers", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const streaming = { kind: "streaming", isResumable: true } as const;
  await fixture.start(
    createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], maxAttempts: 3, ...streaming }),
  );
  const crashed: string[] = [];
  const answer = createHandler([]);
  const handler: EndpointHandler = (request, response, crash) => {
    if (request.url !== crashingPath) return answer(request, response, crash);
    crashed.push(String(request.headers["x-id"]));
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    response.write(": begun\n\n", () => crash());
  };
  await fixture.list([handler, handler, handler], { layers: [{ start: 0, end: 4 }] });
  for (let repeat = 0; repeat < 3; repeat++) await fixture.request("POST", callerHeaders, crashingPath);
  t.is(crashed.length, 2);
  t.is((await fixture.request("POST", callerHeaders, crashingPath)).status, 503);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
});

// Guards against crashes without suspects: a peer may report the loss of an engine, so that the run there is aborted, before its connection ends.
test("a stream that is aborted because its engine is lost counts as a suspect of the crash", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const streaming = { kind: "streaming", isResumable: true } as const;
  await fixture.start(
    createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], maxAttempts: 2, ...streaming }),
  );
  let runs = 0;
  const handler: EndpointHandler = (request, response, crash) => {
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    if (runs++ > 0) return void response.end("id: 1\ndata: a\n\n");
    response.write(": begun\n\n", () => {
      fixture.monitor?.attempts[0]?.abort.abort();
      crash();
    });
  };
  await fixture.list([handler, handler], { layers: [{ start: 0, end: 4 }] });
  t.is((await fixture.request("POST", { ...callerHeaders, "x-parts": "part,own" })).status, 200);
  const getWeight = (): number | undefined => fixture.crashes?.ledger.getWeight("part:part");
  t.true(await utils.waitUntil(() => (getWeight() ?? 0) > 0, 10_000));
});

// Guards against sound requests that wait for a second engine with the first layers for good, since no run of theirs can clear them.
test("a stream whose last two engines crashed begins at the last engine with the first layers some seconds later", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const streaming = { kind: "streaming", isResumable: true } as const;
  await fixture.start(
    createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], maxAttempts: 3, ...streaming }),
  );
  let crashes = 0;
  const handler: EndpointHandler = (request, response, crash) => {
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    if (crashes === 2) return void response.end("id: 1\ndata: a\n\n");
    crashes += 1;
    response.write(": begun\n\n", () => crash());
  };
  await fixture.list([handler, handler, handler], { layers: [{ start: 0, end: 4 }] });
  for (let repeat = 0; repeat < 2; repeat++) await fixture.request("POST", callerHeaders);
  t.is(crashes, 2);
  t.is((await fixture.request("POST", callerHeaders)).status, 503);
  fixture.crashClockMs += 6_000;
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
});

// Guards against engines that answer some requests with a failure before they begin to write, and so clear the part that crashes them.
test("an answer that is a failure does not clear a stream's request", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  const streaming = { kind: "streaming", isResumable: false } as const;
  await fixture.start(createRoute({ ...times, targets: [{ service: "engines", weight: 1 }], ...streaming }));
  let runs = 0;
  const handler: EndpointHandler = (request, response, crash) => {
    const headers = { "x-id": String(request.headers["x-id"]) };
    if (runs++ > 0) return void response.writeHead(500, headers).end();
    response.writeHead(200, headers);
    response.write(": begun\n\n", () => crash());
  };
  await fixture.list([handler, handler], { layers: [{ start: 0, end: 4 }] });
  const headers = { ...callerHeaders, "x-parts": "part,own" };
  await fixture.request("POST", headers);
  const getWeight = (): number => fixture.crashes?.ledger.getWeight("part:part") ?? 0;
  t.true(await utils.waitUntil(() => getWeight() === 1, 10_000));
  t.is((await fixture.request("POST", headers)).status, 500);
  t.false(await utils.waitUntil(() => getWeight() !== 1, 2 * initialPhaseMs));
});
