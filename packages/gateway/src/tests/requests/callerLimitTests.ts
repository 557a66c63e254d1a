/** The limits of the configuration on what callers send, over real sockets. */
import test from "ava";
import { answer, recordRequests, setUp } from "./endpointHandlers.js";
import { formatRequest, RawCaller } from "./RawCaller.js";

/** More than the configuration of the tests allows, and more than the buffers of both ends hold. */
const largeBody = "x".repeat(20_000_000);
/** Less than a parser of Node reads by default, and more than the gateway reads before it has a configuration. */
const largeHeadBytes = 100_000;

// Guards against a reset by what is left of a large body, which takes the refusal from its caller.
test("a caller that sends a body over the limit to its end gets 413", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  await caller.send(formatRequest("r1", "/a/x", [], largeBody));
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [413]);
  t.regex(caller.received, /connection: close/i);
  t.is(caller.error, undefined);
});

// Guards against a limit of the configuration that is not applied because it is larger than what is read without one.
test("a head is accepted up to a large limit of the configuration", async (t) => {
  const fixture = await setUp(t, { kind: "unsafe" });
  const endpoint = recordRequests(answer(200, "ran"));
  await fixture.list([endpoint], {});
  fixture.setLimits({ maxHeaderBytes: 2 * largeHeadBytes });
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  await caller.send(formatRequest("r1", "/a/x", [`x-large: ${"x".repeat(largeHeadBytes)}`]));
  await caller.waitForAnswers(1);
  t.deepEqual(caller.statuses, [200]);
});
