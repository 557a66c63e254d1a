/** The retries of all instances together stay within the budget of the deployment, even if all instances restart. */
import test from "ava";
import { RetryBudgets } from "../../requests/RetryBudgets.js";

const options = { ratio: 0.2, slack: 200, windowMs: 10_000 };

/** Withdraws retries until the budget is exhausted; returns their number. */
function exhaust(budgets: RetryBudgets): number {
  let withdrawn = 0;
  while (budgets.tryWithdraw("s")) withdrawn += 1;
  return withdrawn;
}

interface Fleet {
  /** Number of instances that a process knows. */
  instances: number;
  readonly clock: { nowMs: number };
  readonly slack?: number;
}

/** Creates the budgets of a new process, which knows the instances at once. */
function start(fleet: Fleet): RetryBudgets {
  const { clock } = fleet;
  const sinceMs = clock.nowMs;
  return new RetryBudgets(
    { ...options, slack: fleet.slack ?? options.slack },
    { nowMs: () => clock.nowMs, getSharing: () => ({ count: fleet.instances, sinceMs }) },
  );
}

/** Creates the budgets of a process that has run for a whole window. */
function create(fleet: Fleet): RetryBudgets {
  const budgets = start(fleet);
  exhaust(budgets);
  fleet.clock.nowMs += options.windowMs;
  return budgets;
}

/** Records requests at a constant rate, and advances the time. */
function addRequests(
  budgets: RetryBudgets,
  clock: Fleet["clock"],
  perWindow: number,
  durationMs: number,
): void {
  const endMs = clock.nowMs + durationMs;
  for (; clock.nowMs < endMs; clock.nowMs += options.windowMs / perWindow) budgets.recordRequest("s");
}

test("eight instances that exhaust their shares, restart and exhaust them again stay within ratio and slack", (t) => {
  const instances = 8;
  const requestsEach = 100;
  let retries = 0;
  for (let instance = 0; instance < instances; instance++) {
    for (const life of ["before", "after"]) {
      const budgets = create({ instances, clock: { nowMs: 0 } });
      for (let request = 0; request < requestsEach / 2; request++) budgets.recordRequest("s");
      retries += exhaust(budgets);
      t.true(retries > 0, life);
    }
  }
  t.true(retries <= options.ratio * requestsEach * instances + options.slack, `${retries} retries`);
});

// Guards against a share of the slack that each new process has at once.
test("processes that replace each other in series use a part of the slack once, however many they are", (t) => {
  const instances = 8;
  for (const livesMs of [[5_000], [2_500, 2_500], Array.from({ length: 50 }, () => 200)]) {
    const clock = { nowMs: 0 };
    let retries = exhaust(create({ instances, clock }));
    for (const lifeMs of livesMs) {
      const budgets = start({ instances, clock });
      const endsMs = clock.nowMs + lifeMs;
      for (; clock.nowMs < endsMs; clock.nowMs += 100) retries += exhaust(budgets);
    }
    t.true(retries <= options.slack / instances, `${livesMs.length} processes: ${retries} retries`);
  }
});

// Guards against a reload of the settings that gives a process its share of the slack a second time.
test("a change of the length of the window does not renew the slack", (t) => {
  const budgets = create({ instances: 8, clock: { nowMs: 0 } });
  t.is(exhaust(budgets), 15);
  budgets.setOptions({ ...options, windowMs: 5_000 });
  t.is(exhaust(budgets), 0);
});

test("a change in the number of instances does not renew the budget", (t) => {
  const fleet = { instances: 8, clock: { nowMs: 0 } };
  const budgets = create(fleet);
  exhaust(budgets);
  fleet.instances = 4;
  t.is(exhaust(budgets), 0);
});

test("an instance of a large fleet that has run for a window can retry its first request", (t) => {
  const budgets = create({ instances: 85, clock: { nowMs: 0 }, slack: 354 });
  budgets.recordRequest("s");
  t.true(budgets.tryWithdraw("s"));
});

for (const instances of [1, 8, 85, 340]) {
  test(`${instances} instances that exhaust their shares and restart within a window stay within the budget`, (t) => {
    const clock = { nowMs: 0 };
    let retries = 0;
    for (let instance = 0; instance < instances; instance++) {
      clock.nowMs = 0;
      const before = start({ instances, clock });
      before.recordRequest("s");
      // The instance uses no retries until the window begins.
      clock.nowMs = 10 * options.windowMs;
      retries += exhaust(before);
      clock.nowMs += options.windowMs / 2;
      retries += exhaust(before);
      const after = start({ instances, clock });
      after.recordRequest("s");
      clock.nowMs += options.windowMs / 2;
      retries += exhaust(after);
    }
    t.true(retries <= options.slack + options.ratio * 2 * instances, `${retries} retries`);
  });
}

