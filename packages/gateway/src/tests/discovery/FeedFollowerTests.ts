/** A follower reads on where it stopped, and begins anew where the history has a gap. */
import test from "ava";
import { errors, results, utils } from "@shedtiller/common";
import { ChangeFeed, type FeedPage, type FeedSnapshot, type StoreError } from "../../discovery/ChangeFeed.js";
import { FeedFollower } from "../../discovery/FeedFollower.js";

type Page = results.Result<FeedPage<string>, StoreError>;

/** Answers from a script; ends the follower with the last one. */
class ScriptedFeed extends ChangeFeed<string> {
  readonly asked: string[] = [];

  constructor(
    private readonly _pages: Page[],
    private readonly _stop: AbortController,
  ) {
    super();
  }

  override getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    this.asked.push("snapshot");
    return Promise.resolve(results.Ok({ values: new Map([["k", "v"]]), nextOffset: 10 }));
  }

  override getChanges(offset: number): Promise<Page> {
    this.asked.push(`from ${offset}`);
    const page = this._pages.shift();
    if (this._pages.length === 0) this._stop.abort();
    return Promise.resolve(page ?? results.Err(new errors.ConnectionLostError("store")));
  }
}

async function follow(pages: Page[]): Promise<{ asked: string[]; heard: string[] }> {
  const stop = new AbortController();
  const feed = new ScriptedFeed(pages, stop);
  const heard: string[] = [];
  const listener = {
    onSnapshot: () => heard.push("snapshot"),
    onChanges: (changes: readonly unknown[]) => heard.push(`${changes.length} changes`),
    onLost: () => heard.push("lost"),
    onRegained: () => heard.push("regained"),
  };
  await new FeedFollower(feed, listener, { waitMs: 0, retryMs: 0, gatherMs: 0 }).run(stop.signal);
  return { asked: feed.asked, heard };
}

const change = { key: "k", value: "w" };

test("the store's return is told before what it says", async (t) => {
  const lost: Page = results.Err(new errors.ConnectionLostError("store"));
  const { asked, heard } = await follow([
    lost,
    lost,
    results.Ok({ changes: [change], nextOffset: 11, isCompacted: false }),
  ]);
  t.deepEqual(heard, ["snapshot", "lost", "regained", "1 changes"]);
  t.deepEqual(asked, ["snapshot", "from 10", "from 10", "from 10"]);
});

test("a gap in the history leads to a snapshot", async (t) => {
  const { asked, heard } = await follow([
    results.Ok({ changes: [], nextOffset: 10, isCompacted: true }),
    results.Ok({ changes: [change], nextOffset: 11, isCompacted: false }),
  ]);
  t.deepEqual(heard, ["snapshot", "snapshot", "1 changes"]);
  t.deepEqual(asked, ["snapshot", "from 10", "snapshot", "from 10"]);
});

/** Pauses between reads that all fail. */
async function getPauses(isStandIn: boolean): Promise<number[]> {
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
  follower.setReader(true, isStandIn);
  await follower.run(stop.signal);
  // The first pause is that of the snapshot.
  return pauses.slice(1);
}

test("a follower that reads for others tries again all the time, and one that stands in less and less often", async (t) => {
  t.deepEqual(await getPauses(false), [250, 250, 250, 250, 250]);
  t.deepEqual(await getPauses(true), [250, 500, 1_000, 2_000, 2_000]);
});

/** Answers reads when the test says so. */
class HeldFeed extends ChangeFeed<string> {
  private readonly _asked: utils.Deferred<Page>[] = [];

  override getSnapshot(): Promise<results.Result<FeedSnapshot<string>, StoreError>> {
    return Promise.resolve(results.Ok({ values: new Map(), nextOffset: 10 }));
  }

  override getChanges(): Promise<Page> {
    const page = new utils.Deferred<Page>();
    this._asked.push(page);
    return page.promise;
  }

  /** Answers the oldest read; the follower has gone on once this resolves. */
  async answer(nextOffset: number): Promise<void> {
    const isAsked = (): boolean => this._asked.length > 0;
    await utils.waitUntil(isAsked, patienceMs);
    this._asked.shift()?.resolve(results.Ok({ changes: [change], nextOffset, isCompacted: false }));
    await utils.yieldToEvents();
  }
}

const patienceMs = 60_000;

/** A follower that peers tell, after its first snapshot. */
async function followTold(
  stop: AbortController,
): Promise<{ feed: HeldFeed; follower: FeedFollower<string> }> {
  const feed = new HeldFeed();
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
  await utils.waitUntil(() => follower.nextOffset === 10, patienceMs);
  return { feed, follower };
}

test("a read that ends after a told page is taken where it holds more", async (t) => {
  const stop = new AbortController();
  const { feed, follower } = await followTold(stop);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 12, changes: undefined }, 0);
  await utils.yieldToEvents();
  follower.applyPeerPage({ fromOffset: 10, nextOffset: 11, changes: [change] }, 0);
  t.is(follower.nextOffset, 11);
  await feed.answer(12);
  t.is(follower.nextOffset, 12);
  t.is(follower.getBehindMs(), 0);
  stop.abort();
});

test("what is known to exist is read until it has come", async (t) => {
  const stop = new AbortController();
  const { feed, follower } = await followTold(stop);
  follower.applyPeerPage({ fromOffset: 11, nextOffset: 13, changes: undefined }, 0);
  await feed.answer(11);
  t.is(follower.nextOffset, 11);
  await feed.answer(13);
  t.is(follower.nextOffset, 13);
  stop.abort();
});

test("what came from elsewhere is not read again, and the next told page joins on", async (t) => {
  const stop = new AbortController();
  const { follower } = await followTold(stop);
  follower.advanceTo(12);
  follower.applyPeerPage({ fromOffset: 12, nextOffset: 13, changes: [change] }, 0);
  t.is(follower.nextOffset, 13);
  t.is(follower.getBehindMs(), 0);
  stop.abort();
});
