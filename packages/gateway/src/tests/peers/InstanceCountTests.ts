/** The number of instances that divide the retry budget is not reported before all of them are known. */
import test from "ava";
import type { Member } from "@shedtiller/membership";
import { InstanceCount, settlingMs } from "../../peers/InstanceCount.js";

interface Peer {
  readonly name: string;
  readonly instances?: unknown;
}

/** Creates the count of instance `a`, with linked peers that the test changes. */
function create() {
  const clock = { nowMs: 1_000 };
  const peers: Peer[] = [];
  const getMembers = (): Member[] =>
    peers.map(({ name, instances }) => ({
      name,
      availabilityZone: "east",
      address: "",
      isLeaving: false,
      lostSinceMs: undefined,
      lostSinceMonotonicMs: 0,
      heartbeat: { instances },
    }));
  const fields = new Map<string, () => unknown>();
  const count = new InstanceCount({
    membership: {
      self: { name: "a", availabilityZone: "east" },
      getMembers,
      getLinked: getMembers,
      addHeartbeatField: (field, getValue) => fields.set(field, getValue),
    },
    nowMs: () => clock.nowMs,
  });
  return { count, clock, peers, getToldCount: () => fields.get("instances")?.() };
}

// Guards against an instance that takes the first list of a starting deployment for the whole one.
test("an instance that registers for the first time reports no number until others have had time to register", (t) => {
  const { count, clock, getToldCount } = create();
  count.noteFormerList([]);
  count.noteRegistered();
  count.noteList(["a"]);
  t.is(count.get(), undefined);
  t.is(getToldCount(), 0);
  clock.nowMs += settlingMs - 1;
  count.noteList(["a", "b"]);
  t.is(count.get(), undefined);
  clock.nowMs += 1;
  count.noteList(["a", "b", "c"]);
  t.deepEqual(count.get(), { count: 3, sinceMs: clock.nowMs });
  t.is(getToldCount(), 3);
});

test("an instance whose earlier process is listed knows all others with the first list", (t) => {
  const { count, clock } = create();
  count.noteFormerList(["a", "b", "c"]);
  t.deepEqual(count.get(), { count: 3, sinceMs: clock.nowMs });
});

test("an instance that has not reached the registry reports no number", (t) => {
  const { count, clock, peers } = create();
  peers.push({ name: "b", instances: 8 });
  clock.nowMs += 2 * settlingMs;
  t.is(count.get(), undefined);
});

test("instances that join later count as soon as they are linked or as a linked peer knows them", (t) => {
  const { count, peers } = create();
  count.noteFormerList(["a", "b"]);
  peers.push({ name: "c" });
  t.is(count.get()?.count, 3);
  peers.push({ name: "b", instances: 7 });
  t.is(count.get()?.count, 7);
  peers.push({ name: "d", instances: "9" });
  t.is(count.get()?.count, 7, "a number that can't be read does not count");
});
