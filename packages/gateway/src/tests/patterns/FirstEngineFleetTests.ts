/**
 * Guards against streams that all begin at one engine: its loss cuts each of them, since a stream can move to other engines except for its
 * first one. Where the engines of a zone differ much in speed, the cheapest chains of all instances begin at the same one.
 */
import test from "ava";
import { ChainChoosingFleet, type ChainChoosingFleetResult } from "./ChainChoosingFleet.js";
import { largeProfile, largeZones } from "./largeFleet.js";
import { unevenZones, type UnevenZone } from "./unevenFleet.js";

const durationMs = 13_000;
/** The rates of the zones are what their engines can serve; this is their usual load in relation to it. */
const usualLoad = 0.6;
/** How much longer a token may take, by load. With time to spare it may be up to the longest detour that a choice accepts. */
const maxSlowdowns = new Map([
  [1, 1.1],
  [usualLoad, 1.2],
]);

function simulate(
  zone: UnevenZone,
  load: number,
  areFirstEnginesBounded: boolean,
  areFirstEnginesEqualized = false,
): ChainChoosingFleetResult {
  const requestsPerSecond = zone.requestsPerSecond * load;
  const options = { ...zone, requestsPerSecond, durationMs, seed: 1, areRefusalsBroadcast: true };
  return new ChainChoosingFleet({ ...options, areFirstEnginesBounded, areFirstEnginesEqualized }).run();
}

for (const zone of unevenZones) {
  test(`the streams of a zone with ${zone.name} do not all begin at one engine, and take hardly more time per token`, (t) => {
    const alone = simulate(zone, 1, false);
    const bounded = simulate(zone, 1, true);
    t.true(
      bounded.busiestShare < 0.6,
      `${bounded.busiestShare} of the streams, ${alone.busiestShare} without`,
    );
    t.true(
      bounded.tokenMs < alone.tokenMs * 1.1,
      `${bounded.tokenMs} ms per token, ${alone.tokenMs} without`,
    );
    t.true(bounded.refused < bounded.requests / 50, `${bounded.refused} rejected`);
    t.is(bounded.withoutChain, 0);
  });
}

for (const zone of largeZones) {
  test(`in a ${zone.name} zone of a large fleet the busiest first engine begins fewer streams, and prompts queue no more`, (t) => {
    const largeZone = { ...zone, profile: largeProfile };
    for (const [load, maxSlowdown] of maxSlowdowns) {
      const alone = simulate(largeZone, load, false);
      const bounded = simulate(largeZone, load, true);
      t.true(
        bounded.busiestShare < alone.busiestShare,
        `${bounded.busiestShare}, ${alone.busiestShare} without`,
      );
      t.true(
        bounded.tokenMs < alone.tokenMs * maxSlowdown,
        `${bounded.tokenMs} ms, ${alone.tokenMs} without`,
      );
      t.true(bounded.queued < bounded.requests / 20, `${bounded.queued} began where prompts queue`);
    }
  });
}

test("a placement with equal first engines lowers the share of the busiest one at about the same time per token", (t) => {
  let before = 0;
  let after = 0;
  for (const zone of unevenZones) {
    const unequal = simulate(zone, 1, true);
    const equal = simulate(zone, 1, true, true);
    before += unequal.busiestShare;
    after += equal.busiestShare;
    t.true(
      equal.tokenMs < unequal.tokenMs * 1.1,
      `${zone.name}: ${equal.tokenMs} ms, ${unequal.tokenMs} before`,
    );
    t.is(equal.withoutChain, 0, zone.name);
  }
  t.true(
    after < before * 0.85,
    `${after / unevenZones.length} of the streams, ${before / unevenZones.length} before`,
  );
});

for (const zone of largeZones) {
  test(`a placement with equal first engines does not make the chains of a ${zone.name} zone of a large fleet longer`, (t) => {
    const largeZone = { ...zone, profile: largeProfile };
    const unequal = simulate(largeZone, 1, true);
    const equal = simulate(largeZone, 1, true, true);
    t.true(
      equal.chainLength < unequal.chainLength * 1.02,
      `${equal.chainLength}, ${unequal.chainLength} before`,
    );
    // Four first engines share the streams before as after.
    t.true(equal.busiestShare < 0.35, `${equal.busiestShare}, ${unequal.busiestShare} before`);
  });
}
