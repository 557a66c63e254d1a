import { mock } from "node:test";
import test from "ava";
import { utils } from "../index.js";

const timeoutMs = 400;

test.before(() => mock.timers.enable({ apis: ["setTimeout"] }));
test.after(() => mock.timers.reset());

function createTimeout(options?: utils.IoTimeoutOptions) {
  const state = { expiries: 0 };
  const timeout = new utils.IoTimeout(timeoutMs, () => (state.expiries += 1), options);
  return { state, timeout };
}

test.serial("a timeout expires once", async (t) => {
  const { state } = createTimeout();
  mock.timers.tick(timeoutMs);
  await utils.yieldToEvents();
  mock.timers.tick(timeoutMs);
  await utils.yieldToEvents();
  t.is(state.expiries, 1);
});

test.serial("a timeout that is cleared while pending I/O is read does not expire", async (t) => {
  const { state, timeout } = createTimeout();
  mock.timers.tick(timeoutMs);
  timeout.clear();
  await utils.yieldToEvents();
  t.is(state.expiries, 0);
});
