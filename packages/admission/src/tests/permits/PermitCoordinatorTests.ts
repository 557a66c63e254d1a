/** Parts of limits are with one coordinator at a time, whoever believes to be one. */
import test from "ava";
import type { PermitRequest } from "../../permits/permitMessages.js";
import { loanMs } from "../../permits/LentQuotas.js";
import { PermitCoordinator } from "../../permits/PermitCoordinator.js";

const tickMs = 100;
const perSecond = 10;
const key = "engine";

interface SceneOptions {
  readonly zone?: string;
  readonly endpointZone?: string;
  readonly coordinators?: Readonly<Record<string, string>>;
}

class Scene {
  nowMs = 10_000;
  readonly coordinators: Map<string, string>;
  readonly coordinator: PermitCoordinator;
  knownSinceMs: number | undefined = 0;

  constructor({ zone = "east", endpointZone = "east", coordinators = {} }: SceneOptions = {}) {
    this.coordinators = new Map(Object.entries(coordinators));
    this.coordinator = new PermitCoordinator({
      availabilityZone: zone,
      getLimit: (asked) => (asked === key ? { perSecond, availabilityZone: endpointZone } : undefined),
      getLimitedZones: () => new Set([endpointZone]),
      getCoordinators: () => this.coordinators,
      getKnownSinceMs: () => this.knownSinceMs,
      nowMs: () => this.nowMs,
    });
  }

  /** Lets time pass, while the named instances ask; gives how much all of them got. */
  run(durationMs: number, names: readonly string[], known: number): number {
    let got = 0;
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += tickMs;
      this.coordinator.getOutgoingAsks();
      for (const name of names) got += this.ask(name, known);
    }
    return got;
  }

  ask(name: string, known: number, more: Partial<PermitRequest> = {}): number {
    const wants = [{ key, group: "g", count: 20, waiting: 20, used: 0, returned: 0, charged: 0 }];
    const granted = this.coordinator.answer(name, { lending: 1, known, wants, ...more });
    return granted.reduce((sum, { count }) => sum + count, 0);
  }
}

const seconds = 10;
const spanMs = seconds * 1_000;
const whole = perSecond * seconds;

test("with all instances present the whole limit is handed out", (t) => {
  const got = new Scene().run(spanMs, ["a", "b"], 2);
  t.true(got <= whole && got > whole * 0.9, String(got));
});

test("where others are missing, only the parts that are present are handed out", (t) => {
  const got = new Scene().run(spanMs, ["a", "b"], 8);
  t.true(got <= whole / 4 + 1, String(got));
});

test("two coordinators of one zone hand out the whole limit together, and no more", (t) => {
  const scenes = [new Scene(), new Scene()];
  const got = scenes.map((scene, index) => scene.run(spanMs, [`a${index}`, `b${index}`], 4));
  const sum = got.reduce((total, one) => total + one, 0);
  t.true(sum <= whole + 2 && sum > whole * 0.9, got.join(" and "));
});

test("parts of instances that are gone for long are handed out by the majority only", (t) => {
  const majority = new Scene();
  majority.run(12_000, ["a", "b", "c"], 4);
  t.true(majority.run(spanMs, ["a", "b", "c"], 4) > whole * 0.9);
  const minority = new Scene();
  minority.run(12_000, ["a"], 4);
  t.true(minority.run(spanMs, ["a"], 4) <= whole / 4 + 1);
});

test("until the number of instances is known there are taken to be many", (t) => {
  t.true(new Scene().run(spanMs, ["a"], 0) <= 2);
});

test("an instance that may still have lent its part to another coordinator counts once that loan has run out", (t) => {
  const scene = new Scene();
  scene.knownSinceMs = undefined;
  t.is(scene.run(loanMs, ["a"], 1), 0);
  t.true(scene.run(loanMs, ["a"], 1) > 0);
});

test("parts for endpoints of another zone are lent to its coordinator, and come back once it is lost", (t) => {
  const scene = new Scene({ endpointZone: "west", coordinators: { west: "w" } });
  t.is(scene.run(spanMs, ["a"], 2), 0);
  const [name, ask] = [...scene.coordinator.getOutgoingAsks()][0] ?? [];
  t.is(name, "w");
  t.is(ask?.lending, 1);
  t.deepEqual(ask?.zones, ["west"]);
  scene.coordinators.clear();
  t.is(scene.run(loanMs - tickMs, ["a"], 2), 0, "the loan has not run out");
  const got = scene.run(spanMs, ["a"], 2);
  t.true(got > whole * 0.4 && got <= whole / 2 + 2, String(got));
});

test("limits that serve the same requests hand out no more together than is wanted", (t) => {
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
  const ask = (): number => coordinator.answer("a", { lending: 1, known: 1, wants }).length;
  ask();
  laterMs += 500;
  ask();
  laterMs += tickMs;
  t.is(ask(), 1);
});
