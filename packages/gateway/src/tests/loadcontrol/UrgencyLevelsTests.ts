/** Levels of admission by urgency: which requests are behind them, and how they pass from one collector to the next. */
import test from "ava";
import { getMaxLevel } from "@shedtiller/admission";
import { RouteTable } from "../../configuration/RouteTable.js";
import { getStreamPriorities } from "../../loadcontrol/getStreamPriorities.js";
import { toLevelKey, UrgencyLevels } from "../../loadcontrol/UrgencyLevels.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import type { Figures } from "../../peers/figures.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { createConfiguration, createRoute, profile } from "../testData.js";

const service = "engines";
const noFigures: Figures = new Map();

function setUp(random = 0) {
  const clock = { nowMs: 0 };
  const nowMs = (): number => clock.nowMs;
  const figures = new SharedFigures(nowMs);
  const output = new RecordingLogOutput();
  const levels = new UrgencyLevels({
    figures,
    getPriorities: () => new Map([[service, [0, 1, 2]]]),
    log: new DecisionLog(output, nowMs),
    countChange: () => undefined,
    nowMs,
    random: () => random,
  });
  const setLevel = (level: number): void =>
    figures.update(noFigures, new Map([[toLevelKey(service), level]]));
  return { clock, figures, levels, output, setLevel };
}

const accountNames = Array.from({ length: 60 }, (_, index) => `account-${index}`);

test("at the highest level a third of each priority is admitted, and each client account after some seconds", (t) => {
  const { clock, levels, setLevel } = setUp();
  const waiting = new Set(accountNames);
  for (let turn = 0; turn < 6; turn++) {
    setLevel(getMaxLevel(3));
    const admitted = accountNames.filter(
      (accountName) => !levels.isBehind({ service, priority: 0, accountName }),
    );
    t.true(admitted.length >= accountNames.length / 6, `${admitted.length} of ${accountNames.length}`);
    for (const name of admitted) waiting.delete(name);
    clock.nowMs += 3_000;
  }
  t.is(waiting.size, 0);
});

test("instances reject different client accounts at the same time", (t) => {
  const getRejected = (random: number): string[] => {
    const { levels, setLevel } = setUp(random);
    setLevel(1);
    return accountNames.filter((accountName) => levels.isBehind({ service, priority: 2, accountName }));
  };
  t.notDeepEqual(getRejected(0), getRejected(0.5));
});

test("a low level rejects the least urgent requests only, and no other service's", (t) => {
  const { levels, setLevel } = setUp();
  setLevel(4);
  const countRejected = (of: string, priority: number): number =>
    accountNames.filter((accountName) => levels.isBehind({ service: of, priority, accountName })).length;
  t.true(countRejected(service, 2) > 0);
  t.is(countRejected(service, 1), 0);
  t.is(countRejected(service, 0), 0);
  t.is(countRejected("other", 2), 0);
});

test("a new collector continues from the level that it received last, and logs each change once", (t) => {
  const { clock, figures, output, setLevel } = setUp();
  setLevel(5);
  const missing: Figures = new Map([
    [`urgency/${service}/0/begun`, 20],
    [`urgency/${service}/0/queued`, 20],
    [`urgency/${service}/0/missed`, 4],
  ]);
  const decide = (): number | undefined => {
    const decisions = figures.decide({
      ownZone: "east",
      zones: new Map([["east", missing]]),
      nowMs: clock.nowMs,
    });
    figures.update(noFigures, decisions);
    clock.nowMs += 200;
    return decisions.get(toLevelKey(service));
  };
  const decided = Array.from({ length: 5 }, decide);
  t.deepEqual(decided, [5, 5, 5, 6, 6]);
  t.is(output.events.filter((event) => event === "info urgency-level-changed").length, 1);
});

test("two collectors at once continue from the same level, and differ by what each of them has seen", (t) => {
  const [first, second] = [setUp(), setUp()];
  const decide = (
    { figures, clock, setLevel }: ReturnType<typeof setUp>,
    missed: number,
  ): number | undefined => {
    setLevel(3);
    const key = `urgency/${service}/0`;
    const own: Figures = new Map([
      [`${key}/begun`, 20],
      [`${key}/queued`, 20],
      [`${key}/missed`, missed],
    ]);
    const query = { ownZone: "east", zones: new Map([["east", own]]) };
    figures.decide({ ...query, nowMs: clock.nowMs });
    clock.nowMs += 1_000;
    return figures.decide({ ...query, nowMs: clock.nowMs }).get(toLevelKey(service));
  };
  t.deepEqual([decide(first, 4), decide(second, 1)], [4, 3]);
});

test("a zone that is cut off decides by its own figures, and other zones' misses raise no level", (t) => {
  const key = `urgency/${service}/0`;
  const missing: Figures = new Map([
    [`${key}/begun`, 20],
    [`${key}/queued`, 20],
    [`${key}/missed`, 20],
  ]);
  const decide = (zones: ReadonlyMap<string, Figures>): number | undefined => {
    const { clock, figures } = setUp();
    figures.decide({ ownZone: "east", zones, nowMs: clock.nowMs });
    clock.nowMs += 2_000;
    return figures.decide({ ownZone: "east", zones, nowMs: clock.nowMs }).get(toLevelKey(service));
  };
  t.is(decide(new Map([["west", missing]])), 0);
  t.is(decide(new Map([["east", missing]])), 2);
});

test("an instance that was suspended, or whose clock jumped ahead, admits everything until the next sums", (t) => {
  const { clock, levels, setLevel } = setUp();
  setLevel(12);
  clock.nowMs += 1e9;
  t.is(levels.getLevel(service), 0);
  setLevel(12);
  t.is(levels.getLevel(service), 12);
});

test("callers that are rejected return later the less urgent they are, and within a third of the time that they have", (t) => {
  const { levels, setLevel } = setUp(0.5);
  setLevel(6);
  const getTimes = (remainingMs: number): number[] =>
    [0, 1, 2].map((priority) => levels.getRetryAfterMs(service, priority, remainingMs));
  t.deepEqual(getTimes(20_000), [2_000, 2_500, 3_000]);
  t.deepEqual(getTimes(600), [200, 200, 200]);
});

test("the operators' view names the priorities that are rejected", (t) => {
  const { levels, setLevel } = setUp();
  t.deepEqual(levels.getPressure(), []);
  setLevel(5);
  t.deepEqual(
    levels.getPressure().map(({ subject, value }) => [subject, Math.round(value * 6)]),
    [
      ["priority 1", 1],
      ["priority 2", 4],
    ],
  );
});

test("levels apply to services with an engine profile whose streams have two priorities or more", (t) => {
  const getPriorities = (priorities: readonly number[], hasAccountPriority: boolean) => {
    const routes = priorities.map((priority) =>
      createRoute({
        kind: "streaming",
        name: `r${priority}`,
        pathPrefix: `/${priority}/`,
        priority,
        targets: [{ service, weight: 1 }],
      }),
    );
    const services = [{ name: service, healthPath: "/", maxConnections: 1, engine: profile }];
    const configuration = { ...createConfiguration(1, routes), services };
    const accounts = hasAccountPriority ? configuration.accounts : [{ name: "farm", apiKeys: ["k1"] }];
    return [...getStreamPriorities(new RouteTable({ ...configuration, accounts }))];
  };
  t.deepEqual(getPriorities([2, 0], false), [[service, [0, 2]]]);
  t.deepEqual(getPriorities([1], false), []);
  t.deepEqual(
    getPriorities([0, 1], true),
    [],
    "the priority of the only account overrides those of the routes",
  );
});
