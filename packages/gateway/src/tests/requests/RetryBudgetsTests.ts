/** The shares of all instances stay inside the budget of the deployment, also over a restart of all. */
import test from "ava";
import { RetryBudgets } from "../../requests/RetryBudgets.js";

const options = { ratio: 0.2, slack: 200, windowMs: 10_000 };

function drain(budgets: RetryBudgets): number {
  let taken = 0;
  while (budgets.tryTake("s")) taken += 1;
  return taken;
}

function create(instances: number): RetryBudgets {
  const budgets = new RetryBudgets(options, () => 0);
  budgets.setInstanceCount(instances);
  return budgets;
}

test("eight instances that use all they have, restart, and use all again stay below ratio and slack", (t) => {
  const instances = 8;
  const requestsEach = 100;
  let retries = 0;
  for (let instance = 0; instance < instances; instance++) {
    for (const life of ["before", "after"]) {
      const budgets = create(instances);
      for (let request = 0; request < requestsEach / 2; request++) budgets.recordRequest("s");
      retries += drain(budgets);
      t.true(retries > 0, life);
    }
  }
  t.true(retries <= options.ratio * requestsEach * instances + options.slack, `${retries} retries`);
});

test("a change of the number of instances gives no new budget", (t) => {
  const budgets = create(8);
  drain(budgets);
  budgets.setInstanceCount(4);
  t.is(drain(budgets), 0);
});

test("an instance of a large fleet can retry its first request", (t) => {
  const budgets = new RetryBudgets({ ...options, slack: 354 }, () => 0);
  budgets.setInstanceCount(85);
  budgets.recordRequest("s");
  t.true(budgets.tryTake("s"));
});

for (const instances of [1, 8, 85, 340]) {
  test(`${instances} instances that use all they get over a window, and restart in it, stay inside`, (t) => {
    const clock = { nowMs: 0 };
    let retries = 0;
    for (let instance = 0; instance < instances; instance++) {
      clock.nowMs = 0;
      const before = new RetryBudgets(options, () => clock.nowMs);
      before.setInstanceCount(instances);
      before.recordRequest("s");
      // It saves up all that it may have, and the window begins.
      clock.nowMs = 10 * options.windowMs;
      retries += drain(before);
      clock.nowMs += options.windowMs / 2;
      retries += drain(before);
      const after = new RetryBudgets(options, () => clock.nowMs);
      after.setInstanceCount(instances);
      after.recordRequest("s");
      clock.nowMs += options.windowMs / 2;
      retries += drain(after);
    }
    t.true(retries <= options.slack + options.ratio * 2 * instances, `${retries} retries`);
  });
}

test("an instance of a large fleet may use its share of a window within a moment, since engines refuse in bursts", (t) => {
  const clock = { nowMs: 0 };
  const budgets = new RetryBudgets({ ...options, slack: 574 }, () => clock.nowMs);
  budgets.setInstanceCount(195);
  // 1.2 requests a second for one window: a share of 0.18 of 12, and half of 574 / 195.
  for (; clock.nowMs < options.windowMs; clock.nowMs += 833) budgets.recordRequest("s");
  t.is(drain(budgets), 3);
  clock.nowMs += options.windowMs * 1.1;
  t.is(drain(budgets), 1, "the requests have fallen out of the window, and the retries too");
});

test("parts of instances that left are shared out only after a window", (t) => {
  const clock = { nowMs: 0 };
  const budgets = new RetryBudgets(options, () => clock.nowMs);
  budgets.setInstanceCount(8);
  t.is(drain(budgets), 12);
  budgets.setInstanceCount(4);
  clock.nowMs += options.windowMs * 0.9;
  t.is(drain(budgets), 0);
  clock.nowMs += options.windowMs;
  t.is(drain(budgets), 25);
});
