/** One instance of a zone reads the store; the others know what it knows, and read by themselves once it can't. */
import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import {
  ChangeFeed,
  type Change,
  type FeedPage,
  type FeedSnapshot,
  type StoreError,
} from "../../discovery/ChangeFeed.js";
import { FeedFollower } from "../../discovery/FeedFollower.js";
import { listedEndpointSchema, type ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { WholeChangeCodec } from "../../peers/ChangeCodec.js";
import { StoreRelay } from "../../peers/StoreRelay.js";
import { createListed } from "../testData.js";
import { SilentSink } from "../SilentSink.js";
import { PeerNetwork } from "./PeerNetwork.js";

const topic = "endpoints-read";
const tickMs = 200;
const names = ["a", "b", "c"];
/** Within this an endpoint that leaves has to be known. */
const boundMs = 2_000;

/** A store in memory. Held reads are answered when the test says so. */
class Store {
  readonly changes: Change<ListedEndpoint>[] = [];
  readonly cutOff = new Set<string>();
  /** Reads of changes, by reader. */
  readonly reads = new Map<string, number>();

  createFeed(reader: string): ChangeFeed<ListedEndpoint> {
    return new StoreFeed(this, reader);
  }
}

class StoreFeed extends ChangeFeed<ListedEndpoint> {
  constructor(
    private readonly _store: Store,
    private readonly _reader: string,
  ) {
    super();
  }

  override getSnapshot(): Promise<results.Result<FeedSnapshot<ListedEndpoint>, StoreError>> {
    const values = new Map<string, ListedEndpoint>();
    for (const { key, value } of this._store.changes) if (value !== undefined) values.set(key, value);
    return Promise.resolve(results.Ok({ values, nextOffset: this._store.changes.length }));
  }

  override async getChanges(offset: number): Promise<results.Result<FeedPage<ListedEndpoint>, StoreError>> {
    const { reads, cutOff, changes } = this._store;
    reads.set(this._reader, (reads.get(this._reader) ?? 0) + 1);
    await utils.yieldToEvents();
    if (cutOff.has(this._reader)) return results.Err(new errors.NotReachedError("store"));
    return results.Ok({ changes: changes.slice(offset), nextOffset: changes.length, isCompacted: false });
  }
}

interface Instance {
  readonly known: Set<string>;
  readonly follower: FeedFollower<ListedEndpoint>;
  readonly relay: StoreRelay;
  regained: number;
}

class Zone {
  readonly store = new Store();
  readonly network = new PeerNetwork();
  readonly instances = new Map<string, Instance>();
  private readonly _stop = new AbortController();
  private _nowMs = 0;

  constructor() {
    for (const name of names) this._add(name);
  }

  /** Lets time pass; `isSkipped` names instances that stand still. After each tick all reads that are under way have been answered. */
  async run(ticks: number, isSkipped: (name: string) => boolean = () => false): Promise<void> {
    for (let tick = 0; tick < ticks; tick++) {
      this._nowMs += tickMs;
      for (const [name, { relay }] of this.instances) if (!isSkipped(name)) relay.check();
      // Each turn of the loop answers reads and lets their followers go on.
      for (let turn = 0; turn < 20; turn++) await utils.yieldToEvents();
    }
  }

  get(name: string): Instance {
    const instance = this.instances.get(name);
    if (instance === undefined) throw new RangeError(`There is no instance ${name}.`);
    return instance;
  }

  getReaders(): string[] {
    return names.filter((name) => this.get(name).relay.isReader);
  }

  stop(): void {
    this._stop.abort();
  }

  private _add(name: string): void {
    const nowMs = (): number => this._nowMs;
    const known = new Set<string>();
    const take = (changes: readonly Change<ListedEndpoint>[]): void => {
      for (const { key, value } of changes)
        if (value === undefined) known.delete(key);
        else known.add(key);
    };
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, ListedEndpoint>) => {
        known.clear();
        for (const key of values.keys()) known.add(key);
      },
      onChanges: take,
      onLost: () => undefined,
      onRegained: () => void (this.get(name).regained += 1),
    };
    const feed = this.store.createFeed(name);
    // A pause is a turn of the loop: timers would tie the verdict to how fast this machine runs the turns of `run`.
    const options = { waitMs: 0, retryMs: 0, gatherMs: 0, nowMs, pause: utils.yieldToEvents };
    const follower = new FeedFollower(feed, listener, options);
    const membership = this.network.join({ name, availabilityZone: "east" });
    const relay = new StoreRelay({ membership, log: new DecisionLog(new SilentSink(), nowMs), nowMs });
    relay.add(topic, follower, new WholeChangeCodec(listedEndpointSchema));
    this.instances.set(name, { known, follower, relay, regained: 0 });
    void follower.run(this._stop.signal);
  }
}

