/** Tests that a follower resumes at its offset, and reads a new snapshot if the history has a gap. */
import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import { ChangeFeed, type FeedPage, type FeedSnapshot, type StoreError } from "../../discovery/ChangeFeed.js";
import { FeedFollower } from "../../discovery/FeedFollower.js";

type Page = results.Result<FeedPage<string>, StoreError>;

/** Returns the given pages, and stops the follower with the last one. */
class ScriptedFeed extends ChangeFeed<string> {
  readonly reads: string[] = [];

  constructor(
    private readonly _pages: Page[],
    private readonly _stop: AbortController,
  ) {
    super();
  }

  override getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    this.reads.push("snapshot");
    return Promise.resolve(results.Ok({ values: new Map([["k", "v"]]), nextOffset: 10 }));
  }

  override getChanges(offset: number): Promise<Page> {
    this.reads.push(`from ${offset}`);
    const page = this._pages.shift();
    if (this._pages.length === 0) this._stop.abort();
    return Promise.resolve(page ?? results.Err(new errors.ConnectionLostError("store")));
  }
}

async function follow(pages: Page[]): Promise<{ reads: string[]; events: string[] }> {
  const stop = new AbortController();
  const feed = new ScriptedFeed(pages, stop);
  const events: string[] = [];
  const listener = {
    onSnapshot: () => events.push("snapshot"),
    onChanges: (changes: readonly unknown[]) => events.push(`${changes.length} changes`),
    onLost: () => events.push("lost"),
    onRegained: () => events.push("regained"),
  };
  await new FeedFollower(feed, listener, { waitMs: 0, retryMs: 0, gatherMs: 0 }).run(stop.signal);
  return { reads: feed.reads, events };
}

const change = { key: "k", value: "w" };

test("the listener is notified of the store's recovery before it receives changes", async (t) => {
  const lost: Page = results.Err(new errors.ConnectionLostError("store"));
  const { reads, events } = await follow([
    lost,
    lost,
    results.Ok({ changes: [change], nextOffset: 11, endOffset: 11, isCompacted: false }),
  ]);
  t.deepEqual(events, ["snapshot", "lost", "regained", "1 changes"]);
  t.deepEqual(reads, ["snapshot", "from 10", "from 10", "from 10"]);
});

test("a gap in the history leads to a snapshot", async (t) => {
  const { reads, events } = await follow([
    results.Ok({ changes: [], nextOffset: 10, endOffset: 10, isCompacted: true }),
    results.Ok({ changes: [change], nextOffset: 11, endOffset: 11, isCompacted: false }),
  ]);
  t.deepEqual(events, ["snapshot", "snapshot", "1 changes"]);
  t.deepEqual(reads, ["snapshot", "from 10", "snapshot", "from 10"]);
});

/** Returns the pauses between reads that all fail. */
async function getPauses(isFallbackReader: boolean): Promise<number[]> {
  const stop = new AbortController();
  const pauses: number[] = [];
  const lost: Page = results.Err(new errors.ConnectionLostError("store"));
  const listener = {
    onSnapshot: () => undefined,
    onChanges: () => undefined,
    onLost: () => undefined,
    onRegained: () => undefined,
  };
  const follower = new FeedFollower(new ScriptedFeed([lost, lost, lost, lost, lost], stop), listener, {
    waitMs: 0,
    retryMs: 250,
    pause: async (durationMs) => void pauses.push(durationMs),
  });
  follower.setReader(true, isFallbackReader);
  await follower.run(stop.signal);
  // The first pause follows the snapshot.
  return pauses.slice(1);
}

test("a follower that reads for others retries at a fixed interval, and a fallback reader backs off", async (t) => {
  t.deepEqual(await getPauses(false), [250, 250, 250, 250, 250]);
  t.deepEqual(await getPauses(true), [250, 500, 1_000, 2_000, 2_000]);
});

