import { utils } from "@shedtiller/common";
import test from "ava";
import {
  ExpectedTimeChooser,
  RandomChooser,
  RoundRobinChooser,
  type ChainChooser,
} from "../choosers/index.js";
import { EndpointDirectory } from "../EndpointDirectory.js";
import type { EngineReport, LayerRange } from "../EngineReport.js";
import { OutlierEjection } from "../OutlierEjection.js";
import { RetryBudget } from "../RetryBudget.js";

function createReport(name: string, layers: LayerRange, changes: Partial<EngineReport> = {}): EngineReport {
  return {
    name,
    accelerator: "large",
    memoryLayers: 32,
    model: "m",
    version: "1",
    layers,
    stepMs: 4,
    prefillMsPerToken: 0.1,
    slots: 8,
    activeStreams: 0,
    checksOrders: true,
    fencingToken: 0,
    state: "live",
    ...changes,
  };
}

function createDirectory(
  reports: readonly EngineReport[],
  zones: Readonly<Record<string, string>> = {},
): EndpointDirectory {
  const directory = new EndpointDirectory();
  directory.setListed(
    reports.map(({ name }) => {
      return { name, role: "engine", availabilityZone: zones[name] ?? "z", address: name, state: "live" };
    }),
  );
  for (const report of reports) directory.setReport(report, true);
  return directory;
}

const options = { layerCount: 32, availabilityZone: "z" };

test("every chooser covers the layers in order, or returns undefined if they can't be covered", (t) => {
  const reports = [
    createReport("a", [0, 16]),
    createReport("b", [16, 32]),
    createReport("c", [0, 8]),
    createReport("d", [8, 32]),
  ];
  const choosers: ChainChooser[] = [
    new RandomChooser(new utils.RandomSource(1)),
    new RoundRobinChooser(),
    new ExpectedTimeChooser(new utils.RandomSource(1)),
  ];
  for (const chooser of choosers) {
    for (let round = 0; round < 20; round++) {
      const chain = chooser.choose(createDirectory(reports).getEngines("m", "1"), options) ?? [];
      t.deepEqual(
        chain.map((c) => c.layers[0]),
        [0, ...chain.slice(0, -1).map((c) => c.layers[1])],
      );
      t.is(chain[chain.length - 1]?.layers[1], 32);
    }
    t.is(chooser.choose(createDirectory(reports.slice(1, 3)).getEngines("m", "1"), options), undefined);
  }
});

test("ExpectedTimeChooser prefers near, idle and fast engines", (t) => {
  const chooser = new ExpectedTimeChooser(new utils.RandomSource(1));
  const choose = (reports: EngineReport[], zones = {}): string | undefined =>
    chooser.choose(createDirectory(reports, zones).getEngines("m", "1"), options)?.[0]?.entry.name;
  t.is(choose([createReport("far", [0, 32]), createReport("near", [0, 32])], { far: "y" }), "near");
  t.is(choose([createReport("full", [0, 32], { activeStreams: 16 }), createReport("idle", [0, 32])]), "idle");
  t.is(choose([createReport("slow", [0, 32], { stepMs: 9 }), createReport("quick", [0, 32])]), "quick");
});

test("under a sudden load that no report shows yet, instances spread their streams over the engines by speed", (t) => {
  const reports = [
    createReport("a", [0, 32]),
    createReport("b", [0, 32]),
    createReport("slow", [0, 32], { stepMs: 8 }),
  ];
  const directory = createDirectory(reports, { a: "y" });
  const chooser = new ExpectedTimeChooser(new utils.RandomSource(1));
  for (let stream = 0; stream < 12; stream++) {
    const chain = chooser.choose(directory.getEngines("m", "1"), { ...options, instanceCount: 8 });
    for (const candidate of chain ?? []) candidate.entry.ownStreams += 1;
  }
  const [a = 0, b = 0, slow = 0] = ["a", "b", "slow"].map((name) => directory.getEntry(name)?.ownStreams);
  t.true(a >= 4 && b >= 4 && slow >= 1 && slow <= 3, `${a} ${b} ${slow}`);
});

test("a draining endpoint gets no new work from the first evidence on, whatever the list says", (t) => {
  const directory = createDirectory([createReport("a", [0, 32])]);
  directory.setReport(createReport("a", [0, 32], { state: "leaving" }), true);
  t.is(directory.getEngines("m", "1").length, 0);
  directory.setListed([{ name: "a", role: "engine", availabilityZone: "z", address: "a", state: "live" }]);
  directory.setReport(createReport("a", [0, 32]), true);
  t.is(directory.getEngines("m", "1").length, 0);
});

test("an endpoint is ejected for a while after three consecutive failures, but never more than half of the endpoints", (t) => {
  let nowMs = 0;
  const ejection = new OutlierEjection(() => nowMs);
  for (let count = 0; count < 3; count++) ejection.recordFailure("a");
  t.deepEqual(
    ejection.withoutEjected(["a", "b", "c"], (name) => name),
    ["b", "c"],
  );
  for (const name of ["b", "c"]) for (let count = 0; count < 3; count++) ejection.recordFailure(name);
  t.deepEqual(
    ejection.withoutEjected(["a", "b", "c"], (name) => name),
    ["a", "b", "c"],
  );
  nowMs = 3_000;
  t.false(ejection.isEjected("a"));
});

test("the last engine of a layer range is never ejected", (t) => {
  const directory = createDirectory([
    createReport("a", [0, 16]),
    createReport("b", [16, 32]),
    createReport("c", [16, 32]),
  ]);
  for (let count = 0; count < 3; count++) directory.outliers.recordFailure("b");
  t.deepEqual(
    directory.getEngines("m", "1").map((c) => c.entry.name),
    ["a", "c"],
  );
  directory.markUnreachable("c");
  t.deepEqual(
    directory.getEngines("m", "1").map((c) => c.entry.name),
    ["a", "b"],
  );
});

// Guards against processes that each have the whole reserve from their start, however often they are started.
test("processes that replace each other while the reserve is earned have it once together", (t) => {
  const clock = { nowMs: 0 };
  let withdrawn = 0;
  for (let life = 0; life < 5; life++) {
    const budget = new RetryBudget(0.2, 10, { earnMs: 10_000, nowMs: () => clock.nowMs });
    for (const endMs = clock.nowMs + 2_000; clock.nowMs < endMs; clock.nowMs += 100)
      while (budget.tryWithdraw()) withdrawn += 1;
  }
  t.true(withdrawn <= 10, `${withdrawn} retries`);
  const budget = new RetryBudget(0.2, 10, { earnMs: 10_000, nowMs: () => clock.nowMs });
  for (let step = 0; step < 300; step++, clock.nowMs += 100) while (budget.tryWithdraw()) withdrawn += 1;
  t.true(withdrawn >= 10, "the reserve is earned once");
});

test("retries are limited to a share of the requests", (t) => {
  const budget = new RetryBudget(0.2, 10);
  const withdrawAll = (): number => {
    let withdrawn = 0;
    while (budget.tryWithdraw()) withdrawn += 1;
    return withdrawn;
  };
  t.is(withdrawAll(), 10);
  for (let count = 0; count < 25; count++) budget.recordRequest();
  t.is(withdrawAll(), 5);
});
