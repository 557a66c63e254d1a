/** Several requests on one connection, over real sockets. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";
import { formatRequest, RawCaller } from "./RawCaller.js";
import { setUpCaller } from "./setUpCaller.js";

const resumable = { kind: "streaming", isResumable: true } as const;

const endings: Record<string, (fixture: GatewayFixture) => void> = {
  "a planned stop": (fixture) => fixture.listener.drain(),
  "a limit on new connections": (fixture) => fixture.setAcceptLimit(2),
};

for (const [name, end] of Object.entries(endings)) {
  // Guards against an answer with `Connection: close` in front of a request that runs at an endpoint.
  test(`two requests that were read from one connection are both answered during ${name}`, async (t) => {
    const { fixture, endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
    await caller.send(formatRequest("r1", "/a/x") + formatRequest("r2", "/a/x"));
    await endpoint.waitFor("r1");
    await endpoint.waitFor("r2");
    end(fixture);
    endpoint.release("r1");
    await caller.waitForAnswers(1);
    endpoint.release("r2");
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [200, 200]);
    t.is(caller.received.split(/connection: close/i).length, 2, "only the last answer ends the connection");
  });
}

for (const [name, end] of Object.entries(endings)) {
  // Guards against a refusal that announces the end before the request that arrived in the same piece has been read.
  test(`two requests that arrive in one piece are both refused during ${name}`, async (t) => {
    const { fixture, caller } = await setUpCaller(t, { kind: "unsafe" });
    await caller.send(formatRequest("r0", "/other"));
    await caller.waitForAnswers(1);
    end(fixture);
    await caller.send(formatRequest("r1", "/other", [], "body") + formatRequest("r2", "/other", [], "body"));
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [404, 404, 404]);
  });
}

// Guards against a request that runs although its caller knows by `Connection: close` that it is not processed.
test("a request that follows an announced close is not forwarded", async (t) => {
  const { fixture, endpoint, caller } = await setUpCaller(t, resumable);
  fixture.listener.drain();
  await caller.send(formatRequest("r1", "/a/x"));
  await endpoint.waitFor("r1");
  endpoint.begin("r1");
  await caller.waitForAnswers(1);
  await caller.send(formatRequest("r2", "/a/x"));
  const other = new RawCaller(fixture.port);
  t.teardown(() => other.close());
  await other.send(formatRequest("r3", "/a/x"));
  await endpoint.waitFor("r3");
  t.false(endpoint.has("r2"));
  endpoint.release("r1");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200]);
  t.true(caller.received.endsWith("0\r\n\r\n"), "the stream is whole");
});

// Guards against requests that run on, and count as in flight, because their answers wait behind another one on a connection that is gone.
test("all requests of a connection end when their caller leaves", async (t) => {
  const { fixture, endpoint, caller } = await setUpCaller(t, { kind: "safe" });
  await caller.send(formatRequest("r1", "/a/x") + formatRequest("r2", "/a/x"));
  await endpoint.waitFor("r1");
  await endpoint.waitFor("r2");
  caller.close();
  t.true(await utils.waitUntil(() => endpoint.abandoned.length === 2, generousMs));
  t.true(await utils.waitUntil(() => fixture.listener.inFlight === 0, generousMs));
});