/** A feed whose reads the test answers explicitly. */
class ManualFeed extends ChangeFeed<string> {
  private readonly _pendingReads: utils.Deferred<Page>[] = [];

  override getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    return Promise.resolve(results.Ok({ values: new Map(), nextOffset: 10 }));
  }

  override getChanges(): Promise<Page> {
    const page = new utils.Deferred<Page>();
    this._pendingReads.push(page);
    return page.promise;
  }

  /** Answers the oldest read; resolves once the follower has continued. */
  async answer(nextOffset: number): Promise<void> {
    const isReading = (): boolean => this._pendingReads.length > 0;
    await utils.waitUntil(isReading, timeoutMs);
    this._pendingReads
      .shift()
      ?.resolve(results.Ok({ changes: [change], nextOffset, endOffset: nextOffset, isCompacted: false }));
    await utils.yieldToEvents();
  }
}

const timeoutMs = 60_000;

/** Starts a follower that gets its pages from peers after the first snapshot. */
async function followPeer(
  stop: AbortController,
): Promise<{ feed: ManualFeed; follower: FeedFollower<string> }> {
  const feed = new ManualFeed();
  const listener = {
    onSnapshot: () => undefined,
    onChanges: () => undefined,
    onLost: () => undefined,
    onRegained: () => undefined,
  };
  const options = { waitMs: 0, retryMs: 0, pause: utils.yieldToEvents };
  const follower = new FeedFollower(feed, listener, options);
  follower.setReader(false);
  void follower.run(stop.signal);
  await utils.waitUntil(() => follower.nextOffset === 10, timeoutMs);
  return { feed, follower };
}

test("a read that ends after a peer's page is still applied if it contains further changes", async (t) => {
  const stop = new AbortController();
  const { feed, follower } = await followPeer(stop);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 12, changes: undefined }, 0);
  await utils.yieldToEvents();
  follower.applyPeerPage({ fromOffset: 10, nextOffset: 11, changes: [change] }, 0);
  t.is(follower.nextOffset, 11);
  await feed.answer(12);
  t.is(follower.nextOffset, 12);
  t.is(follower.getBehindMs(), 0);
  stop.abort();
});

test("changes that are known to exist are read until they have arrived", async (t) => {
  const stop = new AbortController();
  const { feed, follower } = await followPeer(stop);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 13, changes: undefined }, 0);
  await feed.answer(11);
  t.is(follower.nextOffset, 11);
  await feed.answer(13);
  t.is(follower.nextOffset, 13);
  stop.abort();
});

test("changes from another source are not read again, and the next page of a peer continues after them", async (t) => {
  const stop = new AbortController();
  const { follower } = await followPeer(stop);
  follower.advanceTo(12);
  follower.applyPeerPage({ fromOffset: 12, nextOffset: 13, changes: [change] }, 0);
  t.is(follower.nextOffset, 13);
  t.is(follower.getBehindMs(), 0);
  stop.abort();
});

/** A follower whose set was complete at `freshAtMs`, and the pages, events and pauses that follow. */
async function followAfterOutage(pages: Page[]) {
  const stop = new AbortController();
  const feed = new ScriptedFeed(pages, stop);
  let nowMs = freshAtMs;
  const steps: unknown[] = [];
  const listener = {
    onSnapshot: () => undefined,
    onChanges: (changes: readonly unknown[], freshMs: number) =>
      steps.push({ changes: changes.length, freshMs, behindMs: follower.getBehindMs() }),
    onLost: () => undefined,
    onRegained: () => undefined,
  };
  const follower = new FeedFollower(feed, listener, {
    waitMs: 0,
    retryMs: 0,
    gatherMs,
    nowMs: () => nowMs,
    pause: async (durationMs) => {
      if (nowMs > freshAtMs) steps.push({ pauseMs: durationMs });
      nowMs += outageMs;
      await utils.yieldToEvents();
    },
  });
  await follower.run(stop.signal);
  return { steps, follower };
}

