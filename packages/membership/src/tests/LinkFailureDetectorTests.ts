/** Silent links are probed and closed at any number of links; an instance that was suspended itself closes none. */
import test from "ava";
import { linkCheckIntervalMs, LinkFailureDetector } from "../LinkFailureDetector.js";

/** A link that answers pings immediately or not at all, depending on `_answers`. */
class FakeLink {
  pings = 0;
  isClosed = false;
  isDialled = true;

  constructor(
    public lastReceivedAtMs: number,
    private readonly _answers: boolean,
    private readonly _clock: { nowMs: number },
  ) {}

  ping(): void {
    this.pings += 1;
    if (this._answers) this.lastReceivedAtMs = this._clock.nowMs;
  }

  close(): void {
    this.isClosed = true;
  }
}

for (const count of [7, 51, 400]) {
  test(`of ${count} links, one that has gone silent is closed within five seconds, and no other`, (t) => {
    const clock = { nowMs: 0 };
    const detector = new LinkFailureDetector(() => clock.nowMs);
    const links = Array.from({ length: count }, (_value, index) => new FakeLink(0, index > 0, clock));
    for (; clock.nowMs <= 5_000; clock.nowMs += linkCheckIntervalMs) detector.check(links);
    t.deepEqual(
      links.filter((link) => link.isClosed),
      links.slice(0, 1),
    );
  });
}

test("a link over which frames arrive is not probed", (t) => {
  const clock = { nowMs: 0 };
  const detector = new LinkFailureDetector(() => clock.nowMs);
  const link = new FakeLink(0, true, clock);
  for (; clock.nowMs <= 5_000; clock.nowMs += linkCheckIntervalMs) {
    link.lastReceivedAtMs = clock.nowMs - 100;
    detector.check([link]);
  }
  t.is(link.pings, 0);
});

test("an instance that was suspended probes its peers before it closes their links", (t) => {
  const clock = { nowMs: 0 };
  const detector = new LinkFailureDetector(() => clock.nowMs);
  const link = new FakeLink(0, true, clock);
  detector.check([link]);
  clock.nowMs = 20_000;
  detector.check([link]);
  clock.nowMs += linkCheckIntervalMs;
  detector.check([link]);
  t.false(link.isClosed);
  t.true(link.pings >= 1);
});

test("on an idle link the dialling side sends one probe every two seconds, the accepting side none", (t) => {
  const clock = { nowMs: 0 };
  const detectors = [new LinkFailureDetector(() => clock.nowMs), new LinkFailureDetector(() => clock.nowMs)];
  const dialled = new FakeLink(0, true, clock);
  const accepted = new FakeLink(0, true, clock);
  accepted.isDialled = false;
  for (; clock.nowMs < 20_000; clock.nowMs += linkCheckIntervalMs) {
    const before = dialled.pings;
    detectors[0]?.check([dialled]);
    if (dialled.pings > before) accepted.lastReceivedAtMs = clock.nowMs;
    detectors[1]?.check([accepted]);
  }
  t.is(dialled.pings, 9);
  t.is(accepted.pings, 0);
});

test("the accepting side detects by itself that the other side has gone silent", (t) => {
  const clock = { nowMs: 0 };
  const detector = new LinkFailureDetector(() => clock.nowMs);
  const link = new FakeLink(0, false, clock);
  link.isDialled = false;
  for (; clock.nowMs <= 5_000; clock.nowMs += linkCheckIntervalMs) detector.check([link]);
  t.true(link.pings > 0);
  t.true(link.isClosed);
});
