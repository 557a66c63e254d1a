import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import type { ToldHold } from "@shedtiller/crashes";
import { QuarantineStore, type StoredQuarantine } from "../../crashes/QuarantineStore.js";
import { HoldKeeper } from "../../crashes/HoldKeeper.js";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { SilentSink } from "../SilentSink.js";

class MemoryStore extends QuarantineStore {
  readonly holds = new Map<string, StoredQuarantine>();
  isAway = false;
  calls = 0;

  override read(): Promise<results.Result<StoredQuarantine[], StoreError>> {
    return this._answer([...this.holds.values()]);
  }
  override add(hold: StoredQuarantine): Promise<results.Result<void, StoreError>> {
    if (!this.isAway) this.holds.set(hold.digest, hold);
    return this._answer(undefined);
  }
  override remove(digest: string): Promise<results.Result<void, StoreError>> {
    if (!this.isAway) this.holds.delete(digest);
    return this._answer(undefined);
  }
  private _answer<T>(value: T): Promise<results.Result<T, StoreError>> {
    this.calls += 1;
    const lost = results.Err(new errors.ConnectionLostError("store"));
    return Promise.resolve(this.isAway ? lost : results.Ok(value));
  }
}

function create(store: MemoryStore, held: readonly string[] = []) {
  const taken: ToldHold[] = [];
  const released: string[] = [];
  const reader = { isReader: true };
  const keeper = new HoldKeeper({
    store,
    log: new DecisionLog(new SilentSink(), () => 0),
    isReader: () => reader.isReader,
    take: (holds) => taken.push(...holds),
    getHeldFor: () => held,
    release: (digest) => released.push(digest),
  });
  return { keeper, taken, released, reader };
}

const hold: ToldHold = { digest: "a", ageMs: 0, leftMs: 20_000, times: 1 };

test("a hold outlasts all instances, and is read once, by one of a zone", async (t) => {
  const store = new MemoryStore();
  create(store).keeper.keep("a", hold);
  const { keeper, taken } = create(store);
  await keeper.tick();
  await keeper.tick();
  t.deepEqual(
    taken.map(({ digest, times }) => [digest, times]),
    [["a", 1]],
  );
  t.is(store.calls, 2);
  const other = create(store);
  other.reader.isReader = false;
  await other.keeper.tick();
  t.is(store.calls, 2);
});

test("a hold that the store does not take is written once it is back, and one that was cleared is dropped", async (t) => {
  const store = new MemoryStore();
  const { keeper } = create(store);
  await keeper.tick();
  store.isAway = true;
  keeper.keep("a", hold);
  await utils.yieldToEvents();
  t.is(store.holds.size, 0);
  store.isAway = false;
  await keeper.tick();
  t.deepEqual([...store.holds.keys()], ["a"]);
  keeper.keep("a", undefined);
  t.is(store.holds.size, 0);
});

test("what an operator has dropped from the store is let go, and nothing else", async (t) => {
  const store = new MemoryStore();
  const { keeper, released } = create(store, ["a", "b"]);
  keeper.keep("a", hold);
  keeper.keep("b", { ...hold, digest: "b" });
  await utils.yieldToEvents();
  store.holds.delete("a");
  await keeper.compare();
  t.deepEqual(released, ["a"]);
});
