/** The clock counts suspensions but no jumps of the wall clock, and errs on the side of too much time if it can't distinguish the two. */
import test from "ava";
import { utils } from "../index.js";

/** A simulated machine whose steady clock stops while it is suspended. */
class Machine {
  private _steadyMs = 5_000;
  private _wallMs = 1_700_000_000_000;
  private _uptimeMs = 90_000;
  /** Speed of the uptime relative to the steady clock; 1 if it is reliable. */
  uptimeRate = 1;
  readonly clock = new utils.ElapsedClock({
    steadyMs: () => this._steadyMs,
    wallMs: () => this._wallMs,
    uptimeMs: () => Math.floor(this._uptimeMs / 10) * 10,
  });

  /** Lets time pass and reads the clock every `stepMs`. */
  run(durationMs: number, stepMs = 40): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      this._steadyMs += stepMs;
      this._wallMs += stepMs;
      this._uptimeMs += stepMs * this.uptimeRate;
      this.clock.nowMs();
    }
  }

  suspend(durationMs: number): void {
    this._wallMs += durationMs;
    this._uptimeMs += durationMs;
  }

  /** Suspends the process while the machine continues. */
  pauseProcess(durationMs: number): void {
    this._steadyMs += durationMs;
    this._wallMs += durationMs;
    this._uptimeMs += durationMs * this.uptimeRate;
  }

  shiftWallClock(byMs: number): void {
    this._wallMs += byMs;
  }

  /** Returns the time that the clock counts during an event. */
  measure(runEvent: () => void): number {
    const beforeMs = this.clock.nowMs();
    runEvent();
    return this.clock.nowMs() - beforeMs;
  }
}

test("a suspension counts in full at the first reading after it", (t) => {
  const machine = new Machine();
  machine.run(3_000);
  t.is(
    machine.measure(() => machine.suspend(6_000)),
    6_000,
  );
  t.is(
    machine.measure(() => machine.run(3_000)),
    3_000,
  );
});

test("a suspension right after the start counts as well", (t) => {
  const machine = new Machine();
  machine.run(80);
  t.is(
    machine.measure(() => machine.suspend(6_000)),
    6_000,
  );
});

test("a pause of the process counts once", (t) => {
  const machine = new Machine();
  machine.run(3_000);
  t.is(
    machine.measure(() => machine.pauseProcess(6_000)),
    6_000,
  );
});

test("a jump of the wall clock does not count as elapsed time in either direction", (t) => {
  const machine = new Machine();
  machine.run(3_000);
  for (const byMs of [2_000, -2_000, 3_600_000, -3_600_000]) {
    t.is(
      machine.measure(() => machine.shiftWallClock(byMs)),
      0,
      `${byMs} ms`,
    );
    machine.run(500);
  }
  t.is(
    machine.measure(() => machine.run(2_000)),
    2_000,
  );
});

test("a suspension also counts if the wall clock is set back during it", (t) => {
  const machine = new Machine();
  machine.run(3_000);
  const elapsedMs = machine.measure(() => {
    machine.suspend(4_000);
    machine.shiftWallClock(-4_000);
    machine.run(80);
  });
  t.true(Math.abs(elapsedMs - 4_080) <= 20, `${elapsedMs} ms`);
});

for (const uptimeRate of [0.3, 0.9, 1.8]) {
  test(`with an uptime that runs ${uptimeRate} times as fast as the steady clock, only forward wall clock jumps count`, (t) => {
    const machine = new Machine();
    machine.uptimeRate = uptimeRate;
    machine.run(20_000);
    t.is(machine.clock.lostMs, 0);
    t.is(
      machine.measure(() => machine.suspend(4_000)),
      4_000,
    );
    t.is(
      machine.measure(() => machine.shiftWallClock(-2_000)),
      0,
    );
    t.is(
      machine.measure(() => machine.run(4_000)),
      4_000,
    );
  });
}

test("gradual adjustments of the wall clock do not count as elapsed time", (t) => {
  const machine = new Machine();
  machine.run(3_000);
  const elapsedMs = machine.measure(() => {
    for (let step = 0; step < 100; step++) {
      machine.shiftWallClock(5);
      machine.run(40);
    }
  });
  t.is(elapsedMs, 4_000);
});

test("the clock never goes back", (t) => {
  const machine = new Machine();
  let lastMs = machine.clock.nowMs();
  for (const runEvent of [
    () => machine.run(2_000),
    () => machine.shiftWallClock(-50_000),
    () => machine.suspend(300),
    () => machine.shiftWallClock(50_000),
    () => machine.pauseProcess(1_000),
  ]) {
    runEvent();
    const nowMs = machine.clock.nowMs();
    t.true(nowMs >= lastMs);
    lastMs = nowMs;
  }
});
