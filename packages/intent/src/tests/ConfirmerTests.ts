/** What an operator is told of a confirmation, by what the log answers. */
import test from "ava";
import { errors, results } from "@shedtiller/common";
import {
  LogRefusedError,
  LogService,
  type AppendReceipt,
  type LogError,
  type LogPage,
} from "@shedtiller/logservice";
import { ConfigurationProjection } from "../ConfigurationProjection.js";
import { Confirmer } from "../Confirmer.js";
import type { Plan } from "../intents.js";

/** Longer than the log is usually waited for. */
const answerMs = 3_000;
const timeoutMs = 5_000;

/** A log that refuses, and takes its time to say so; whoever waits less hears nothing. */
class SlowLog extends LogService {
  appends = 0;
  nowMs = 0;
  override append(
    _stream: string,
    _id: string,
    _payload: unknown,
    waitedMs = 2_000,
  ): Promise<results.Result<AppendReceipt, LogError>> {
    this.appends += 1;
    const late = new errors.DeadlineError("An append", waitedMs);
    const error = waitedMs < answerMs ? late : new LogRefusedError(503);
    this.nowMs += Math.min(waitedMs, answerMs);
    return Promise.resolve(results.Err(error));
  }
  override read(): Promise<results.Result<LogPage, LogError>> {
    return Promise.resolve(results.Err(new LogRefusedError(503)));
  }
}

const plan: Plan = {
  planId: "p1",
  operator: "anna",
  baseOffset: 0,
  changes: [],
  summary: [],
} as unknown as Plan;

// Seen beside load: the log refused after two seconds and more, and the operator was told that the outcome is unknown.
test("a refusal of the log that comes late is told as one: nothing was confirmed", async (t) => {
  const log = new SlowLog();
  const confirmed = await new Confirmer(log, new ConfigurationProjection(), () => log.nowMs).confirm(
    plan,
    timeoutMs,
  );
  t.true(confirmed.err && confirmed.val.code === "not_confirmed", JSON.stringify(confirmed.val));
  t.is(log.appends, 1, "no time is left for another reply");
});