test("an instance of a large fleet may use its share of a window at once, since engines reject requests in bursts", (t) => {
  const clock = { nowMs: 0 };
  const budgets = start({ instances: 195, clock, slack: 574 });
  // 1.2 requests per second for two windows allow 0.2 times 11 retries, plus 0.6 of 574 / 195.
  for (; clock.nowMs < 2 * options.windowMs; clock.nowMs += 833) budgets.recordRequest("s");
  t.is(exhaust(budgets), 3);
  clock.nowMs += options.windowMs * 1.1;
  t.is(exhaust(budgets), 1, "neither the requests nor the retries are in the window any more");
});

test("an instance that does not know all others has its requests' ratio only", (t) => {
  const clock = { nowMs: 0 };
  const budgets = new RetryBudgets(options, { nowMs: () => clock.nowMs, getSharing: () => undefined });
  clock.nowMs += 10 * options.windowMs;
  t.is(exhaust(budgets), 0);
  addRequests(budgets, clock, 100, 2 * options.windowMs);
  t.is(exhaust(budgets), 19);
});

// Guards against processes or instances that take over callers within a window and pay with the same callers' requests once more.
test("requests pay for retries only after a process has had as many for a window", (t) => {
  const clock = { nowMs: 0 };
  const budgets = new RetryBudgets(options, { nowMs: () => clock.nowMs, getSharing: () => undefined });
  addRequests(budgets, clock, 100, options.windowMs);
  t.is(exhaust(budgets), 0);
  addRequests(budgets, clock, 100, options.windowMs);
  t.is(exhaust(budgets), 19);
});

test("requests pay for retries until a window after the last one", (t) => {
  const clock = { nowMs: 0 };
  const budgets = new RetryBudgets(options, { nowMs: () => clock.nowMs, getSharing: () => undefined });
  addRequests(budgets, clock, 100, 3 * options.windowMs);
  clock.nowMs += options.windowMs / 2;
  t.is(exhaust(budgets), 9, "half of the requests of a window");
  clock.nowMs += 1.1 * options.windowMs;
  t.is(exhaust(budgets), 0);
});

// Guards against retries that a cut holds up until they have left the count, and that arrive together with later ones.
test("a retry counts for a window from its arrival", (t) => {
  const clock = { nowMs: 0 };
  const budgets = create({ instances: 8, clock });
  const permits = Array.from({ length: 15 }, () => budgets.tryReserve("s"));
  for (const permit of permits) permit?.use();
  clock.nowMs += 3 * options.windowMs;
  t.is(exhaust(budgets), 0, "none has arrived");
  for (const permit of permits) permit?.end();
  clock.nowMs += 0.9 * options.windowMs;
  t.is(exhaust(budgets), 0);
  clock.nowMs += 0.2 * options.windowMs;
  t.is(exhaust(budgets), 15);
});

test("the shares of instances that left are redistributed only after a window", (t) => {
  const clock = { nowMs: 0 };
  const fleet = { instances: 8, clock };
  const budgets = create(fleet);
  t.is(exhaust(budgets), 15);
  fleet.instances = 4;
  t.is(exhaust(budgets), 0);
  clock.nowMs += options.windowMs * 0.9;
  t.is(exhaust(budgets), 0);
  clock.nowMs += options.windowMs;
  t.is(exhaust(budgets), 30);
});

// Guards against retries that are granted in several windows, wait for room and arrive in one.
test("retries that are sent together keep the budget, whenever they were granted", (t) => {
  const clock = { nowMs: 0 };
  const budgets = create({ instances: 1, clock });
  const permits = [];
  for (let window = 0; window < 3; window++) {
    for (let permit = budgets.tryReserve("s"); permit; permit = budgets.tryReserve("s")) permits.push(permit);
    clock.nowMs += 1.1 * options.windowMs;
  }
  for (const permit of permits) {
    permit.use();
    permit.end();
  }
  t.is(permits.length + exhaust(budgets), 0.6 * options.slack);
});

test("a granted retry that is not sent returns to the budget, and one that was sent does not", (t) => {
  const budgets = create({ instances: 100, clock: { nowMs: 0 } });
  const unsent = budgets.tryReserve("s");
  t.false(budgets.tryWithdraw("s"));
  unsent?.release();
  const sent = budgets.tryReserve("s");
  sent?.use();
  sent?.release();
  t.is(exhaust(budgets), 0);
  sent?.end();
  sent?.end();
  t.is(exhaust(budgets), 0);
});
