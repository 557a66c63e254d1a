import { mock } from "node:test";
import test from "ava";
import { utils } from "../index.js";

const timeoutMs = 400;

test.before(() => mock.timers.enable({ apis: ["setTimeout"] }));
test.after(() => mock.timers.reset());

function createTimeout(options?: utils.IoTimeoutOptions) {
  const state = { expiries: 0, nowMs: 0 };
  const timeout = new utils.IoTimeout(timeoutMs, () => (state.expiries += 1), {
    nowMs: () => state.nowMs,
    ...options,
  });
  /** Lets timers that are due within `durationMs` fire at the end of this time, as after a pause that took the rest of it. */
  const pass = async (durationMs: number): Promise<void> => {
    state.nowMs += durationMs;
    mock.timers.tick(durationMs);
    await utils.yieldToEvents();
  };
  return { state, timeout, pass };
}

test.serial("a timeout expires once", async (t) => {
  const { state, pass } = createTimeout();
  await pass(timeoutMs);
  await pass(timeoutMs);
  t.is(state.expiries, 1);
});

test.serial("a timeout that is cleared while pending I/O is read does not expire", async (t) => {
  const { state, timeout } = createTimeout();
  mock.timers.tick(timeoutMs);
  timeout.clear();
  await utils.yieldToEvents();
  t.is(state.expiries, 0);
});

test.serial(
  "a timeout that excludes pauses waits once more for as long as a pause took, and not twice",
  async (t) => {
    const { state, pass } = createTimeout({ isPauseExcluded: true });
    await pass(timeoutMs + 300);
    t.is(state.expiries, 0);
    await pass(299);
    t.is(state.expiries, 0);
    await pass(1 + 300);
    t.is(state.expiries, 1);
  },
);

test.serial("a pause of hours extends a timeout by no more than the timeout itself", async (t) => {
  const { state, pass } = createTimeout({ isPauseExcluded: true });
  await pass(timeoutMs + 3_600_000);
  await pass(timeoutMs);
  t.is(state.expiries, 1);
});

test.serial("a timeout without pauses is not extended, and one that counts pauses never is", async (t) => {
  const punctual = createTimeout({ isPauseExcluded: true });
  await punctual.pass(timeoutMs);
  const counting = createTimeout();
  await counting.pass(timeoutMs + 300);
  t.deepEqual([punctual.state.expiries, counting.state.expiries], [1, 1]);
});
