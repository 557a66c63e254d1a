/** Tests that one instance of a zone reads the store for the others, which read by themselves once it does not reach the store. */
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
import { PeerClocks } from "../../peers/PeerClocks.js";
import { WholeChangeCodec } from "../../peers/WholeChangeCodec.js";
import { StoreRelay } from "../../peers/StoreRelay.js";
import { createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork, type NetworkMembership } from "./PeerNetwork.js";

const topic = "endpoints-read";
const tickMs = 200;
const names = ["a", "b", "c"];
/** Time within which the notice of a draining endpoint has to reach all instances. */
const boundMs = 2_000;

/** An in-memory store that is unreachable for selected readers. */
class Store {
  readonly changes: Change<ListedEndpoint>[] = [];
  readonly cutOff = new Set<string>();
  /** Number of changes after which an answer is cut off. */
  changesPerRead = Number.POSITIVE_INFINITY;
  /** Number of reads of changes, by reader. */
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
    const nextOffset = Math.min(changes.length, offset + this._store.changesPerRead);
    return results.Ok({
      changes: changes.slice(offset, nextOffset),
      nextOffset,
      endOffset: changes.length,
      isCompacted: false,
    });
  }
}

interface Instance {
  readonly known: Set<string>;
  readonly follower: FeedFollower<ListedEndpoint>;
  readonly relay: StoreRelay;
  readonly clocks: PeerClocks;
  /** Peers that were asked because a page of theirs was outdated. */
  readonly refreshed: string[];
  regained: number;
}

class Zone {
  readonly store = new Store();
  readonly network = new PeerNetwork();
  readonly instances = new Map<string, Instance>();
  /** Instances of an earlier build, whose pages do not tell when they were sent. */
  readonly ofEarlierBuild = new Set<string>();
  /** By how much the wall clocks of instances have been set forward, which their monotonic clocks count as elapsed time. */
  readonly setForwardMs = new Map<string, number>();
  private readonly _stop = new AbortController();
  private _nowMs = 0;

  constructor() {
    for (const name of names) this._add(name);
    for (const { clocks } of this.instances.values()) for (const name of names) void clocks.ask(name);
  }

  /** Advances the clock tick by tick; `isSkipped` selects suspended instances. After each tick all pending reads have completed. */
  async run(
    ticks: number,
    isSkipped: (name: string) => boolean = () => false,
    onTurn: () => void = () => undefined,
  ): Promise<void> {
    for (let tick = 0; tick < ticks; tick++) {
      this._nowMs += tickMs;
      for (const [name, { relay }] of this.instances) if (!isSkipped(name)) relay.check();
      // Each turn of the event loop completes reads and lets their followers continue.
      for (let turn = 0; turn < 20; turn++) {
        await utils.yieldToEvents();
        onTurn();
      }
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
    const nowMs = (): number => this._nowMs + (this.setForwardMs.get(name) ?? 0);
    const known = new Set<string>();
    const apply = (changes: readonly Change<ListedEndpoint>[]): void => {
      for (const { key, value } of changes)
        if (value === undefined) known.delete(key);
        else known.add(key);
    };
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, ListedEndpoint>) => {
        known.clear();
        for (const key of values.keys()) known.add(key);
      },
      onChanges: apply,
      onLost: () => undefined,
      onRegained: () => void (this.get(name).regained += 1),
    };
    const feed = this.store.createFeed(name);
    // A pause is one turn of the event loop. With timers, the result would depend on how fast the machine runs the turns of `run`.
    const options = { waitMs: 0, retryMs: 0, gatherMs: 0, nowMs, pause: utils.yieldToEvents };
    const follower = new FeedFollower(feed, listener, options);
    const membership = this._join(name);
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const clocks = new PeerClocks({ membership, log, nowMs, steadyMs: () => this._nowMs });
    const refreshed: string[] = [];
    const refreshFrom = async (peer: string): Promise<void> => {
      refreshed.push(peer);
      await utils.yieldToEvents();
    };
    const relay = new StoreRelay({ membership, log, clocks, refreshFrom, nowMs });
    relay.addFeed(topic, follower, new WholeChangeCodec(listedEndpointSchema));
    this.instances.set(name, { known, follower, relay, clocks, refreshed, regained: 0 });
    void follower.run(this._stop.signal);
  }

  private _join(name: string): NetworkMembership {
    const membership = this.network.join({ name, availabilityZone: "east" });
    const notifyAll: NetworkMembership["notifyAll"] = (noticeTopic, body, isRecipient) => {
      const undated = { ...(body as object), sentAtMs: undefined, clockId: undefined };
      membership.notifyAll(noticeTopic, this.ofEarlierBuild.has(name) ? undated : body, isRecipient);
    };
    return { ...membership, notifyAll };
  }
}