const freshAtMs = 1_000;
const outageMs = 10_000;
const gatherMs = 300;

// Guards against a part of the changes that counts as all of them.
test("a page that was cut off is applied without becoming fresh, and the next page is read without a pause", async (t) => {
  const { steps } = await followAfterOutage([
    results.Ok({ changes: [change], nextOffset: 11, endOffset: 12, isCompacted: false }),
    results.Ok({ changes: [change], nextOffset: 12, endOffset: 12, isCompacted: false }),
  ]);
  t.deepEqual(steps, [
    { changes: 1, freshMs: freshAtMs, behindMs: 0 },
    { pauseMs: 0 },
    { changes: 1, freshMs: freshAtMs + 2 * outageMs, behindMs: 0 },
    { pauseMs: gatherMs },
  ]);
});

// Guards against denials by a set that is known to lack changes.
test("a follower is behind from a page that was cut off until it has read the known end", async (t) => {
  const { follower } = await followAfterOutage([
    results.Ok({ changes: [change], nextOffset: 11, endOffset: 13, isCompacted: false }),
    results.Ok({ changes: [change], nextOffset: 12, endOffset: 13, isCompacted: false }),
  ]);
  t.is(follower.getBehindMs(), 2 * outageMs);
  t.is(follower.getFreshnessAgeMs(), 3 * outageMs);
  follower.applyPeerPage({ fromOffset: 12, nextOffset: 13, changes: [change] }, freshAtMs + outageMs);
  t.is(follower.getBehindMs(), 0);
});

// Guards against a store that is called in a loop.
test("an answer without the known changes is not fresh, and is read again after a pause", async (t) => {
  const { steps } = await followAfterOutage([
    results.Ok({ changes: [], nextOffset: 10, endOffset: 11, isCompacted: false }),
  ]);
  t.deepEqual(steps, [{ changes: 0, freshMs: freshAtMs, behindMs: 0 }, { pauseMs: gatherMs }]);
});

// Guards against endpoints that are dropped since their entries were removed during an outage.
test("the first page that a peer relays after an outage is preceded by the notice of the recovery, even if it was cut off", async (t) => {
  const stop = new AbortController();
  let nowMs = 0;
  const events: string[] = [];
  const listener = {
    onSnapshot: () => undefined,
    onChanges: (_changes: readonly unknown[], freshMs: number) => events.push(`changes, fresh at ${freshMs}`),
    onLost: () => undefined,
    onRegained: () => events.push("regained"),
  };
  const follower = new FeedFollower(new ManualFeed(), listener, {
    waitMs: 0,
    retryMs: 0,
    nowMs: () => nowMs,
    pause: utils.yieldToEvents,
  });
  follower.setReader(false);
  void follower.run(stop.signal);
  await utils.waitUntil(() => follower.nextOffset === 10, timeoutMs);
  nowMs = outageMs;
  const cutOff = { fromOffset: 10, nextOffset: 11, endOffset: 12, changes: [change] };
  follower.applyPeerPage(cutOff, 0, outageMs);
  t.is(follower.getAnswerAgeMs(), 0);
  t.is(follower.getFreshnessAgeMs(), outageMs);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 12, endOffset: 12, changes: [change] }, outageMs);
  t.deepEqual(events, ["regained", "changes, fresh at 0", `changes, fresh at ${outageMs}`]);
  stop.abort();
});

/** A follower that has read a snapshot at 0, was cut off from the store then, and has lost it. */
async function followUntilLost(stop: AbortController) {
  const clock = { nowMs: 0 };
  const events: string[] = [];
  const listener = {
    onSnapshot: () => undefined,
    onChanges: (changes: readonly unknown[]) => events.push(`${changes.length} changes`),
    onLost: () => events.push("lost"),
    onRegained: () => events.push("regained"),
  };
  const feed = new CutOffFeed();
  const follower = new FeedFollower(feed, listener, {
    waitMs: 0,
    retryMs: 0,
    nowMs: () => clock.nowMs,
    pause: async () => {
      clock.nowMs += 1_000;
      await utils.yieldToEvents();
    },
  });
  void follower.run(stop.signal);
  await utils.waitUntil(() => events.includes("lost"), timeoutMs);
  return { clock, events, follower };
}

