/**
 * Pattern: engines of one chain are lost at once, and every stream that passes one of them stands still. Callers count an answer as late
 * after a pause of 200 ms, streams that live pause for 30 to 60 ms, a report of the first engine is 200 ms old. Zone of 20 instances with
 * 6 streams each, chains of 10 engines, 3 holders of each layer, as a zone of the fleets on the sheets has them.
 */
import { utils } from "@shedtiller/common";
import test from "ava";
import { SilentChains, type Loss, type SilentChainsOptions } from "./SilentChains.js";

const zone: SilentChainsOptions = {
  seed: 1,
  instances: 20,
  streamsPerInstance: 6,
  parts: 10,
  holders: 3,
  pauseMs: 38,
  pauseSpreadMs: 12,
  answerMs: 3,
  readAgainMs: 40,
};
const lossAtMs = 2_000;
const endMs = 4_000;
const allowedPauseMs = 200;

function playLoss(options: SilentChainsOptions, loss: Loss) {
  return play(options, (chains) => void chains.loseEngines(4, loss));
}

async function play(options: SilentChainsOptions, trouble: (chains: SilentChains) => void) {
  const chains = new SilentChains(options);
  await chains.run(lossAtMs);
  trouble(chains);
  await chains.run(endMs);
  chains.stop();
  return chains.getResult();
}

for (const seed of [1, 2, 3]) {
  for (const loss of ["resets", "dark"] as const) {
    test(`four engines of a chain are lost (${loss}, seed ${seed}): nine in ten of their streams go on in time`, async (t) => {
      const result = await playLoss({ ...zone, seed }, loss);
      t.true(result.lostPausesMs.length > 40, `${result.lostPausesMs.length} streams`);
      t.true(
        utils.getQuantile(result.lostPausesMs, 0.5) < 160,
        `median ${utils.getQuantile(result.lostPausesMs, 0.5)}`,
      );
      t.true(
        utils.getQuantile(result.lostPausesMs, 0.9) < allowedPauseMs,
        `p90 ${utils.getQuantile(result.lostPausesMs, 0.9)}`,
      );
      t.deepEqual(result.wronglySuspected, []);
      t.is(result.moves, result.lostPausesMs.length, "each is moved once, and no other one");
      t.is(result.abandoned, 0);
      t.true(Math.max(...result.otherPausesMs) < 100);
    });
  }
}

test("engines that become eight times slower at once are asked, and neither suspected nor left", async (t) => {
  const result = await play(zone, (chains) => chains.slowDown(8));
  t.deepEqual(result.wronglySuspected, []);
  t.is(result.moves, 0);
  t.is(result.abandoned, 0);
  // 30 engines, 20 instances, 2 s: not more than three questions of each in that time.
  t.true(result.questions < 30 * 20 * 3, `${result.questions} questions`);
});

test("an instance that stood still takes its own pause for no engine's", async (t) => {
  const result = await play(zone, (chains) => chains.freeze(0, 700));
  t.deepEqual(result.wronglySuspected, []);
  t.is(result.moves, 0);
});

test("work with pauses of 120 ms, once they are known, leads to no questions of engines that live", async (t) => {
  let asked = 0;
  const slower = { ...zone, pauseMs: 120, pauseSpreadMs: 20 };
  const result = await play(slower, (chains) => (asked = chains.getResult().questions));
  t.is(result.questions, asked);
  t.is(result.moves, 0);
  t.deepEqual(result.wronglySuspected, []);
});