test("one instance reads, and the others receive each change and stay fresh without a call", async (t) => {
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

test("an instance reads the store if a relayed read does not continue at its offset", async (t) => {
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

test("when the store is unreachable for the reader, all others are notified of a removed endpoint within two seconds", async (t) => {
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

test("a reader that does not reach the store is replaced, and all other instances stay fresh", async (t) => {
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

test("after an outage of the store for all instances, each instance is notified of the recovery", async (t) => {
  const zone = new Zone();
  await zone.run(4);
  for (const name of names) zone.store.cutOff.add(name);
  await zone.run(24);
  zone.store.cutOff.clear();
  await zone.run(12);
  for (const name of names) t.true(zone.get(name).regained >= 1, name);
  zone.stop();
});

test("a fallback reader relays to the other instances, which may not reach the store either", async (t) => {
  const zone = new Zone();
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(4);
  const [reader = ""] = zone.getReaders();
  const [fallbackReader = "", ...others] = names.filter((name) => name !== reader);
  for (const name of [reader, ...others]) zone.store.cutOff.add(name);
  zone.store.changes.push({ key: "x", value: undefined });
  await zone.run(boundMs / tickMs - 1);
  for (const name of [fallbackReader, ...others]) t.false(zone.get(name).known.has("x"), name);
  zone.stop();
});

test("reads that were buffered while an instance was suspended don't count as fresher than its suspension", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  await zone.run(8);
  const suspended = names.find((name) => !zone.get(name).relay.isReader) ?? "";
  const isSuspended = (name: string): boolean => name === suspended;
  const buffered: (() => void)[] = [];
  zone.network.hold(suspended, buffered);
  await zone.run(30, isSuspended);
  zone.network.release(suspended);
  buffered[0]?.();
  t.true(
    zone.get(suspended).follower.getFreshnessAgeMs() >= 29 * tickMs,
    "processed before the first tick after the suspension",
  );
  await zone.run(4);
  t.true(zone.get(suspended).follower.getFreshnessAgeMs() <= 2 * tickMs);
});

// Guards against an endpoint that counts as listed although its removal lies beyond the cut of an answer, at the reader and at its zone.
test("after an outage, no instance counts its list as complete before it has read up to the end that the store states", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  zone.store.changes.push({ key: "x", value: createListed("x") });
  await zone.run(4);
  for (const name of names) zone.store.cutOff.add(name);
  await zone.run(24);
  for (const key of ["y", "z"]) zone.store.changes.push({ key, value: createListed(key) });
  zone.store.changes.push({ key: "x", value: undefined });
  zone.store.changesPerRead = 1;
  zone.store.cutOff.clear();
  const early = new Set<string>();
  await zone.run(12, undefined, () => {
    for (const name of names) {
      const { known, follower } = zone.get(name);
      if (known.has("x") && follower.getFreshnessAgeMs() < boundMs) early.add(name);
    }
  });
  t.deepEqual([...early], []);
  for (const name of names) {
    t.deepEqual([...zone.get(name).known].sort(), ["y", "z"], name);
    t.true(zone.get(name).follower.getFreshnessAgeMs() <= 2 * tickMs, name);
    t.is(zone.get(name).regained, 1, name);
  }
});

// Guards against a page that a cut has held up and that proves the configuration of its arrival, so that a revoked key is served.
test("a page proves nothing that is newer than its send, however late it arrives", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  await zone.run(20);
  const cut = names.find((name) => !zone.get(name).relay.isReader) ?? "";
  const getAgeMs = (): number => zone.get(cut).follower.getFreshnessAgeMs();
  const held: (() => void)[] = [];
  zone.network.hold(cut, held);
  zone.store.cutOff.add(cut);
  await zone.run(30);
  t.true(getAgeMs() >= 29 * tickMs, `${getAgeMs()} ms`);
  held[0]?.();
  t.true(getAgeMs() >= 29 * tickMs, `${getAgeMs()} ms after a page from the beginning of the cut`);
  held.at(-1)?.();
  t.true(getAgeMs() <= 2 * tickMs, `${getAgeMs()} ms after the newest page`);
});

// Guards against a rollout in which pages of instances of the earlier build, held up by a cut, keep a revoked key alive.
test("a page that does not tell when it was sent proves nothing, and the instance reads by itself", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  for (const name of names) zone.ofEarlierBuild.add(name);
  await zone.run(20);
  const cut = names.find((name) => !zone.get(name).relay.isReader) ?? "";
  const getAgeMs = (): number => zone.get(cut).follower.getFreshnessAgeMs();
  t.true(getAgeMs() <= boundMs, `${getAgeMs()} ms while the store answers`);
  const held: (() => void)[] = [];
  zone.network.hold(cut, held);
  zone.store.cutOff.add(cut);
  await zone.run(30);
  for (const deliver of held) deliver();
  t.true(getAgeMs() >= 29 * tickMs, `${getAgeMs()} ms after pages that the cut has held up`);
  zone.store.cutOff.delete(cut);
  await zone.run(10);
  t.true(getAgeMs() <= boundMs, `${getAgeMs()} ms after the cut`);
});

// Guards against a step of the reader's wall clock during a cut, which makes the pages of the cut look younger and keeps a revoked key alive.
test("a page is as old as its send although the clock of its sender has been set forward", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  await zone.run(20);
  const cut = names.find((name) => !zone.get(name).relay.isReader) ?? "";
  const held: (() => void)[] = [];
  zone.network.hold(cut, held);
  zone.store.cutOff.add(cut);
  await zone.run(1);
  for (const name of names) if (name !== cut) zone.setForwardMs.set(name, 8_000);
  await zone.run(1);
  const sent = held.length;
  await zone.run(28);
  for (const deliver of held.slice(0, sent)) deliver();
  const ageMs = zone.get(cut).follower.getFreshnessAgeMs();
  t.true(ageMs >= 28 * tickMs, `${ageMs} ms after pages from the beginning of the cut`);
});

// Guards against an instance that refuses all keys after the end of a cut until the reader of its zone has read the next page.
test("the sender of outdated pages is asked at once, and once for pages that arrive together", async (t) => {
  const zone = new Zone();
  t.teardown(() => zone.stop());
  await zone.run(20);
  const [reader = ""] = zone.getReaders();
  const cut = names.find((name) => name !== reader) ?? "";
  const held: (() => void)[] = [];
  zone.network.hold(cut, held);
  zone.store.cutOff.add(cut);
  await zone.run(5);
  zone.network.silence(cut);
  await zone.run(25);
  t.deepEqual(zone.get(cut).refreshed, []);
  for (const deliver of held) deliver();
  t.true(held.length > 1);
  t.deepEqual(zone.get(cut).refreshed, [reader]);
});
