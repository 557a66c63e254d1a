/** Tests that a quota share is granted by one coordinator at a time, even if instances disagree on which of them is the coordinator. */
import test from "ava";
import type { PermitRequest } from "../../permits/permitMessages.js";
import { loanMs } from "../../permits/LentQuotas.js";
import { PermitCoordinator } from "../../permits/PermitCoordinator.js";

const tickMs = 100;
const perSecond = 10;
const key = "engine";

interface FixtureOptions {
  readonly zone?: string;
  readonly endpointZone?: string;
  readonly coordinators?: Readonly<Record<string, string>>;
}

class Fixture {
  nowMs = 10_000;
  readonly coordinators: Map<string, string>;
  readonly coordinator: PermitCoordinator;
  knownSinceMs: number | undefined = 0;

  constructor({ zone = "east", endpointZone = "east", coordinators = {} }: FixtureOptions = {}) {
    this.coordinators = new Map(Object.entries(coordinators));
    this.coordinator = new PermitCoordinator({
      availabilityZone: zone,
      getLimit: (requestedKey) =>
        requestedKey === key ? { perSecond, availabilityZone: endpointZone } : undefined,
      getLimitedZones: () => new Set([endpointZone]),
      getCoordinators: () => this.coordinators,
      getKnownSinceMs: () => this.knownSinceMs,
      nowMs: () => this.nowMs,
    });
  }

  /** Advances the clock while the named instances request permits, and returns the number of permits granted to all of them. */
  run(durationMs: number, names: readonly string[], known: number): number {
    let granted = 0;
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += tickMs;
      this.coordinator.getOutgoingRequests();
      for (const name of names) granted += this.request(name, known);
    }
    return granted;
  }

  request(name: string, known: number, more: Partial<PermitRequest> = {}): number {
    const wants = [{ key, group: "g", count: 20, waiting: 20, used: 0, returned: 0, charged: 0 }];
    const granted = this.coordinator.respond(name, { lending: 1, known, wants, ...more });
    return granted.reduce((sum, { count }) => sum + count, 0);
  }
}

const seconds = 10;
const spanMs = seconds * 1_000;
const totalPermits = perSecond * seconds;

test("if all instances are present, the whole limit is granted", (t) => {
  const granted = new Fixture().run(spanMs, ["a", "b"], 2);
  t.true(granted <= totalPermits && granted > totalPermits * 0.9, String(granted));
});

test("if instances are missing, only the quota shares that are present are granted", (t) => {
  const granted = new Fixture().run(spanMs, ["a", "b"], 8);
  t.true(granted <= totalPermits / 4 + 1, String(granted));
});

test("two coordinators of one zone together grant the whole limit, and no more", (t) => {
  const fixtures = [new Fixture(), new Fixture()];
  const granted = fixtures.map((fixture, index) => fixture.run(spanMs, [`a${index}`, `b${index}`], 4));
  const sum = granted.reduce((total, count) => total + count, 0);
  t.true(sum <= totalPermits + 2 && sum > totalPermits * 0.9, granted.join(" and "));
});

test("quota shares of instances that have been absent for long are granted only by the majority", (t) => {
  const majority = new Fixture();
  majority.run(12_000, ["a", "b", "c"], 4);
  t.true(majority.run(spanMs, ["a", "b", "c"], 4) > totalPermits * 0.9);
  const minority = new Fixture();
  minority.run(12_000, ["a"], 4);
  t.true(minority.run(spanMs, ["a"], 4) <= totalPermits / 4 + 1);
});

test("until the number of instances is known, a high number is assumed", (t) => {
  t.true(new Fixture().run(spanMs, ["a"], 0) <= 2);
});

test("an instance that may still have lent its quota share to another coordinator counts once that loan has expired", (t) => {
  const fixture = new Fixture();
  fixture.knownSinceMs = undefined;
  t.is(fixture.run(loanMs, ["a"], 1), 0);
  t.true(fixture.run(loanMs, ["a"], 1) > 0);
});

test("quota shares for endpoints of another zone are lent to its coordinator, and return once it is lost", (t) => {
  const fixture = new Fixture({ endpointZone: "west", coordinators: { west: "w" } });
  t.is(fixture.run(spanMs, ["a"], 2), 0);
  const [name, request] = [...fixture.coordinator.getOutgoingRequests()][0] ?? [];
  t.is(name, "w");
  t.is(request?.lending, 1);
  t.deepEqual(request?.zones, ["west"]);
  fixture.coordinators.clear();
  t.is(fixture.run(loanMs - tickMs, ["a"], 2), 0, "the loan has not expired");
  const granted = fixture.run(spanMs, ["a"], 2);
  t.true(granted > totalPermits * 0.4 && granted <= totalPermits / 2 + 2, String(granted));
});

test("limits that serve the same requests together grant no more permits than are demanded", (t) => {
  const nowMs = 10_000;
  let laterMs = nowMs;
  const coordinator = new PermitCoordinator({
    availabilityZone: "east",
    getLimit: () => ({ perSecond, availabilityZone: "east" }),
    getLimitedZones: () => new Set(["east"]),
    getCoordinators: () => new Map(),
    getKnownSinceMs: () => 0,
    nowMs: () => laterMs,
  });
  const wants = ["one", "two", "three"].map((name) => ({
    ...{ key: name, group: "g", count: 1, waiting: 1 },
    ...{ used: 0, returned: 0, charged: 0 },
  }));
  const request = (): number => coordinator.respond("a", { lending: 1, known: 1, wants }).length;
  request();
  laterMs += 500;
  request();
  laterMs += tickMs;
  t.is(request(), 1);
});
