/** Reports of connections that end before the answers to their requests, over real sockets. */
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";
import type { HeldEndpoint } from "./HeldEndpoint.js";
import { formatRequest, type RawCaller } from "./RawCaller.js";
import { setUpCaller } from "./setUpCaller.js";

const onceOnly = { kind: "streaming", isResumable: false } as const;

/** Starts a stream; resolves once its caller has received the first event. */
async function setUpStream(t: ExecutionContext): Promise<[GatewayFixture, HeldEndpoint, RawCaller]> {
  const { fixture, endpoint, caller } = await setUpCaller(t, onceOnly);
  await caller.send(formatRequest("r1", "/a/x"));
  await endpoint.waitFor("r1");
  endpoint.begin("r1");
  await caller.waitForAnswers(1);
  return [fixture, endpoint, caller];
}

const causes = {
  "caller-left": (_fixture: GatewayFixture, _endpoint: HeldEndpoint, caller: RawCaller) => caller.close(),
  "answer-broken-off": (_fixture: GatewayFixture, endpoint: HeldEndpoint) => endpoint.breakOff("r1"),
  "instance-stopped": (fixture: GatewayFixture) => fixture.listener.close(),
};

for (const [cause, act] of Object.entries(causes)) {
  // Guards against connections that end without a trace of who ended them.
  test(`a connection that ends during an answer is reported as ${cause}`, async (t) => {
    const [fixture, endpoint, caller] = await setUpStream(t);
    act(fixture, endpoint, caller);
    t.true(await utils.waitUntil(() => fixture.unanswered.length > 0, generousMs));
    t.deepEqual<readonly string[], readonly string[]>(fixture.unanswered, [cause]);
  });
}
