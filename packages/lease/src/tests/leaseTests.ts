import { results, utils } from "@shedtiller/common";
import {
  LogFollower,
  LogService,
  type AppendReceipt,
  type LogError,
  type LogPage,
  type LogRecord,
} from "@shedtiller/logservice";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import { LeaseProjection, leasesStream } from "../LeaseProjection.js";
import { LeaseHolder } from "../LeaseHolder.js";

/** A log in memory whose clock the test sets. */
class ClockedLog extends LogService {
  readonly records: LogRecord[] = [];
  nowMs = utils.wallMs();

  override async append(
    _stream: string,
    id: string,
    payload: unknown,
  ): Promise<results.Result<AppendReceipt, LogError>> {
    const record = { offset: this.records.length, atMs: this.nowMs, id, payload };
    this.records.push(record);
    return results.Ok(record);
  }

  override async read(
    _stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<results.Result<LogPage, LogError>> {
    await utils.waitUntil(
      () => this.records.length > from || signal?.aborted === true,
      Math.min(waitMs, 20),
      1,
    );
    return results.Ok({
      records: this.records.slice(from),
      oldestOffset: 0,
      nextOffset: this.records.length,
    });
  }
}

function createHolder(log: LogService, name: string, durationMs: number, stop: AbortController) {
  const fold = new LeaseProjection();
  const follower = new LogFollower(log, leasesStream, fold);
  void follower.run(stop.signal);
  const holder = new LeaseHolder({
    lease: "orders/x",
    holder: name,
    durationMs,
    log,
    projection: fold,
    follower,
    timeline: new Timeline(name),
  });
  return { fold, holder, follower };
}

test("of two that take a lease at once, both zones' views give it to the first in the log", async (t) => {
  const [log, stop] = [new ClockedLog(), new AbortController()];
  const [a, b] = [createHolder(log, "a", 60_000, stop), createHolder(log, "b", 60_000, stop)];
  const kept = await Promise.all([a.holder.acquireOrRenew(), b.holder.acquireOrRenew()]);
  stop.abort();
  t.deepEqual(kept, [true, false]);
  t.is(a.holder.getToken(), 0);
  t.is(b.holder.getToken(), undefined);
});

test("a holder stops acting well before the log lets another in, whose token is higher", async (t) => {
  const [log, stop] = [new ClockedLog(), new AbortController()];
  const durationMs = 400;
  const [a, b] = [createHolder(log, "a", durationMs, stop), createHolder(log, "b", durationMs, stop)];
  t.true(await a.holder.acquireOrRenew());
  const first = a.holder.getToken();
  // The holder stands still past its lapse, and wakes still having the token in its memory.
  await utils.waitUntil(() => a.holder.getToken() === undefined, 10_000, 1);
  t.is(a.holder.getToken(), undefined);
  log.nowMs += durationMs + 1;
  while (!(await b.holder.acquireOrRenew())) await utils.sleep(10);
  stop.abort();
  t.true((b.holder.getToken() ?? 0) > (first ?? 0));
});

test("a lease that was given back is free at once", async (t) => {
  const [log, stop] = [new ClockedLog(), new AbortController()];
  const [a, b] = [createHolder(log, "a", 60_000, stop), createHolder(log, "b", 60_000, stop)];
  t.true(await a.holder.acquireOrRenew());
  await a.holder.release();
  await b.follower.waitFor(1);
  t.true(await b.holder.acquireOrRenew());
  stop.abort();
});