test("one instance reads, and the others know each change and each proof without a call", async (t) => {
  const zone = new Zone();
  await zone.run(4);
  t.is(zone.getReaders().length, 1);
  zone.store.reads.clear();
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(2);
  for (const name of names) {
    t.true(zone.get(name).known.has("x"), name);
    t.true(zone.get(name).follower.getFreshnessAgeMs() <= tickMs, name);
  }
  t.deepEqual([...zone.store.reads.keys()], zone.getReaders());
  zone.stop();
});

test("a drop that is told is known, and one that does not join on is read from the store", async (t) => {
  const zone = new Zone();
  await zone.run(4);
  const [reader = ""] = zone.getReaders();
  const [member = ""] = names.filter((name) => name !== reader);
  zone.network.silence(member);
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(1);
  t.false(zone.get(member).known.has("x"));
  zone.network.restore(member);
  zone.store.changes.push({ key: "y", value: createListed("y") });
  await zone.run(2);
  t.deepEqual([...zone.get(member).known].sort(), ["x", "y"]);
  zone.stop();
});

test("when the store turns a reader away, all others know of a leaving endpoint within two seconds", async (t) => {
  const zone = new Zone();
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(4);
  const [reader = ""] = zone.getReaders();
  zone.store.cutOff.add(reader);
  zone.store.changes.push({ key: "x", value: undefined });
  await zone.run(boundMs / tickMs - 1);
  for (const name of names.filter((other) => other !== reader)) t.false(zone.get(name).known.has("x"), name);
  zone.stop();
});

test("a reader that the store turns away is followed by another, and proofs stay young everywhere else", async (t) => {
  const zone = new Zone();
  await zone.run(4);
  const [reader = ""] = zone.getReaders();
  zone.store.cutOff.add(reader);
  let oldestMs = 0;
  for (let tick = 0; tick < 24; tick++) {
    await zone.run(1);
    for (const name of names.filter((other) => other !== reader))
      oldestMs = Math.max(oldestMs, zone.get(name).follower.getFreshnessAgeMs());
  }
  t.true(oldestMs < boundMs, `${oldestMs} ms`);
  t.notDeepEqual(zone.getReaders(), [reader]);
  for (const name of names) t.true(zone.get(name).follower.getFreshnessAgeMs() <= 2 * tickMs, name);
  zone.stop();
});

test("after the store was away for all, each instance learns that it is back before what it says", async (t) => {
  const zone = new Zone();
  await zone.run(4);
  for (const name of names) zone.store.cutOff.add(name);
  await zone.run(24);
  zone.store.cutOff.clear();
  await zone.run(12);
  for (const name of names) t.true(zone.get(name).regained >= 1, name);
  zone.stop();
});

test("an instance that stands in for its reader tells the others, which may not reach the store either", async (t) => {
  const zone = new Zone();
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(4);
  const [reader = ""] = zone.getReaders();
  const [standIn = "", ...others] = names.filter((name) => name !== reader);
  for (const name of [reader, ...others]) zone.store.cutOff.add(name);
  zone.store.changes.push({ key: "x", value: undefined });
  await zone.run(boundMs / tickMs - 1);
  for (const name of [standIn, ...others]) t.false(zone.get(name).known.has("x"), name);
  zone.stop();
});

test("what waited for an instance that stood still proves nothing newer than before its pause", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  await zone.run(8);
  const sleeper = names.find((name) => !zone.get(name).relay.isReader) ?? "";
  const isAsleep = (name: string): boolean => name === sleeper;
  zone.network.silence(sleeper);
  await zone.run(30, isAsleep);
  zone.network.restore(sleeper);
  await zone.run(1, isAsleep);
  t.true(zone.get(sleeper).follower.getFreshnessAgeMs() >= 29 * tickMs, "read before its own first tick");
  await zone.run(4);
  t.true(zone.get(sleeper).follower.getFreshnessAgeMs() <= 2 * tickMs);
});
