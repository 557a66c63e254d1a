/** The result of a confirmation when the log rejects the append after a long delay. */
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

/** Delay of the log's rejections. Longer than the default timeout of an append. */
const rejectionDelayMs = 3_000;
const timeoutMs = 5_000;

/** A log that rejects appends after `rejectionDelayMs`; for a caller with a shorter timeout, the append times out. */
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
    const timeout = new errors.DeadlineError("An append", waitedMs);
    const error = waitedMs < rejectionDelayMs ? timeout : new LogRefusedError(503);
    this.nowMs += Math.min(waitedMs, rejectionDelayMs);
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

// Guards against an unknown outcome under load, when the log rejects an append only after more than two seconds.
test("a late rejection by the log is reported as not confirmed", async (t) => {
  const log = new SlowLog();
  const confirmed = await new Confirmer(log, new ConfigurationProjection(), () => log.nowMs).confirm(
    plan,
    timeoutMs,
  );
  t.true(confirmed.err && confirmed.val.code === "not_confirmed", JSON.stringify(confirmed.val));
  t.is(log.appends, 1, "no second append, since no time remains for its reply");
});
