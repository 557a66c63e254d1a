/** Errors of the gateway itself while it handles a request, over real sockets. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";
import { formatRequest } from "./RawCaller.js";
import { setUpCaller } from "./setUpCaller.js";
import { undecodableId } from "./TestCodec.js";

function fail(): never {
  throw new Error("This call fails.");
}

interface Failure {
  readonly id: string;
  readonly status: number;
  readonly prepare: (fixture: GatewayFixture) => void;
}

const failures: Record<string, Failure> = {
  "while its headers are decoded": { id: undecodableId, status: 503, prepare: () => undefined },
  "while its key is checked": {
    id: "r1",
    status: 503,
    prepare: (fixture) => Object.defineProperty(fixture, "areKeysFresh", { get: fail }),
  },
  "after it was passed to a forwarder": {
    id: "r1",
    status: 502,
    prepare: (fixture) => Object.defineProperty(fixture.forwarded, "begun", { get: fail }),
  },
};

for (const [name, { id, status, prepare }] of Object.entries(failures)) {
  // Guards against the close of a connection, with all of its requests, because of an error of the gateway.
  test(`a request that fails ${name} gets ${status}, and the one in front of it its answer`, async (t) => {
    const { fixture, endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
    await caller.send(formatRequest("r0", "/a/x"));
    await endpoint.waitFor("r0");
    prepare(fixture);
    await caller.send(formatRequest(id, "/a/x"));
    t.true(await utils.waitUntil(() => fixture.listener.inFlight === 2, generousMs));
    endpoint.release("r0");
    await caller.waitForAnswers(2);
    t.deepEqual(caller.statuses, [200, status]);
    t.is(caller.received.includes("x-retry-after-ms"), status === 503);
  });
}

// Guards against a second answer to a request whose end fails after its answer.
test("an error after the answer does not affect the connection", async (t) => {
  const { fixture, endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
  Object.defineProperty(fixture.forwarded, "ended", { get: fail });
  await caller.send(formatRequest("r1", "/a/x"));
  await endpoint.waitFor("r1");
  endpoint.release("r1");
  await caller.waitForAnswers(1);
  await caller.send(formatRequest("r2", "/a/x"));
  await endpoint.waitFor("r2");
  endpoint.release("r2");
  await caller.waitForAnswers(2);
  t.deepEqual(caller.statuses, [200, 200]);
});
