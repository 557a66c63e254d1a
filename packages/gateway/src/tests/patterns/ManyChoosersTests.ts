/**
 * Pattern: all instances of a zone choose chains at the same moment, on loads that are 0.2 to 0.4 s old, so all that begins within that
 * time may pass the same engine. Zones, accelerators, instances and arrivals are those of a fleet of 195 instances at its stated load.
 */
import { utils } from "@shedtiller/common";
import test from "ava";
import { largeProfile, largeZones } from "./largeFleet.js";
import { ManyChoosers, type ManyChoosersResult } from "./ManyChoosers.js";

const durationMs = 20_000;
/** More than a burst of users brings, so that engines do get full. */
const overload = 1.5;

function play(zone: (typeof largeZones)[number], load: number, areRefusalsTold: boolean): ManyChoosersResult {
  const requestsPerSecond = zone.requestsPerSecond * load;
  const options = { ...zone, profile: largeProfile, requestsPerSecond, durationMs, seed: 1, areRefusalsTold };
  return new ManyChoosers(options).run();
}

for (const zone of largeZones) {
  test(`engines of a ${zone.name} zone at its stated load refuse under 1 in 100 requests, and all find a chain`, (t) => {
    const result = play(zone, 1, true);
    t.true(result.requests > 900, `${result.requests} requests`);
    t.true(result.refused < result.requests / 100, `${result.refused} refused`);
    t.is(result.withoutChain, 0);
    // Where prompts wait, 17 in 100 first events and more are late; 15 in 100 requests began there while only room and speed counted.
    t.true(result.queued < result.requests / 20, `${result.queued} began where prompts wait`);
    // Six tokens an event and an aim of 300 ms for pauses leave 50 ms a token.
    t.true(result.tokenMs < 25, `${result.tokenMs} ms a token`);
  });

  test(`in a ${zone.name} zone with too many requests, refusals that are told to all save most of the sends in vain`, (t) => {
    const alone = play(zone, overload, false);
    const told = play(zone, overload, true);
    t.true(told.refused < alone.refused / 3, `${told.refused} refused instead of ${alone.refused}`);
    // Who finds no chain waits for room, and is not lost; yet no room may stay unused for what peers tell.
    const getWithout = (result: ManyChoosersResult): number => result.refused + result.withoutChain;
    t.true(getWithout(told) < getWithout(alone) * 1.3, `${getWithout(told)} instead of ${getWithout(alone)}`);
  });
}

/** Callers that lost their answers come back beside those that come anyway. */
const returnRate = 2;
const blindSeeds = [1, 2, 3, 4];

/** Plays the first moments after a start of all, and gives the share of requests that engines refuse. */
function playBlind(getAssumed: (instances: number) => number): number {
  const results = largeZones.flatMap((zone) =>
    blindSeeds.map((seed) =>
      new ManyChoosers({
        ...zone,
        profile: largeProfile,
        requestsPerSecond: zone.requestsPerSecond * returnRate,
        durationMs: 1_200,
        blindMs: 900,
        assumedPeers: getAssumed(zone.instances),
        seed,
        areRefusalsTold: false,
      }).run(),
    ),
  );
  const refused = utils.getSum(results.map((result) => result.refused));
  return refused / utils.getSum(results.map((result) => result.requests));
}

// Pattern: all instances have lost power and start at once; nobody knows any load but its own for the first second, and callers come back
// twice as fast. On a day of 195 instances twelve engines refused 985 runs in that second, with room for 150,000 tokens in every zone.
test("instances that start at once take the others to be like themselves, and engines refuse under 1 in 100 requests", (t) => {
  const alone = playBlind(() => 0);
  const alike = playBlind((instances) => instances - 1);
  t.true(alike < 0.01, `${alike} refused`);
  t.true(alike < alone / 2, `${alike} refused instead of ${alone}`);
});
