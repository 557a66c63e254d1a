/** Which link to a peer is used, which is in doubt and which is closed, in simulated time. */
import test from "ava";
import { linkCheckIntervalMs } from "../LinkFailureDetector.js";
import { LinkTable, maxSilenceMs } from "../LinkTable.js";

/** Longest time for which an instance is suspended and then goes on. */
const longestSuspensionMs = 3_500;

class FakeLink {
  isOpen = true;
  isIdle = true;

  constructor(
    readonly peer: { readonly name: string; readonly availabilityZone: string },
    readonly isDialled: boolean,
    public lastReceivedAtMs: number,
  ) {}
}

/** The table of instance `b`, with links to `a`, which dials first, and to `c`. */
class Fixture {
  nowMs = 0;
  readonly table = new LinkTable<FakeLink>("b", () => this.nowMs);

  /** Adds a link whose handshake began at `startedAtMs`. */
  add(name: string, isDialled: boolean, startedAtMs = this.nowMs): FakeLink {
    const link = new FakeLink({ name, availabilityZone: "x" }, isDialled, this.nowMs);
    this.table.add(link, startedAtMs);
    return link;
  }

  receive(link: FakeLink): void {
    this.nowMs += 1;
    link.lastReceivedAtMs = this.nowMs;
  }

  wait(durationMs: number): void {
    this.nowMs += durationMs;
  }
}

test("a doubted link is not usable, stays open, and is usable again once something is received on it", (t) => {
  const fixture = new Fixture();
  const link = fixture.add("c", true);
  fixture.wait(1_000);
  t.is(fixture.table.noteSilence(link), "doubted");
  t.is(fixture.table.getUsable("c"), undefined);
  t.true(fixture.table.hasOpen("c"));
  t.deepEqual(fixture.table.takeResumed(), []);
  fixture.receive(link);
  t.deepEqual(fixture.table.takeResumed(), [link]);
  t.is(fixture.table.getUsable("c"), link);
});

// Guards against an instance that can't ask the peer whose message shows that a cut has ended.
test("a doubted link is usable for the handler of the first message on it", (t) => {
  const fixture = new Fixture();
  const [link, other] = [fixture.add("c", true), fixture.add("d", true)];
  fixture.wait(1_000);
  for (const doubted of [link, other]) fixture.table.noteSilence(doubted);
  t.false(fixture.table.noteReceived(link), "nothing has been received since");
  fixture.receive(link);
  t.true(fixture.table.noteReceived(link));
  t.is(fixture.table.getUsable("c"), link);
  t.is(fixture.table.getUsable("d"), undefined);
  t.false(fixture.table.noteReceived(link), "a link that is not in doubt does not come back");
});

// Guards against requests that end with a link although their peer is only suspended.
test("a link survives the silence of the longest suspension, and is closed if it stays silent", (t) => {
  const fixture = new Fixture();
  const link = fixture.add("c", true);
  const results: (string | undefined)[] = [];
  while (fixture.nowMs < maxSilenceMs + linkCheckIntervalMs) {
    fixture.wait(linkCheckIntervalMs);
    results.push(fixture.table.noteSilence(link));
    if (fixture.nowMs <= longestSuspensionMs) t.false(results.includes("expired"));
  }
  t.is(results.filter((result) => result === "doubted").length, 1);
  t.is(results.at(-1), "expired");
});

test("silence that began before a suspension of this process closes no link at once", (t) => {
  const fixture = new Fixture();
  const link = fixture.add("c", true);
  fixture.wait(60_000);
  t.is(fixture.table.noteSilence(link), "doubted");
  fixture.wait(linkCheckIntervalMs);
  t.is(fixture.table.noteSilence(link), undefined);
});

test("a replaced link stays open until no request waits on it and the peer has replaced it, too", (t) => {
  const fixture = new Fixture();
  const old = fixture.add("c", true);
  old.isIdle = false;
  fixture.wait(1_000);
  fixture.table.noteSilence(old);
  const replacement = fixture.add("c", true);
  t.is(fixture.table.getUsable("c"), replacement);
  fixture.receive(old);
  t.deepEqual(fixture.table.takeResumed(), []);
  t.is(fixture.table.getUsable("c"), replacement);
  fixture.table.noteStatement(old, "retired");
  t.deepEqual(fixture.table.getFinished(), []);
  old.isIdle = true;
  t.deepEqual(fixture.table.getFinished(), [old]);
  t.false(fixture.table.remove(old));
  t.is(fixture.table.getUsable("c"), replacement);
});

test("a replaced link that carries nothing is closed even if the peer does not confirm it", (t) => {
  const fixture = new Fixture();
  const old = fixture.add("c", true);
  fixture.wait(1_000);
  fixture.add("c", true);
  t.deepEqual(fixture.table.getFinished(), []);
  fixture.wait(maxSilenceMs);
  t.deepEqual(fixture.table.getFinished(), [old]);
});

test("a replaced link that stays silent is closed although requests wait on it", (t) => {
  const fixture = new Fixture();
  const old = fixture.add("c", true);
  old.isIdle = false;
  fixture.wait(1_000);
  fixture.table.noteSilence(old);
  fixture.add("c", true);
  fixture.wait(maxSilenceMs);
  t.is(fixture.table.noteSilence(old), "expired");
});

// Guards against a peer that hears nothing on a link and whose new link is refused, since this side hears the peer.
test("a link that the peer dialled later replaces one that this side does not doubt", (t) => {
  const fixture = new Fixture();
  fixture.add("c", true);
  fixture.wait(2_000);
  const dialledByPeer = fixture.add("c", false);
  t.is(fixture.table.getUsable("c"), dialledByPeer);
});

for (const first of ["dialled", "accepted"]) {
  test(`of two links that both sides dialled at the same time the same one remains on both (${first} first)`, (t) => {
    const isDialledFirst = first === "dialled";
    for (const name of ["a", "c"]) {
      const fixture = new Fixture();
      const links = [fixture.add(name, isDialledFirst, 0)];
      fixture.wait(5);
      links.push(fixture.add(name, !isDialledFirst, 0));
      // Of a and b, a dials; of b and c, b dials.
      t.is(fixture.table.getUsable(name)?.isDialled, name === "c");
      t.is(links.filter((link) => fixture.table.isRetired(link)).length, 1);
    }
  });
}

// Guards against a dead link that is replaced later since only the peer notices that nothing arrives.
test("a link that the peer doubts needs a replacement at once, until the peer uses it again", (t) => {
  const fixture = new Fixture();
  const link = fixture.add("c", true);
  t.is(fixture.table.getUnusableSinceMs("c"), undefined);
  fixture.wait(1_000);
  fixture.table.noteStatement(link, "doubted");
  t.is(fixture.table.getUnusableSinceMs("c"), fixture.nowMs);
  t.is(fixture.table.getUsable("c"), link);
  fixture.table.noteStatement(link, "used");
  t.is(fixture.table.getUnusableSinceMs("c"), undefined);
});

test("the close of a link counts as a loss only if the peer counted as linked because of it", (t) => {
  const fixture = new Fixture();
  const old = fixture.add("c", true);
  fixture.wait(1_000);
  fixture.table.noteSilence(old);
  const replacement = fixture.add("c", true);
  t.false(fixture.table.remove(old));
  t.true(fixture.table.remove(replacement));
  const doubted = fixture.add("c", true);
  fixture.wait(1_000);
  fixture.table.noteSilence(doubted);
  t.false(fixture.table.remove(doubted));
  t.false(fixture.table.hasOpen("c"));
});
