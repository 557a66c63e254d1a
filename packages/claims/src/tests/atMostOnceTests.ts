/** Tests that the work of a key never runs twice, whatever faults occur in the log and the instances. */
import { results, utils } from "@shedtiller/common";
import { LogFollower } from "@shedtiller/logservice";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import * as fc from "fast-check";
import { AtMostOnceExecutor } from "../AtMostOnceExecutor.js";
import { ClaimBatcher } from "../ClaimBatcher.js";
import { ClaimProjection } from "../ClaimProjection.js";
import { claimsStream } from "../claimRecords.js";
import { OutcomeUnknownError } from "../OutcomeUnknownError.js";
import { FakeLog, type AppendFault } from "./FakeLog.js";

const windowMs = 600_000;

/** Simulates instances that share one log, and records how often each key ran. */
class Cluster {
  readonly runs = new Map<string, number>();
  readonly shutdown = new AbortController();
  private readonly _instances = new Map<string, AtMostOnceExecutor<string>>();
  private readonly _unreachable = new Set<string>();

  /** @param _answerMs - Time that a holder needs to answer a peer; a request with a shorter timeout gets nothing. */
  constructor(
    readonly log: FakeLog,
    private readonly _answerMs = 0,
  ) {}

  add(name: string): AtMostOnceExecutor<string> {
    const projection = new ClaimProjection(windowMs);
    void new LogFollower(this.log, claimsStream, projection).run(this.shutdown.signal);
    const batcher = new ClaimBatcher(
      { log: this.log, holder: name, appendsPerSecond: 2_000, countAppenders: () => 1 },
      this.shutdown.signal,
    );
    const executor = new AtMostOnceExecutor<string>({
      projection,
      batcher,
      timeline: new Timeline(name),
      holder: name,
      answersKept: 100,
      requestFromHolder: async (holder, key, timeoutMs) => {
        if (this._unreachable.has(holder) || timeoutMs < this._answerMs) return undefined;
        return this._instances.get(holder)?.getAnswer(key);
      },
    });
    this._instances.set(name, executor);
    return executor;
  }

  /** Makes an instance unreachable for its peers. Its own work continues, as in an instance that was only suspended. */
  disconnect(name: string): void {
    this._unreachable.add(name);
  }

  async call(
    executor: AtMostOnceExecutor<string>,
    key: string,
    isLost = false,
    deadlineMs = 3_000,
  ): Promise<string> {
    const outcome = await executor.run(key, {
      requestId: utils.newId(),
      deadlineMs: utils.monotonicMs() + deadlineMs,
      signal: new AbortController().signal,
      run: async () => {
        const runs = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, runs);
        await utils.sleep(3);
        return isLost
          ? results.Err(new OutcomeUnknownError("the reply was lost"))
          : results.Ok(`answer ${runs}`);
      },
    });
    return outcome.ok ? outcome.val : outcome.val.ran;
  }
}

test("of concurrent calls on three instances one runs, and the others get its response", async (t) => {
  const cluster = new Cluster(new FakeLog());
  const instances = ["e1", "e2", "e3"].map((name) => cluster.add(name));
  const key = utils.newId();
  const calls = Array.from({ length: 12 }, (_value, index) =>
    cluster.call(instances[index % 3] as AtMostOnceExecutor<string>, key),
  );
  const outcomes = await Promise.all(calls);
  cluster.shutdown.abort();
  t.is(cluster.runs.get(key), 1);
  t.deepEqual([...new Set(outcomes)], ["answer 1"]);
});

test("after the holder is lost, or its own reply was lost, the outcome of a later call is unknown and nothing runs", async (t) => {
  const cluster = new Cluster(new FakeLog());
  const [first, second] = [cluster.add("e1"), cluster.add("e2")];
  const [lostKey, goneKey] = [utils.newId(), utils.newId()];
  t.is(await cluster.call(first, lostKey, true), "unknown");
  t.is(await cluster.call(second, lostKey), "unknown");
  t.is(await cluster.call(first, goneKey), "answer 1");
  cluster.disconnect("e1");
  t.is(await cluster.call(second, goneKey), "unknown");
  t.is(await cluster.call(cluster.add("e3"), goneKey), "unknown");
  cluster.shutdown.abort();
  t.is(cluster.runs.get(lostKey), 1);
  t.is(cluster.runs.get(goneKey), 1);
});

