/** Never two runs of a key, whatever the log and the instances do. */
import { results, utils } from "@shedtiller/common";
import { LogFollower } from "@shedtiller/logservice";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import * as fc from "fast-check";
import { AtMostOnce, OutcomeUnknownError } from "../AtMostOnce.js";
import { ClaimBatcher } from "../ClaimBatcher.js";
import { ClaimProjection } from "../ClaimProjection.js";
import { claimsStream } from "../claimRecords.js";
import { FakeLog, type AppendFault } from "./FakeLog.js";

const windowMs = 600_000;

/** Some instances on one log, and what they ran. */
class World {
  readonly runs = new Map<string, number>();
  readonly shutdown = new AbortController();
  private readonly _instances = new Map<string, AtMostOnce<string>>();
  private readonly _gone = new Set<string>();

  constructor(readonly log: FakeLog) {}

  add(name: string): AtMostOnce<string> {
    const fold = new ClaimProjection(windowMs);
    void new LogFollower(this.log, claimsStream, fold).run(this.shutdown.signal);
    const batcher = new ClaimBatcher(
      { log: this.log, holder: name, appendsPerSecond: 2_000, countAppenders: () => 1 },
      this.shutdown.signal,
    );
    const once = new AtMostOnce<string>({
      projection: fold,
      batcher,
      timeline: new Timeline(name),
      holder: name,
      answersKept: 100,
      askHolder: async (holder, key) =>
        this._gone.has(holder) ? undefined : this._instances.get(holder)?.getAnswer(key),
    });
    this._instances.set(name, once);
    return once;
  }

  /** Vanishes an instance for its peers; whatever it still does goes on, as in one that was only paused. */
  lose(name: string): void {
    this._gone.add(name);
  }

  async call(once: AtMostOnce<string>, key: string, isLost = false, deadlineMs = 3_000): Promise<string> {
    const outcome = await once.run(key, {
      requestId: utils.newId(),
      deadlineMs: utils.monotonicMs() + deadlineMs,
      signal: new AbortController().signal,
      run: async () => {
        const runs = (this.runs.get(key) ?? 0) + 1;
        this.runs.set(key, runs);
        await utils.sleep(3);
        return isLost
          ? results.Err(new OutcomeUnknownError("its reply was lost"))
          : results.Ok(`answer ${runs}`);
      },
    });
    return outcome.ok ? outcome.val : outcome.val.ran;
  }
}

test("racing callers on three instances: one run, and the others get its answer", async (t) => {
  const world = new World(new FakeLog());
  const instances = ["e1", "e2", "e3"].map((name) => world.add(name));
  const key = utils.newId();
  const calls = Array.from({ length: 12 }, (_value, index) =>
    world.call(instances[index % 3] as AtMostOnce<string>, key),
  );
  const outcomes = await Promise.all(calls);
  world.shutdown.abort();
  t.is(world.runs.get(key), 1);
  t.deepEqual([...new Set(outcomes)], ["answer 1"]);
});

test("after the holder has gone, or its own reply was lost, a later call gets unknown and does not run", async (t) => {
  const world = new World(new FakeLog());
  const [first, second] = [world.add("e1"), world.add("e2")];
  const [lostKey, goneKey] = [utils.newId(), utils.newId()];
  t.is(await world.call(first, lostKey, true), "unknown");
  t.is(await world.call(second, lostKey), "unknown");
  t.is(await world.call(first, goneKey), "answer 1");
  world.lose("e1");
  t.is(await world.call(second, goneKey), "unknown");
  t.is(await world.call(world.add("e3"), goneKey), "unknown");
  world.shutdown.abort();
  t.is(world.runs.get(lostKey), 1);
  t.is(world.runs.get(goneKey), 1);
});

test("an append whose reply is lost, or that is in the log twice, still gives one claim and one run", async (t) => {
  for (const fault of ["reply-lost", "twice"] as const) {
    const world = new World(new FakeLog([fault]));
    const key = utils.newId();
    t.is(await world.call(world.add("e1"), key), "answer 1");
    t.is(await world.call(world.add("e2"), key), "answer 1");
    world.shutdown.abort();
    t.is(world.runs.get(key), 1);
  }
});

test("with the log down the call is refused as not run; once it is back, the key is free", async (t) => {
  const world = new World(new FakeLog(Array.from({ length: 2 }, () => "refused" as const)));
  const once = world.add("e1");
  const key = utils.newId();
  t.is(await world.call(once, key, false, 100), "no");
  t.is(world.runs.get(key), undefined);
  t.is(await world.call(once, key), "answer 1");
  world.shutdown.abort();
  t.is(world.runs.get(key), 1);
});

test("a claim that won after its caller's deadline is given back, and another instance may run the key", async (t) => {
  const world = new World(new FakeLog(["reply-lost"]));
  const key = utils.newId();
  t.is(await world.call(world.add("e1"), key, false, 0), "no");
  const second = world.add("e2");
  let outcome = "no";
  for (let attempt = 0; attempt < 200 && outcome !== "answer 1"; attempt++) {
    outcome = await world.call(second, key);
    await utils.sleep(20);
  }
  world.shutdown.abort();
  t.is(outcome, "answer 1");
  t.is(world.runs.get(key), 1);
});

test("a key behind the horizon or ahead of the log's time never runs", async (t) => {
  const world = new World(new FakeLog());
  const once = world.add("e1");
  t.is(await world.call(once, utils.newIdAt(utils.wallMs() - windowMs - 1_000)), "unknown");
  t.is(await world.call(once, utils.newIdAt(utils.wallMs() + 120_000)), "unknown");
  world.shutdown.abort();
  t.is(world.runs.size, 0);
});

test("keys behind the horizon are dropped, so that memory stays bounded", (t) => {
  const fold = new ClaimProjection(1_000);
  const startMs = utils.wallMs();
  for (let offset = 0; offset < 5_000; offset++) {
    const atMs = startMs + offset * 10;
    const claims = [{ key: utils.newIdAt(atMs), claimId: utils.newId() }];
    fold.acceptRecord({
      offset,
      atMs,
      id: "r",
      payload: { version: 1, type: "claims", holder: "e1", claims, abandoned: [] },
    });
  }
  t.true(fold.size < 400);
});

const appendFault = fc.option(fc.constantFrom<AppendFault>("refused", "reply-lost", "lost", "twice"), {
  nil: undefined,
});
const step = fc.record({
  instance: fc.integer({ min: 0, max: 2 }),
  key: fc.integer({ min: 0, max: 3 }),
  isLost: fc.boolean(),
  deadlineMs: fc.constantFrom(0, 20, 2_000),
  loses: fc.option(fc.constantFrom("e1", "e2"), { nil: undefined }),
});

test("random schedules of calls, faults of the log and lost instances: no key ever runs twice", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(appendFault, { maxLength: 10 }),
      fc.array(step, { minLength: 1, maxLength: 12 }),
      async (faults, steps) => {
        const world = new World(new FakeLog(faults));
        const instances = ["e1", "e2", "e3"].map((name) => world.add(name));
        const keys = [0, 1, 2, 3].map(() => utils.newId());
        const calls = steps.map(async (s) => {
          if (s.loses !== undefined) world.lose(s.loses);
          return world.call(
            instances[s.instance] as AtMostOnce<string>,
            keys[s.key] as string,
            s.isLost,
            s.deadlineMs,
          );
        });
        await Promise.all(calls);
        world.shutdown.abort();
        for (const runs of world.runs.values()) t.is(runs, 1);
      },
    ),
    { seed: 20_261_202, numRuns: 30 },
  );
});