/** Answers the first snapshot, and nothing then. */
class CutOffFeed extends ChangeFeed<string> {
  override getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    return Promise.resolve(results.Ok({ values: new Map(), nextOffset: 10 }));
  }

  override getChanges(): Promise<Page> {
    return Promise.resolve(results.Err(new errors.ConnectionLostError("store")));
  }
}

// Guards against endpoints that are dropped since a page held up by a cut has ended the loss of the store before its real end.
test("a page from before the loss of the store does not end it, and one from after it does", async (t) => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const { clock, events, follower } = await followUntilLost(stop);
  follower.applyPeerPage({ fromOffset: 10, nextOffset: 11, changes: [change] }, 500);
  t.deepEqual(events, ["lost", "1 changes"]);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 12, changes: [change] }, clock.nowMs);
  t.deepEqual(events, ["lost", "1 changes", "regained", "1 changes"]);
});

// Guards against running requests that end since a page without a known time removes endpoints as if the store had been there all the time.
test("changes without a known time are not taken while the store is lost, and the store is read instead", async (t) => {
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const { events, follower } = await followUntilLost(stop);
  follower.applyPeerPage({ fromOffset: 10, nextOffset: 11, changes: [change] }, Number.NEGATIVE_INFINITY);
  t.deepEqual(events, ["lost"]);
  t.is(follower.nextOffset, 10);
});

/** Answers the first snapshot or a compacted read with a snapshot when the test says so. */
class LateSnapshotFeed extends ChangeFeed<string> {
  readonly snapshot = new utils.Deferred<void>();
  snapshots = 0;

  constructor(private readonly _isFirstLate: boolean) {
    super();
  }

  override async getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    this.snapshots += 1;
    if (this.snapshots > 1 || this._isFirstLate) await this.snapshot.promise;
    return results.Ok({ values: new Map([["gone", "v"]]), nextOffset: 10 });
  }

  override getChanges(offset: number): Promise<Page> {
    const isCompacted = this.snapshots === 1 && !this._isFirstLate;
    return Promise.resolve(results.Ok({ changes: [], nextOffset: offset, endOffset: offset, isCompacted }));
  }
}

for (const isFirstLate of [true, false]) {
  const name = isFirstLate ? "first snapshot" : "snapshot after a gap in the history";
  // Guards against an endpoint that comes back although its removal has been read, and stays if the store is lost then.
  test(`a ${name} that is older than what a peer has sent meanwhile is not taken`, async (t) => {
    const stop = new AbortController();
    t.teardown(() => stop.abort());
    const feed = new LateSnapshotFeed(isFirstLate);
    let values: string[] = [];
    const listener = {
      onSnapshot: (all: ReadonlyMap<string, string>) => (values = [...all.keys()]),
      onChanges: () => undefined,
      onLost: () => undefined,
      onRegained: () => undefined,
    };
    const clock = { nowMs: 1_000 };
    const options = { waitMs: 0, retryMs: 0, nowMs: () => clock.nowMs, pause: utils.yieldToEvents };
    const follower = new FeedFollower(feed, listener, options);
    void follower.run(stop.signal);
    await utils.waitUntil(() => feed.snapshots === (isFirstLate ? 1 : 2), timeoutMs);
    clock.nowMs += 500;
    follower.applyPeerSnapshot(new Map([["here", "v"]]), 20, clock.nowMs - 100);
    feed.snapshot.resolve();
    for (let turn = 0; turn < 5; turn++) await utils.yieldToEvents();
    t.deepEqual(values, ["here"]);
    t.is(follower.nextOffset, 20);
    t.true(follower.getFreshnessAgeMs() <= 100);
  });
}
