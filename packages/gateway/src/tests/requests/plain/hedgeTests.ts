/** Sends to a second endpoint while the first one is late. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { hedge, type SendStarter } from "../../../requests/plain/hedge.js";
import type { SendOutcome } from "../../../requests/plain/SendOutcome.js";

/** A time that no test reaches. */
const longMs = 60_000;

function createAnswer(text: string): SendOutcome {
  return { kind: "answer", answer: { status: 200, headers: [], body: Buffer.from(text) } };
}

/** A send that ends when the test says so, or with its signal. */
class ScriptedSend {
  readonly outcome = new utils.Deferred<SendOutcome>();
  isStarted = false;

  readonly start: SendStarter = (signal) => {
    this.isStarted = true;
    signal.addEventListener("abort", () => this.outcome.resolve({ kind: "unknown", error: "cancelled" }));
    return this.outcome.promise;
  };
}

function run(
  first: ScriptedSend,
  second: ScriptedSend | undefined,
  lateAfterMs: number,
): Promise<SendOutcome> {
  return hedge({
    lateAfterMs,
    signal: new AbortController().signal,
    start: first.start,
    startSecond: () => second?.start,
    isFinal: ({ kind }) => kind === "answer",
  });
}

test("a send that is in time has no second one", async (t) => {
  const [first, second] = [new ScriptedSend(), new ScriptedSend()];
  first.outcome.resolve(createAnswer("first"));
  t.deepEqual(await run(first, second, longMs), createAnswer("first"));
  t.false(second.isStarted);
});

test("the earlier answer counts, whichever send it belongs to", async (t) => {
  const [first, second] = [new ScriptedSend(), new ScriptedSend()];
  second.outcome.resolve(createAnswer("second"));
  t.deepEqual(await run(first, second, 0), createAnswer("second"));
  t.deepEqual(await first.outcome.promise, { kind: "unknown", error: "cancelled" }, "the late send ends");
});

test("a failure of one send waits for the other", async (t) => {
  const [first, second] = [new ScriptedSend(), new ScriptedSend()];
  second.outcome.resolve({ kind: "not-run", error: "status 503" });
  const result = run(first, second, 0);
  await utils.waitUntil(() => second.isStarted, longMs);
  first.outcome.resolve(createAnswer("first"));
  t.deepEqual(await result, createAnswer("first"));
});

test("two failures give the one that may have run, since only the other states that nothing has", async (t) => {
  const [first, second] = [new ScriptedSend(), new ScriptedSend()];
  second.outcome.resolve({ kind: "not-run", error: "status 503" });
  const result = run(first, second, 0);
  await utils.waitUntil(() => second.isStarted, longMs);
  first.outcome.resolve({ kind: "lost", error: "reset" });
  t.is((await result).kind, "lost");
});

test("a late send without a second one goes on", async (t) => {
  const first = new ScriptedSend();
  const result = run(first, undefined, 0);
  await utils.waitUntil(() => first.isStarted, longMs);
  first.outcome.resolve(createAnswer("first"));
  t.deepEqual(await result, createAnswer("first"));
});
