/** Bound on the share of a zone's streams that one engine begins. */
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { FirstEngineShares } from "../../chains/FirstEngineShares.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { createEngine, profile } from "../testData.js";

const demand = { promptTokens: 8, answerTokens: 2, availabilityZone: "east" };

class Fixture {
  nowMs = 0;
  bounds: unknown[] = [];
  readonly shares = new FirstEngineShares({
    log: { info: (_event, fields) => this.bounds.push(fields["bound"]) },
    count: () => undefined,
    nowMs: () => this.nowMs,
  });
  private readonly _chooser = new ChainChooser(
    () => this.nowMs,
    () => 0,
    { firstEngines: this.shares },
  );

  constructor(private readonly _profile = profile) {}

  /** Begins streams, ten a second, and returns how many of them began at each engine. */
  begin(count: number, engines: readonly Endpoint[]): Record<string, number> {
    const begun: Record<string, number> = {};
    for (let index = 0; index < count; index++) {
      this.nowMs += 100;
      const first = this._chooser.choose(engines, this._profile, demand)?.[0]?.endpointId ?? "none";
      begun[first] = (begun[first] ?? 0) + 1;
      const engine = engines.find(({ id }) => id === first);
      if (engine !== undefined) this._chooser.noteStart(engine);
    }
    return begun;
  }
}

/** Returns engines with all layers, of which those that come first are slightly faster. */
function createEngines(count: number, availabilityZone = "east"): Endpoint[] {
  return Array.from({ length: count }, (_, index) => {
    const engine = createEngine(`${availabilityZone}-${index}`, 0, 4, { availabilityZone });
    engine.slowness = 1 + index / 100;
    return engine;
  });
}

test("of many engines with the first layers none begins more than a fifth of the streams", (t) => {
  const begun = new Fixture().begin(200, createEngines(8));
  for (const [engine, count] of Object.entries(begun)) t.true(count <= 42, `${engine}: ${count}`);
  t.is(begun["east-7"], undefined, "the slowest ones are not needed");
});

test("two engines with the first layers begin half of the streams each", (t) => {
  const begun = new Fixture().begin(100, createEngines(2));
  t.deepEqual(begun, { "east-0": 50, "east-1": 50 });
});

// Fails where a zone that has few chains pays for longer ones: it needs the capacity after the loss of an engine.
test("in a zone with memory for few copies of the model the cheapest engine begins all streams", (t) => {
  const small = [createEngine("a", 0, 4), createEngine("b", 0, 4)];
  for (const engine of small) engine.listed = { ...engine.listed, kind: "small" };
  const smallKind = { name: "small", memoryMb: 70, stepFactor: 1, prefillFactor: 1 };
  const fixture = new Fixture({ ...profile, kinds: [smallKind] });
  t.deepEqual(fixture.begin(50, small), { a: 50 });
});

test("an engine without capacity does not count, so that the other one begins all streams", (t) => {
  const fixture = new Fixture();
  const [engine, full] = createEngines(2);
  if (engine === undefined || full === undefined) return t.fail();
  full.addOwnLoad(1, getCapacityTokenLayers(full, profile));
  t.deepEqual(fixture.begin(20, [engine, full]), { "east-0": 20 });
  t.deepEqual(fixture.bounds, [], "there is no bound");
});

test("an engine that is much slower begins no streams in favour of the bound", (t) => {
  const slow = createEngine("slow", 0, 4, { kind: "slow" });
  t.deepEqual(new Fixture().begin(20, [...createEngines(1), slow]), { "east-0": 20 });
});

test("the bound moves no stream to another zone", (t) => {
  const engines = [
    ...createEngines(1),
    createEngine("slow", 0, 4, { kind: "slow" }),
    ...createEngines(3, "west"),
  ];
  t.deepEqual(new Fixture().begin(50, engines), { "east-0": 50 });
});

test("after a long silence the engines share the streams anew, and a lost engine takes no share", (t) => {
  const fixture = new Fixture();
  const engines = createEngines(3);
  fixture.begin(30, engines);
  fixture.nowMs += 3_600_000;
  t.deepEqual(fixture.begin(20, engines.slice(1)), { "east-1": 10, "east-2": 10 });
  t.deepEqual(fixture.begin(5, engines.slice(2)), { "east-2": 5 });
  t.deepEqual(fixture.bounds, [1 / 3, 1], "the begin and the end of the bound are logged once");
});

test("operators see which engine is beyond its share", (t) => {
  const fixture = new Fixture();
  t.deepEqual(fixture.shares.getPressure(), []);
  fixture.begin(3, createEngines(2));
  const [entry, ...others] = fixture.shares.getPressure();
  t.is(others.length, 0);
  t.is(entry?.decision, "firstEngineShare");
  t.is(entry?.subject, "east-0");
  fixture.nowMs += 3_600_000;
  t.deepEqual(fixture.shares.getPressure(), [], "counts that have lost their weight say nothing");
});
