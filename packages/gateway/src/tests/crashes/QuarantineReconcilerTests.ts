import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import type { QuarantineMessage } from "@shedtiller/crashes";
import { HeldRequestStore, type StoredHold } from "../../crashes/HeldRequestStore.js";
import { QuarantineReconciler } from "../../crashes/QuarantineReconciler.js";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { SilentSink } from "../SilentSink.js";

class MemoryStore extends HeldRequestStore {
  readonly holds = new Map<string, StoredHold>();
  isAway = false;
  calls = 0;

  override read(): Promise<results.Result<StoredHold[], StoreError>> {
    return this._answer([...this.holds.values()]);
  }
  override keep(hold: StoredHold): Promise<results.Result<void, StoreError>> {
    if (!this.isAway) this.holds.set(hold.digest, hold);
    return this._answer(undefined);
  }
  override drop(digest: string): Promise<results.Result<void, StoreError>> {
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
  const taken: QuarantineMessage[] = [];
  const released: string[] = [];
  const reader = { isReader: true };
  const keeper = new QuarantineReconciler({
    store,
    log: new DecisionLog(new SilentSink(), () => 0),
    isReader: () => reader.isReader,
    merge: (holds) => taken.push(...holds),
    getQuarantinedFor: () => held,
    release: (digest) => released.push(digest),
  });
  return { keeper, taken, released, reader };
}

const hold: QuarantineMessage = { digest: "a", ageMs: 0, leftMs: 20_000, times: 1 };

test("a hold outlasts all instances, and is read once, by one of a zone", async (t) => {
  const store = new MemoryStore();
  create(store).keeper.persist("a", hold);
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
  keeper.persist("a", hold);
  await utils.yieldToEvents();
  t.is(store.holds.size, 0);
  store.isAway = false;
  await keeper.tick();
  t.deepEqual([...store.holds.keys()], ["a"]);
  keeper.persist("a", undefined);
  t.is(store.holds.size, 0);
});

test("what an operator has dropped from the store is let go, and nothing else", async (t) => {
  const store = new MemoryStore();
  const { keeper, released } = create(store, ["a", "b"]);
  keeper.persist("a", hold);
  keeper.persist("b", { ...hold, digest: "b" });
  await utils.yieldToEvents();
  store.holds.delete("a");
  await keeper.reconcile();
  t.deepEqual(released, ["a"]);
});
