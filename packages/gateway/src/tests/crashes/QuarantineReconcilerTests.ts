import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import type { QuarantineMessage } from "@shedtiller/crashes";
import { QuarantineStore, type StoredQuarantine } from "../../crashes/QuarantineStore.js";
import { QuarantineReconciler } from "../../crashes/QuarantineReconciler.js";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

class MemoryStore extends QuarantineStore {
  readonly quarantines = new Map<string, StoredQuarantine>();
  isUnavailable = false;
  calls = 0;

  override read(): Promise<results.Result<StoredQuarantine[], StoreError>> {
    return this._answer([...this.quarantines.values()]);
  }
  override add(quarantine: StoredQuarantine): Promise<results.Result<void, StoreError>> {
    if (!this.isUnavailable) this.quarantines.set(quarantine.digest, quarantine);
    return this._answer(undefined);
  }
  override remove(digest: string): Promise<results.Result<void, StoreError>> {
    if (!this.isUnavailable) this.quarantines.delete(digest);
    return this._answer(undefined);
  }
  private _answer<T>(value: T): Promise<results.Result<T, StoreError>> {
    this.calls += 1;
    const lost = results.Err(new errors.ConnectionLostError("store"));
    return Promise.resolve(this.isUnavailable ? lost : results.Ok(value));
  }
}

function create(store: MemoryStore, quarantined: readonly string[] = []) {
  const merged: QuarantineMessage[] = [];
  const released: string[] = [];
  const reader = { isReader: true };
  const reconciler = new QuarantineReconciler({
    store,
    log: new DecisionLog(new SilentLogOutput(), () => 0),
    isReader: () => reader.isReader,
    merge: (quarantines) => merged.push(...quarantines),
    getQuarantinedFor: () => quarantined,
    release: (digest) => released.push(digest),
  });
  return { reconciler, merged, released, reader };
}

const quarantine: QuarantineMessage = { digest: "a", ageMs: 0, leftMs: 20_000, times: 1 };

test("a quarantine outlasts a restart of all instances, and is read once by a single instance of a zone", async (t) => {
  const store = new MemoryStore();
  create(store).reconciler.persist("a", quarantine);
  const { reconciler, merged } = create(store);
  await reconciler.tick();
  await reconciler.tick();
  t.deepEqual(
    merged.map(({ digest, times }) => [digest, times]),
    [["a", 1]],
  );
  t.is(store.calls, 2);
  const other = create(store);
  other.reader.isReader = false;
  await other.reconciler.tick();
  t.is(store.calls, 2);
});

test("a quarantine that the store rejects is written once the store is available, and a cleared one is removed", async (t) => {
  const store = new MemoryStore();
  const { reconciler } = create(store);
  await reconciler.tick();
  store.isUnavailable = true;
  reconciler.persist("a", quarantine);
  await utils.yieldToEvents();
  t.is(store.quarantines.size, 0);
  store.isUnavailable = false;
  await reconciler.tick();
  t.deepEqual([...store.quarantines.keys()], ["a"]);
  reconciler.persist("a", undefined);
  t.is(store.quarantines.size, 0);
});

test("only requests whose quarantine an operator has removed from the store are released", async (t) => {
  const store = new MemoryStore();
  const { reconciler, released } = create(store, ["a", "b"]);
  reconciler.persist("a", quarantine);
  reconciler.persist("b", { ...quarantine, digest: "b" });
  await utils.yieldToEvents();
  store.quarantines.delete("a");
  await reconciler.reconcile();
  t.deepEqual(released, ["a"]);
});
