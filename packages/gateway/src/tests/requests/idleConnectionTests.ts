/** Connections that wait for a request, over real sockets. */
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { answer, generousMs, setUp } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";
import { formatRequest, RawCaller } from "./RawCaller.js";

/** The shortest idle time, to which the gateway adds its margins. */
const shortestIdleMs = 1;
/** Longer than the shortest idle time with the margins of the gateway and of Node. */
const blockedMs = 3_000;

async function setUpCaller(t: ExecutionContext): Promise<[GatewayFixture, RawCaller]> {
  const fixture = await setUp(t, { kind: "unsafe" });
  await fixture.list([answer(200, "ran")], {});
  fixture.setLimits({ idleTimeoutMs: shortestIdleMs });
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  return [fixture, caller];
}

/** Holds up the event loop, as a large configuration or a frozen process does. */
function blockEventLoop(): void {
  const endMs = utils.monotonicMs() + blockedMs;
  while (utils.monotonicMs() < endMs);
}

async function sendAndWait(caller: RawCaller, id: string): Promise<void> {
  const count = caller.statuses.length + 1;
  await caller.send(formatRequest(id, "/a/x"));
  await caller.waitForAnswers(count);
}

// Guards against the close of an idle connection on which a request has arrived that has not been read, since the process was held up.
test.serial(
  "a request that arrives in time is answered although the idle time passes before it is read",
  async (t) => {
    const [, caller] = await setUpCaller(t);
    await sendAndWait(caller, "r1");
    // The kernel gets the bytes within this call.
    caller.socket.write(formatRequest("r2", "/a/x"));
    blockEventLoop();
    await caller.waitForAnswers(2);
    t.deepEqual(caller.statuses, [200, 200]);
  },
);

// Guards against 408 for a head whose rest has arrived but has not been read, since the process was held up.
test.serial(
  "a head that arrives in time is answered although its time passes before it is read",
  async (t) => {
    const [fixture, caller] = await setUpCaller(t);
    fixture.setLimits({ idleTimeoutMs: generousMs, headerTimeoutMs: 1 });
    const head = formatRequest("r1", "/a/x");
    await caller.send(head.slice(0, -2));
    const other = new RawCaller(fixture.port);
    t.teardown(() => other.close());
    // The gateway has read the bytes above once a later request is answered.
    await sendAndWait(other, "r2");
    caller.socket.write(head.slice(-2));
    blockEventLoop();
    await caller.waitForAnswers(1);
    t.deepEqual(caller.statuses, [200]);
  },
);

// Guards against connections that are closed earlier than their callers learn from a new configuration.
test.serial("a raised idle time applies to connections that are idle already", async (t) => {
  const [fixture, caller] = await setUpCaller(t);
  await sendAndWait(caller, "r1");
  fixture.setLimits({ idleTimeoutMs: generousMs });
  blockEventLoop();
  const other = new RawCaller(fixture.port);
  t.teardown(() => other.close());
  // Timers that are due have run once this request is answered.
  await sendAndWait(other, "r2");
  await sendAndWait(caller, "r3");
  t.deepEqual(caller.statuses, [200, 200]);
});

// Guards against idle connections that are kept for ever.
test.serial(
  "a connection on which nothing arrives during the idle time is closed without an answer",
  async (t) => {
    const [, caller] = await setUpCaller(t);
    await sendAndWait(caller, "r1");
    const { received } = caller;
    await caller.waitForEnd();
    t.is(caller.received, received);
  },
);

// Guards against connections that are kept for ever because of a few bytes behind the last request.
test.serial(
  "a connection is ended on which the beginning of a request arrives and then nothing",
  async (t) => {
    const [, caller] = await setUpCaller(t);
    await sendAndWait(caller, "r1");
    await caller.send("POST /a");
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [200, 408]);
  },
);

// Guards against taking a connection that was opened in advance for a head that does not arrive in time.
test.serial(
  "a connection without any bytes is kept for the idle time, not for the time of a head",
  async (t) => {
    const [fixture, caller] = await setUpCaller(t);
    fixture.setLimits({ idleTimeoutMs: generousMs, headerTimeoutMs: 1 });
    const slow = new RawCaller(fixture.port);
    t.teardown(() => slow.close());
    await slow.send("POST /a");
    await slow.waitForEnd();
    t.deepEqual(slow.statuses, [408]);
    await sendAndWait(caller, "r1");
    t.deepEqual(caller.statuses, [200]);
  },
);

// Guards against a reset that a refused caller gets although it still sends its body, since the process was held up.
test.serial(
  "a refused caller whose body goes on is not reset although the time to read it passes before it is read",
  async (t) => {
    const [fixture, caller] = await setUpCaller(t);
    fixture.setLimits({ idleTimeoutMs: generousMs, maxBodyBytes: 1 });
    const request = formatRequest("r1", "/a/x", [], "too large");
    await caller.send(request.slice(0, -2));
    await caller.waitForEnd();
    // After an immediate, timers come before sockets.
    await utils.yieldToEvents();
    // The kernel gets the bytes within this call.
    caller.socket.write(request.slice(-2, -1));
    blockEventLoop();
    // The timers of the gateway have run once another request is answered.
    const other = new RawCaller(fixture.port);
    t.teardown(() => other.close());
    await sendAndWait(other, "r2");
    // A reset shows with the write after the one that it answers.
    for (const id of ["r3", "r4"]) {
      caller.socket.write("x");
      await sendAndWait(other, id);
    }
    caller.endSending();
    t.true(await utils.waitUntil(() => caller.isClosed, generousMs));
    t.is(caller.error, undefined);
    t.deepEqual(caller.statuses, [413]);
  },
);
