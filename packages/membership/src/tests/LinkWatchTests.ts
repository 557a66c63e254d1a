/** Silent links are probed and dropped, at any number of links; an instance that stood still itself drops nobody. */
import test from "ava";
import { LinkWatch, watchIntervalMs } from "../LinkWatch.js";

class Link {
  pings = 0;
  isClosed = false;
  isDialled = true;

  constructor(
    public heardAtMs: number,
    private readonly _answers: boolean,
    private readonly _clock: { nowMs: number },
  ) {}

  ping(): void {
    this.pings += 1;
    if (this._answers) this.heardAtMs = this._clock.nowMs;
  }

  close(): void {
    this.isClosed = true;
  }
}

for (const count of [7, 51, 400]) {
  test(`of ${count} links, one that went silent for good is dropped within five seconds, and no other`, (t) => {
    const clock = { nowMs: 0 };
    const watch = new LinkWatch(() => clock.nowMs);
    const links = Array.from({ length: count }, (_value, index) => new Link(0, index > 0, clock));
    for (; clock.nowMs <= 5_000; clock.nowMs += watchIntervalMs) watch.check(links);
    t.deepEqual(
      links.filter((link) => link.isClosed),
      links.slice(0, 1),
    );
  });
}

test("a link that something comes over is not probed", (t) => {
  const clock = { nowMs: 0 };
  const watch = new LinkWatch(() => clock.nowMs);
  const link = new Link(0, true, clock);
  for (; clock.nowMs <= 5_000; clock.nowMs += watchIntervalMs) {
    link.heardAtMs = clock.nowMs - 100;
    watch.check([link]);
  }
  t.is(link.pings, 0);
});

test("an instance that froze asks its peers before it drops them", (t) => {
  const clock = { nowMs: 0 };
  const watch = new LinkWatch(() => clock.nowMs);
  const link = new Link(0, true, clock);
  watch.check([link]);
  clock.nowMs = 20_000;
  watch.check([link]);
  clock.nowMs += watchIntervalMs;
  watch.check([link]);
  t.false(link.isClosed);
  t.true(link.pings >= 1);
});

test("two sides of a quiet link exchange one probe each two seconds, and the side that was dialled none", (t) => {
  const clock = { nowMs: 0 };
  const watches = [new LinkWatch(() => clock.nowMs), new LinkWatch(() => clock.nowMs)];
  const dialling = new Link(0, true, clock);
  const dialled = new Link(0, true, clock);
  dialled.isDialled = false;
  for (; clock.nowMs < 20_000; clock.nowMs += watchIntervalMs) {
    const before = dialling.pings;
    watches[0]?.check([dialling]);
    if (dialling.pings > before) dialled.heardAtMs = clock.nowMs;
    watches[1]?.check([dialled]);
  }
  t.is(dialling.pings, 9);
  t.is(dialled.pings, 0);
});

test("the side that was dialled notices by itself that the other one has gone silent", (t) => {
  const clock = { nowMs: 0 };
  const watch = new LinkWatch(() => clock.nowMs);
  const link = new Link(0, false, clock);
  link.isDialled = false;
  for (; clock.nowMs <= 5_000; clock.nowMs += watchIntervalMs) watch.check([link]);
  t.true(link.pings > 0);
  t.true(link.isClosed);
});
