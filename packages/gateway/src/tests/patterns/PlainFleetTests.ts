/** Patterns of load on few plain endpoints before many instances, by the fewest requests and by limited concurrency. */
import test from "ava";
import { PlainFleet, type Behaviour, type PlainFleetOptions } from "./PlainFleet.js";

const usual = { instances: 65, requestsPerSecond: 60, seed: 7, isControlled: true };
const warmUpMs = 6_000;
/** Time in which instances notice a change: answers of that time, and two reports. */
const noticeMs = 1_000;
const measuredMs = 10_000;

async function warmUp(changes: Partial<PlainFleetOptions> = {}): Promise<PlainFleet> {
  const fleet = new PlainFleet({ ...usual, ...changes });
  await fleet.run(warmUpMs);
  return fleet;
}

/** Returns the shares of late and failed requests while endpoint `a` deviates, and the share that it gets. */
async function measure(
  isControlled: boolean,
  behaviour: Behaviour,
): Promise<{ late: number; failed: number; share: number }> {
  const fleet = await warmUp({ isControlled });
  fleet.setBehaviour("a", behaviour);
  await fleet.run(noticeMs);
  const getShare = await fleet.run(measuredMs);
  const { requests, late, failed } = fleet.counts;
  return { late: late / requests, failed: failed / requests, share: getShare("a") };
}

test("one slow endpoint of three before 65 instances makes few requests late", async (t) => {
  const slow = { slowness: 12 };
  t.true(
    (await measure(false, slow)).late > 0.1,
    "the fewest requests alone send it more than it can answer",
  );
  const limited = await measure(true, slow);
  t.true(limited.late < 0.02);
  t.true(limited.share > 0, "trials go on");
});

test("one endpoint of three that hangs before 65 instances gets hardly any requests", async (t) => {
  const hanging = { hangs: true };
  t.true((await measure(false, hanging)).share > 0.08);
  t.true((await measure(true, hanging)).share < 0.02);
});

test("one endpoint of three that sheds a third before 65 instances sheds few requests", async (t) => {
  const shedding = { shedShare: 1 / 3 };
  t.true((await measure(false, shedding)).failed > 0.05);
  const limited = await measure(true, shedding);
  t.true(limited.failed < 0.02);
  t.true(limited.share > 0, "trials go on");
});

test("no endpoint is limited for a slowness that all share", async (t) => {
  const fleet = await warmUp();
  for (const id of ["a", "b", "c"]) fleet.setBehaviour(id, { slowness: 3 });
  await fleet.run(noticeMs);
  const getShare = await fleet.run(measuredMs);
  for (const id of ["a", "b", "c"]) t.true(getShare(id) > 0.25, `${id} has its share`);
  t.is(fleet.counts.withoutRoom, 0);
  t.is(fleet.counts.failed, 0);
});

test("all endpoints hang, and none is avoided for it", async (t) => {
  const fleet = await warmUp();
  for (const id of ["a", "b", "c"]) fleet.setBehaviour(id, { hangs: true });
  await fleet.run(noticeMs);
  for (const id of ["a", "b", "c"]) fleet.setBehaviour(id, {});
  await fleet.run(2 * noticeMs);
  await fleet.run(measuredMs);
  t.true(fleet.counts.failed < 0.01 * fleet.counts.requests);
  t.is(fleet.counts.withoutRoom, 0);
});

test("an endpoint that restarts has no record, and one that recovers gets its share again", async (t) => {
  const fleet = await warmUp();
  fleet.setBehaviour("a", { slowness: 12 });
  fleet.setBehaviour("b", { shedShare: 1 });
  await fleet.run(measuredMs);
  fleet.list(["d", "b", "c"]);
  fleet.setBehaviour("b", {});
  const getShareAtOnce = await fleet.run(2_000);
  t.true(getShareAtOnce("d") > 0.2);
  await fleet.run(measuredMs);
  const getShare = await fleet.run(measuredMs);
  t.true(getShare("b") > 0.2);
});

test("requests beyond the slots wait at the instances, so that the endpoints answer in time", async (t) => {
  const burst = { requestsPerSecond: 420 };
  const fewest = await warmUp({ ...burst, isControlled: false });
  await fewest.run(2_000);
  t.true(fewest.counts.queued > 0.8 * fewest.counts.answered, "nearly all wait at the endpoints");
  const limited = await warmUp(burst);
  await limited.run(2_000);
  t.true(limited.counts.queued < 0.1 * limited.counts.answered);
  t.true(limited.counts.answered > 0.8 * fewest.counts.answered, "the endpoints stay busy");
});

test("endpoints with three quarters of their slots in use get requests evenly", async (t) => {
  const busy = { requestsPerSecond: 300 };
  const fewest = await warmUp({ ...busy, isControlled: false });
  await fewest.run(3_000);
  t.true(fewest.counts.late > 0.2 * fewest.counts.requests, "all go to where few were a moment ago");
  const limited = await warmUp(busy);
  await limited.run(3_000);
  t.true(limited.counts.late < 0.02 * limited.counts.requests);
});

test("instances whose figures of the others lapse send by what they know themselves", async (t) => {
  const fleet = await warmUp();
  fleet.isExchanging = false;
  await fleet.run(3_000);
  const getShare = await fleet.run(measuredMs);
  t.is(fleet.counts.withoutRoom, 0);
  t.true(fleet.counts.late < 0.02 * fleet.counts.requests);
  for (const id of ["a", "b", "c"]) t.true(getShare(id) > 0.2);
});

test("a fleet with as many slots at an endpoint as instances chooses by the fewest requests as before", async (t) => {
  const fleets = [true, false].map((isControlled) => warmUp({ instances: 6, isControlled }));
  const [limited, fewest] = await Promise.all(fleets);
  t.deepEqual(limited?.counts, fewest?.counts);
  t.deepEqual(limited?.endpoints.get("a")?.arrivals, fewest?.endpoints.get("a")?.arrivals);
});
