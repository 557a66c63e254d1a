/** Silent links are probed and found at any number of links; an instance that was suspended itself takes none for silent. */
import test from "ava";
import { linkCheckIntervalMs, LinkFailureDetector } from "../LinkFailureDetector.js";

/** A link that answers pings immediately or not at all, depending on `_answers`. */
class FakeLink {
  pings = 0;
  isSilent = false;
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
}

/** Checks links once, and marks those that the detector takes for silent. */
function check(detector: LinkFailureDetector, links: readonly FakeLink[]): void {
  for (const link of detector.check(links)) link.isSilent = true;
}

for (const count of [7, 51, 400]) {
  test(`of ${count} links, one that has gone silent is found within five seconds, and no other`, (t) => {
    const clock = { nowMs: 0 };
    const detector = new LinkFailureDetector(() => clock.nowMs);
    const links = Array.from({ length: count }, (_value, index) => new FakeLink(0, index > 0, clock));
    for (; clock.nowMs <= 5_000; clock.nowMs += linkCheckIntervalMs) check(detector, links);
    t.deepEqual(
      links.filter((link) => link.isSilent),
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
    check(detector, [link]);
  }
  t.is(link.pings, 0);
});

test("an instance that was suspended probes its peers before it takes their links for silent", (t) => {
  const clock = { nowMs: 0 };
  const detector = new LinkFailureDetector(() => clock.nowMs);
  const link = new FakeLink(0, true, clock);
  check(detector, [link]);
  clock.nowMs = 20_000;
  check(detector, [link]);
  clock.nowMs += linkCheckIntervalMs;
  check(detector, [link]);
  t.false(link.isSilent);
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
  for (; clock.nowMs <= 5_000; clock.nowMs += linkCheckIntervalMs) check(detector, [link]);
  t.true(link.pings > 0);
  t.true(link.isSilent);
});
