/** Callers that end their sending half after their requests, over real sockets. */
import test from "ava";
import { utils } from "@shedtiller/common";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { generousMs } from "./endpointHandlers.js";
import { formatRequest } from "./RawCaller.js";
import { setUpCaller } from "./setUpCaller.js";

const kinds: Record<string, Partial<Route>> = {
  "a safe request": { kind: "safe" },
  "an unsafe request": { kind: "unsafe" },
  "a resumable stream": { kind: "streaming", isResumable: true },
  "a stream that may run only once": { kind: "streaming", isResumable: false },
};

for (const [name, route] of Object.entries(kinds)) {
  // Guards against taking a caller that has ended only its sending half for one that has left.
  test(`a caller that ends its sending half after ${name} gets the whole answer`, async (t) => {
    const { endpoint, caller } = await setUpCaller(t, route);
    await caller.send(formatRequest("r1", "/a/x"));
    caller.endSending();
    await endpoint.waitFor("r1");
    // The gateway has read the end of the sending half once it has written an interim answer, or ended the connection.
    await utils.waitUntil(() => caller.received !== "" || caller.isEnded, generousMs);
    endpoint.release("r1");
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [200]);
    t.regex(caller.received, /id: 1\ndata: r1\n\n/);
    t.deepEqual(endpoint.abandoned, []);
  });
}

// Guards against cutting a stream whose head has been sent before the end of the caller's sending half is read.
test("a caller that ends its sending half after the head of a stream gets the events that follow", async (t) => {
  const { endpoint, caller } = await setUpCaller(t, { kind: "streaming", isResumable: true });
  await caller.send(formatRequest("r1", "/a/x"));
  await endpoint.waitFor("r1");
  endpoint.begin("r1");
  await caller.waitForAnswers(1);
  caller.endSending();
  const sending = setInterval(() => endpoint.sendEvent("r1"), 10);
  t.teardown(() => clearInterval(sending));
  const countEvents = (): number => caller.received.split("data: r1").length - 1;
  await utils.waitUntil(() => countEvents() >= 60 || caller.isEnded, generousMs);
  clearInterval(sending);
  endpoint.release("r1");
  await caller.waitForEnd();
  t.true(countEvents() >= 60);
  t.deepEqual(endpoint.abandoned, []);
});

// Guards against answers that are lost because the caller ends its sending half while two requests wait for them.
test("a caller that ends its sending half after two requests gets both answers", async (t) => {
  const { endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
  await caller.send(formatRequest("r1", "/a/x") + formatRequest("r2", "/a/x"));
  caller.endSending();
  await endpoint.waitFor("r1");
  await endpoint.waitFor("r2");
  await utils.waitUntil(() => caller.received !== "" || caller.isEnded, generousMs);
  endpoint.release("r2");
  endpoint.release("r1");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200, 200]);
});
