/** Messages of peers are dated by the own clock. */
import { results, utils } from "@shedtiller/common";
import type { LinkedListener, RequestHandler } from "@shedtiller/membership";
import test from "ava";
import { PeerClocks } from "../../peers/PeerClocks.js";
import { toMember } from "./toMember.js";

const peer = { name: "peer", availabilityZone: "east" };
/** The clock of the peer is ahead by this much. */
const aheadMs = 5_000;

/** An instance whose question reaches the peer after a delay, as does the answer. */
class Fixture {
  nowMs = 100_000;
  delayMs = 1;
  peerAheadMs = aheadMs;
  peerClockId = "first";
  private readonly _listeners: LinkedListener[] = [];
  readonly clocks = new PeerClocks({
    membership: {
      getLinked: () => [toMember(peer)],
      onLinked: (listener) => void this._listeners.push(listener),
      onRequest: (_topic: string, handler: RequestHandler) => void (this.handler = handler),
      request: () => {
        this.nowMs += this.delayMs;
        const reply = { nowMs: this.nowMs + this.peerAheadMs, clockId: this.peerClockId };
        this.nowMs += this.delayMs;
        return Promise.resolve(results.Ok(reply));
      },
    },
    log: { error: () => undefined },
    nowMs: () => this.nowMs,
  });
  handler: RequestHandler | undefined;

  /** Links the peer, which is asked then. */
  async link(isResumed: boolean): Promise<void> {
    for (const listener of this._listeners) listener(toMember(peer), isResumed);
    await utils.yieldToEvents();
  }

  /** Returns when the peer sent a message at most, which carries `peerMs` of its clock. */
  getSentAtMs(peerMs: number): number | undefined {
    return this.clocks.getSentAtMs("peer", peerMs, this.peerClockId);
  }
}

// Guards against a message that a cut holds up for seconds and that counts as sent when it arrives, so that a revoked key is served.
test("a message is as old as its send, however late it arrives", async (t) => {
  const fixture = new Fixture();
  await fixture.clocks.ask("peer");
  const sentAtMs = fixture.nowMs;
  fixture.nowMs += 7_000;
  const dated = fixture.getSentAtMs(sentAtMs + aheadMs) ?? 0;
  t.true(dated <= sentAtMs && dated >= sentAtMs - 1, `${dated - sentAtMs} ms`);
});

test("a slow answer dates messages too early, never too late, and does not replace a better one", async (t) => {
  const fixture = new Fixture();
  fixture.delayMs = 400;
  await fixture.clocks.ask("peer");
  t.is(fixture.getSentAtMs(fixture.nowMs + aheadMs), fixture.nowMs - 400);
  fixture.delayMs = 1;
  await fixture.clocks.ask("peer");
  fixture.delayMs = 400;
  await fixture.clocks.ask("peer");
  t.is(fixture.getSentAtMs(fixture.nowMs + aheadMs), fixture.nowMs - 1);
});

// Guards against a clock that drifts away from an old answer, so that messages count as sent later than they were.
test("an old answer is replaced by any other one", async (t) => {
  const fixture = new Fixture();
  await fixture.clocks.ask("peer");
  fixture.nowMs += 60_000;
  fixture.peerAheadMs = aheadMs + 3;
  fixture.delayMs = 400;
  await fixture.clocks.ask("peer");
  t.is(fixture.getSentAtMs(fixture.nowMs + fixture.peerAheadMs), fixture.nowMs - 400);
});

// Guards against a peer that has restarted and whose messages are dated by the clock of its earlier process.
test("nothing is known of a clock before its first answer, and of that of another process", async (t) => {
  const fixture = new Fixture();
  t.is(fixture.getSentAtMs(fixture.nowMs), undefined);
  await fixture.clocks.ask("peer");
  t.not(fixture.getSentAtMs(fixture.nowMs), undefined);
  await fixture.link(true);
  t.not(fixture.getSentAtMs(fixture.nowMs), undefined);
  fixture.peerClockId = "second";
  t.is(fixture.getSentAtMs(fixture.nowMs), undefined);
  fixture.delayMs = 400;
  await fixture.link(false);
  t.not(fixture.getSentAtMs(fixture.nowMs), undefined, "also a slow answer replaces that of another clock");
});

test("a message without a reading of a clock is not dated", async (t) => {
  const fixture = new Fixture();
  await fixture.clocks.ask("peer");
  t.is(fixture.clocks.getSentAtMs("peer", undefined, "first"), undefined);
  t.is(fixture.clocks.getSentAtMs("peer", fixture.nowMs, undefined), undefined);
  t.is(fixture.clocks.getSentAtMs("other", fixture.nowMs, undefined), undefined);
});

test("no message is dated in the future", async (t) => {
  const fixture = new Fixture();
  await fixture.clocks.ask("peer");
  t.is(fixture.getSentAtMs(fixture.nowMs + aheadMs + 60_000), fixture.nowMs);
});
