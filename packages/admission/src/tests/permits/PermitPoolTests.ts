/** Tests that a pool grants permits within its limit, fairly, and to waiting requests first. */
import test from "ava";
import { PermitPool } from "../../permits/PermitPool.js";

const tickMs = 100;
const maxGrant = 1_000;

class Fixture {
  nowMs = 0;
  readonly pool: PermitPool;

  constructor(perSecond: number) {
    this.pool = new PermitPool(perSecond, () => this.nowMs);
  }

  /** Advances the clock while each participant demands permits at each tick, and returns the permits granted to each. */
  run(
    durationMs: number,
    demands: Readonly<Record<string, { count: number; waiting: number }>>,
  ): Map<string, number> {
    const granted = new Map<string, number>();
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += tickMs;
      this.pool.fill(1);
      for (const [name, demand] of Object.entries(demands)) {
        this.pool.setDemand(name, demand);
        const count = this.pool.grant(name, maxGrant);
        this.pool.settle(count, 0);
        granted.set(name, (granted.get(name) ?? 0) + count);
      }
    }
    return granted;
  }
}

const busy = { count: 10, waiting: 10 };

test("nearly as many permits are granted as the limit allows, and no more", (t) => {
  const granted = new Fixture(10).run(20_000, { a: busy }).get("a") ?? 0;
  t.true(granted <= 200 && granted >= 180, String(granted));
});

test("permits without demand do not accumulate", (t) => {
  const fixture = new Fixture(10);
  fixture.run(20_000, {});
  t.true((fixture.run(tickMs, { a: busy }).get("a") ?? 0) <= 2);
});

test("after a suspension a pool does not grant the permits of all of that time", (t) => {
  const fixture = new Fixture(10);
  fixture.run(1_000, { a: busy });
  fixture.nowMs += 60_000;
  t.true((fixture.run(tickMs, { a: busy }).get("a") ?? 0) <= 6);
});

test("permits are shared by demand, and a participant with little demand is not starved", (t) => {
  const granted = new Fixture(10).run(20_000, { a: { count: 9, waiting: 0 }, b: { count: 1, waiting: 0 } });
  const [a = 0, b = 0] = [granted.get("a"), granted.get("b")];
  t.true(a > 4 * b, `${a} and ${b}`);
  t.true(b >= 10, String(b));
});

test("waiting requests are granted permits before expected requests", (t) => {
  const granted = new Fixture(2).run(10_000, { a: { count: 5, waiting: 0 }, b: { count: 5, waiting: 5 } });
  t.is(granted.get("a"), 0);
});

test("outstanding permits that are not reported as used block further grants for a while", (t) => {
  const fixture = new Fixture(4);
  const demand = { count: 5, waiting: 0 };
  let granted = 0;
  const request = (): void => {
    fixture.nowMs += tickMs;
    fixture.pool.fill(1);
    fixture.pool.setDemand("a", demand);
    granted += fixture.pool.grant("a", maxGrant);
  };
  for (let tick = 0; tick < 10; tick++) request();
  t.true(granted <= 2, String(granted));
  for (let tick = 0; tick < 20; tick++) request();
  t.true(granted >= 2);
});

test("returned permits are granted again", (t) => {
  const fixture = new Fixture(1);
  fixture.run(1_500, {});
  fixture.pool.setDemand("a", { count: 1, waiting: 0 });
  t.is(fixture.pool.grant("a", maxGrant), 1);
  fixture.pool.settle(0, 1);
  fixture.pool.setDemand("b", busy);
  t.is(fixture.pool.grant("b", maxGrant), 1);
  fixture.pool.setDemand("b", busy);
  t.is(fixture.pool.grant("b", maxGrant), 0, "a returned permit is granted only once");
});

test("requests that were sent without a permit are deducted, for two seconds at most", (t) => {
  const fixture = new Fixture(10);
  fixture.pool.charge(1_000);
  t.is(fixture.run(2_000, { a: busy }).get("a"), 0);
  t.true((fixture.run(1_000, { a: busy }).get("a") ?? 0) > 0);
});

test("permits reserved for a removed participant go to the others", (t) => {
  const fixture = new Fixture(1);
  fixture.run(1_500, {});
  fixture.pool.setDemand("a", busy);
  fixture.pool.setDemand("b", busy);
  fixture.pool.removeParticipant("a");
  t.is(fixture.pool.grant("b", maxGrant), 1);
});

// Guards against permits of a failed coordinator that its successor would grant a second time.
test("permits that another pool granted don't return to this one", (t) => {
  const fixture = new Fixture(1);
  fixture.pool.settle(0, 5);
  fixture.pool.setDemand("a", busy);
  t.is(fixture.pool.grant("a", maxGrant), 0);
});
