/** Questions to endpoints by a process that is held up itself. */
import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import { EndpointQuestions } from "../../discovery/EndpointQuestions.js";
import { HeldUpError } from "../../discovery/HeldUpError.js";
import { SimulatedClock } from "../patterns/SimulatedClock.js";

const timeoutMs = 400;
/** Long enough for each question to end. */
const endMs = 20_000;

/** Result of a question, with the simulated time that it took. */
interface Asked {
  readonly result: "answered" | "unanswered" | "refused" | "held up";
  readonly tookMs: number;
}

/** A process whose timers are late. */
interface LateProcess {
  /** Returns by how much a timer is late that is due at a time. */
  readonly getLatenessMs: (dueAtMs: number) => number;
  /** When the answer arrives; never if omitted. It is read with the next timer. */
  readonly answeredAtMs?: number;
}

function describe(result: results.Result<string, Error>): Asked["result"] {
  if (result.ok) return "answered";
  if (result.val instanceof HeldUpError) return "held up";
  return result.val instanceof errors.DeadlineError ? "unanswered" : "refused";
}

/** Asks one question in simulated time. */
async function ask({ getLatenessMs, answeredAtMs = Infinity }: LateProcess): Promise<Asked> {
  const clock = new SimulatedClock();
  const sleep = (durationMs: number, signal?: AbortSignal): Promise<void> =>
    clock.sleep(durationMs + getLatenessMs(clock.nowMs() + durationMs), signal);
  const send = async (limitMs: number): Promise<results.Result<string, Error>> => {
    const dueAtMs = Math.min(answeredAtMs, limitMs);
    await sleep(dueAtMs);
    // The timer of the call fires before what has arrived is read.
    return answeredAtMs < limitMs
      ? results.Ok("report")
      : results.Err(new errors.DeadlineError("report", limitMs));
  };
  const questions = new EndpointQuestions({
    nowMs: clock.nowMs,
    sleep,
    readPending: () => clock.sleep(0),
  });
  const done = questions
    .ask(timeoutMs, send)
    .then((result): Asked => ({ result: describe(result), tookMs: clock.nowMs() }));
  await clock.run(endMs);
  return done;
}

/** Timers that are late since the process is held up until a time. */
function heldUpUntil(fromMs: number, toMs: number) {
  return (dueAtMs: number): number => (dueAtMs > fromMs && dueAtMs < toMs ? toMs - dueAtMs : 0);
}

test("an endpoint that does not answer is noticed at the timeout if the process is not held up", async (t) => {
  t.deepEqual(await ask({ getLatenessMs: () => 0 }), { result: "unanswered", tookMs: timeoutMs });
});

// Guards against instances on small cores, whose timers are always late, that notice dark engines late or never.
test("a process that is late by 20 ms each tick notices a dark endpoint as much later as it was held up", async (t) => {
  const { result, tookMs } = await ask({ getLatenessMs: () => 20 });
  t.is(result, "unanswered");
  t.is(tookMs, timeoutMs + 4 * 20);
});

// Guards against suspicions of sound endpoints whose answers arrived while the process could not read them.
test("an answer that arrives while the process is held up beyond the timeout is read", async (t) => {
  for (const answeredAtMs of [50, 350, 450]) {
    const { result } = await ask({ getLatenessMs: heldUpUntil(10, 600), answeredAtMs });
    t.is(result, "answered", `${answeredAtMs} ms`);
  }
});

test("a question during a longer hold-up shows nothing about the endpoint", async (t) => {
  const { result, tookMs } = await ask({ getLatenessMs: heldUpUntil(10, 6_000) });
  t.is(result, "held up");
  t.is(tookMs, 6_000);
});

test("a hold-up delays the evidence against a dark endpoint by no more than it took", async (t) => {
  for (const heldUpMs of [50, 120, 250, 390]) {
    for (const fromMs of [0, 150, 390]) {
      const { result, tookMs } = await ask({ getLatenessMs: heldUpUntil(fromMs, fromMs + heldUpMs) });
      t.is(result, "unanswered");
      t.true(tookMs >= timeoutMs && tookMs <= timeoutMs + heldUpMs, `${tookMs} after ${heldUpMs}`);
    }
  }
});

test("a refusal counts at once, also if the process was held up", async (t) => {
  const clock = { nowMs: 0 };
  const questions = new EndpointQuestions({ nowMs: () => clock.nowMs });
  const refused = new errors.NotReachedError("a:1", new Error("refused"));
  const result = await questions.ask(timeoutMs, () => {
    clock.nowMs += 6_000;
    return Promise.resolve(results.Err(refused));
  });
  t.is(result.val, refused);
});

// Guards against the order of the event loop, in which timers fire before what has arrived is read.
test("an answer that has arrived by the last tick is read before the timeout counts", async (t) => {
  const answer = new utils.Deferred<results.Result<string, Error>>();
  let sleeps = 0;
  const sleep = (): Promise<void> => {
    sleeps += 1;
    if (sleeps === 4) setImmediate(() => answer.resolve(results.Ok("report")));
    return Promise.resolve();
  };
  const questions = new EndpointQuestions({ nowMs: () => 0, sleep });
  t.is((await questions.ask(timeoutMs, () => answer.promise)).val, "report");
});
