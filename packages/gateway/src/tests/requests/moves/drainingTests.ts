/** Moves of streams off engines that are about to stop. */
import test from "ava";
import type { StreamAttempt } from "../../../requests/StreamAttempt.js";
import { EarlyMoveFixture } from "./EarlyMoveFixture.js";

const drainMs = 3_000;

/** Lets streams run for a time in which the monitor checks them every 200 ms. */
async function run(
  fixture: EarlyMoveFixture,
  durationMs: number,
  streams: readonly StreamAttempt[],
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 200) {
    fixture.pass(200, streams);
    await fixture.monitor.check();
  }
}

function drain(fixture: EarlyMoveFixture, id: string): void {
  fixture.endpoints.noteDraining(id);
}

test("pattern draining-engine: the streams that outlast a draining engine are moved before it stops, a few at a time", async (t) => {
  const fixture = new EarlyMoveFixture({ drainMs });
  fixture.measurePauses();
  const streams = ["r1", "r2", "r3", "r4"].map((id) => fixture.start(id));
  drain(fixture, "a3");
  await run(fixture, 1_400, streams);
  t.deepEqual(fixture.orders.chains, [], "streams that end soon are left alone");
  await run(fixture, 200, streams);
  t.is(fixture.orders.chains.length, 1);
  await run(fixture, 900, streams);
  for (const stream of streams) {
    t.is(stream.progress.moves, 1);
    t.not(fixture.getEngines(stream)[3], "a3");
    t.is(fixture.getEngines(stream)[2], "a2");
  }
});

test("a stream that ends before its engine stops is left alone, as is one whose first engine stops", async (t) => {
  const fixture = new EarlyMoveFixture({ drainMs });
  fixture.measurePauses();
  const ending = fixture.start("r1", "a", true, 40);
  // Half of its events came within 900 ms.
  ending.progress.events = 20;
  ending.progress.firstEventMs = fixture.clock.nowMs - 900;
  const first = fixture.start("r2", "b");
  drain(fixture, "a3");
  drain(fixture, "b0");
  await run(fixture, 1_400, [ending, first]);
  ending.progress.events = 36;
  await run(fixture, 200, [ending, first]);
  t.deepEqual(fixture.orders.chains, []);
  t.false(first.abort.signal.aborted);
});

test("an engine whose entry disappears while it works counts as draining", async (t) => {
  const fixture = new EarlyMoveFixture({ drainMs });
  fixture.measurePauses();
  const stream = fixture.start("r1");
  fixture.endpoints.apply([{ key: "a3", value: undefined }]);
  await run(fixture, 2_600, [stream]);
  t.is(stream.progress.moves, 1);
});

test("nothing is moved when most entries of a zone disappear, or when an entry reappears", async (t) => {
  const cut = new EarlyMoveFixture({ drainMs });
  const streams = [cut.start("r1"), cut.start("r2", "b")];
  const ids = ["a", "b"].flatMap((copy) => [0, 1, 2, 3, 4, 5].map((index) => `${copy}${index}`));
  cut.endpoints.apply(ids.map((key) => ({ key, value: undefined })));
  await run(cut, 2_800, streams);
  t.deepEqual(cut.orders.chains, []);
  const back = new EarlyMoveFixture({ drainMs });
  const stream = back.start("r1");
  const listed = back.endpoints.get("a3")?.listed;
  back.endpoints.apply([{ key: "a3", value: undefined }]);
  back.endpoints.apply([{ key: "a3", value: listed }]);
  await run(back, 2_800, [stream]);
  t.deepEqual(back.orders.chains, []);
});

test("without a known drain time nothing is moved off draining engines", async (t) => {
  const fixture = new EarlyMoveFixture();
  const stream = fixture.start("r1");
  drain(fixture, "a3");
  await run(fixture, 2_800, [stream]);
  t.deepEqual(fixture.orders.chains, []);
});
