/** The retries of all instances together stay within the budget under random schedules of starts and ends of processes. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { RetryFleet, stepMs } from "./RetryFleet.js";

const options = { ratio: 0.2, slack: 200, windowMs: 10_000 };
const stepsPerWindow = options.windowMs / stepMs;
/** Seeds by number of instances; large fleets take longer. */
const seeds: readonly (readonly [instances: number, seeds: readonly number[]])[] = [
  [8, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]],
  [85, [1, 2]],
  [195, [1]],
];

/** Returns the largest use of the budget in any window, 1 being all that is allowed. */
function getLargestUse({ requests, retries }: RetryFleet): number {
  const uses = retries.map((_, step) => {
    const count = (values: readonly number[], lagSteps: number): number =>
      utils.getSum(
        values.slice(Math.max(0, step + 1 - stepsPerWindow - lagSteps), Math.max(0, step + 1 - lagSteps)),
      );
    const counted = Math.max(...[0, stepsPerWindow / 2, stepsPerWindow].map((lag) => count(requests, lag)));
    return count(retries, 0) / (options.ratio * counted + options.slack);
  });
  return Math.max(...uses);
}

for (const [instances, ownSeeds] of seeds) {
  // Guards against instances, or processes that replace each other, whose shares of the retry budget add up to more than the budget.
  test(`${instances} instances keep the retry budget while processes start and end at random`, (t) => {
    for (const seed of ownSeeds) {
      const fleet = new RetryFleet(options, new utils.RandomSource(seed), instances, 4_000);
      fleet.run(30_000, "none");
      const undisturbedUse = getLargestUse(fleet);
      fleet.run(70_000, "processes");
      const use = getLargestUse(fleet);
      t.log(`seed ${seed}: ${undisturbedUse.toFixed(2)} of the budget at rest, ${use.toFixed(2)} at most`);
      t.true(use <= 1, `seed ${seed}: ${use}`);
    }
  });
}

for (const [instances, ownSeeds] of seeds) {
  // Guards against requests that pay for retries twice within a window, and retries that arrive after they have left the count.
  test(`${instances} instances keep the retry budget while failures begin suddenly, callers move and cuts hold up what is sent`, (t) => {
    for (const seed of ownSeeds) {
      const fleet = new RetryFleet(options, new utils.RandomSource(seed), instances, 4_000);
      fleet.run(30_000, "none");
      fleet.run(200_000, "all");
      const use = getLargestUse(fleet);
      t.log(`seed ${seed}: ${use.toFixed(2)} of the budget at most`);
      t.true(use <= 1, `seed ${seed}: ${use}`);
    }
  });
}