// Guards against an unknown outcome for a caller that still waits while the holder runs the key's request.
test("a holder that answers within the caller's deadline is waited for, and one that needs longer is not", async (t) => {
  const cluster = new Cluster(new FakeLog(), 10_000);
  t.teardown(() => cluster.shutdown.abort());
  const [first, second] = [cluster.add("e1"), cluster.add("e2")];
  const key = utils.newId();
  t.is(await cluster.call(first, key), "answer 1");
  t.is(await cluster.call(second, key, false, 5_000), "unknown");
  t.is(await cluster.call(second, key, false, 30_000), "answer 1");
  t.is(cluster.runs.get(key), 1);
});

test("an append whose reply is lost, or that is in the log twice, results in one claim and one run", async (t) => {
  for (const fault of ["reply-lost", "twice"] as const) {
    const cluster = new Cluster(new FakeLog([fault]));
    const key = utils.newId();
    t.is(await cluster.call(cluster.add("e1"), key), "answer 1");
    t.is(await cluster.call(cluster.add("e2"), key), "answer 1");
    cluster.shutdown.abort();
    t.is(cluster.runs.get(key), 1);
  }
});

test("while the log is down a call is rejected as not run, and once it has recovered the key is free", async (t) => {
  const cluster = new Cluster(new FakeLog(Array.from({ length: 2 }, () => "refused" as const)));
  const executor = cluster.add("e1");
  const key = utils.newId();
  t.is(await cluster.call(executor, key, false, 100), "no");
  t.is(cluster.runs.get(key), undefined);
  t.is(await cluster.call(executor, key), "answer 1");
  cluster.shutdown.abort();
  t.is(cluster.runs.get(key), 1);
});

test("a claim that is won after its caller's deadline is abandoned, and another instance may run the key", async (t) => {
  const cluster = new Cluster(new FakeLog(["reply-lost"]));
  const key = utils.newId();
  t.is(await cluster.call(cluster.add("e1"), key, false, 0), "no");
  const second = cluster.add("e2");
  let outcome = "no";
  for (let attempt = 0; attempt < 200 && outcome !== "answer 1"; attempt++) {
    outcome = await cluster.call(second, key);
    await utils.sleep(20);
  }
  cluster.shutdown.abort();
  t.is(outcome, "answer 1");
  t.is(cluster.runs.get(key), 1);
});

test("a key that is older than the horizon or ahead of the log's time never runs", async (t) => {
  const cluster = new Cluster(new FakeLog());
  const executor = cluster.add("e1");
  t.is(await cluster.call(executor, utils.newIdAt(utils.wallMs() - windowMs - 1_000)), "unknown");
  t.is(await cluster.call(executor, utils.newIdAt(utils.wallMs() + 120_000)), "unknown");
  cluster.shutdown.abort();
  t.is(cluster.runs.size, 0);
});

test("keys that are older than the horizon are dropped, so that memory stays bounded", (t) => {
  const projection = new ClaimProjection(1_000);
  const startMs = utils.wallMs();
  for (let offset = 0; offset < 5_000; offset++) {
    const atMs = startMs + offset * 10;
    const claims = [{ key: utils.newIdAt(atMs), claimId: utils.newId() }];
    projection.acceptRecord({
      offset,
      atMs,
      id: "r",
      payload: { version: 1, type: "claims", holder: "e1", claims, abandoned: [] },
    });
  }
  t.true(projection.size < 400);
});

const appendFault = fc.option(fc.constantFrom<AppendFault>("refused", "reply-lost", "lost", "twice"), {
  nil: undefined,
});
const step = fc.record({
  instance: fc.integer({ min: 0, max: 2 }),
  key: fc.integer({ min: 0, max: 3 }),
  isLost: fc.boolean(),
  deadlineMs: fc.constantFrom(0, 20, 2_000),
  disconnected: fc.option(fc.constantFrom("e1", "e2"), { nil: undefined }),
});

test("no key runs twice under random schedules of calls, faults of the log and lost instances", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(appendFault, { maxLength: 10 }),
      fc.array(step, { minLength: 1, maxLength: 12 }),
      async (faults, steps) => {
        const cluster = new Cluster(new FakeLog(faults));
        const instances = ["e1", "e2", "e3"].map((name) => cluster.add(name));
        const keys = [0, 1, 2, 3].map(() => utils.newId());
        const calls = steps.map(async (s) => {
          if (s.disconnected !== undefined) cluster.disconnect(s.disconnected);
          return cluster.call(
            instances[s.instance] as AtMostOnceExecutor<string>,
            keys[s.key] as string,
            s.isLost,
            s.deadlineMs,
          );
        });
        await Promise.all(calls);
        cluster.shutdown.abort();
        for (const runs of cluster.runs.values()) t.is(runs, 1);
      },
    ),
    { seed: 20_261_202, numRuns: 30 },
  );
});
