/** The forecast of first events: prompts in front, engines that slow down, and figures that are old or lost. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { FirstEventForecast } from "../../chains/FirstEventForecast.js";
import type { ChainDemand } from "../../chains/findCheapestChain.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { createEngine } from "../testData.js";
import { largeProfile as profile } from "../patterns/largeFleet.js";

const demand: ChainDemand = {
  promptTokens: 740,
  answerTokens: 210,
  availabilityZone: "east",
  targetLatencyMs: 500,
};
/** Prompts that take about a second at one of the engines. */
const manyPrompts = 80_000;

/** Two copies of the model at equal engines: `a` with `b`, and `c` with `d`. */
function setUp(seed = 1) {
  const clock = { nowMs: 0 };
  const nowMs = (): number => clock.nowMs;
  const random = new utils.RandomSource(seed);
  const forecast = new FirstEventForecast(nowMs, () => random.nextUnit());
  const kind = { kind: "a100", slots: 134 };
  const engines = [
    createEngine("a", 0, 40, kind),
    createEngine("b", 40, 80, kind),
    createEngine("c", 0, 40, kind),
    createEngine("d", 40, 80, kind),
  ];
  const getEndpoint = (id: string): Endpoint | undefined => engines.find((engine) => engine.id === id);
  const requireEngine = (id: string): Endpoint => getEndpoint(id) as Endpoint;
  const stages = ["a", "b"].map((id) => ({ endpointId: id, address: "", start: 0, end: 40 }));
  const expect = () => forecast.forecast(stages, getEndpoint, profile, demand.promptTokens);
  expect();
  const plain = new ChainChooser(nowMs, () => 0.5);
  const chooser = new ChainChooser(nowMs, () => 0.5, { firstEvents: forecast });
  const chooseFirst = (by: ChainChooser): string | undefined =>
    by.choose(engines, profile, demand)?.[0]?.endpointId;
  return { clock, forecast, engines, requireEngine, expect, plain, chooser, chooseFirst };
}

test("prompts that pile up at an engine with few streams: new streams begin at another one", (t) => {
  const { requireEngine, plain, chooser, chooseFirst } = setUp();
  requireEngine("a").setPeerLoad("peer", { requests: 20, tokenLayers: 0, promptTokens: manyPrompts });
  requireEngine("c").setPeerLoad("peer", { requests: 30, tokenLayers: 0, promptTokens: 0 });
  t.is(chooseFirst(plain), "a", "streams alone say nothing about prompts");
  t.is(chooseFirst(chooser), "c");
});

test("prompts at the last engine of a chain count as much as those at its first one", (t) => {
  const { requireEngine, chooser, chooseFirst } = setUp();
  for (const id of ["b", "d"]) requireEngine(id).addOwnLoad(20, 0, id === "b" ? manyPrompts : 0);
  t.is(
    chooser.choose([requireEngine("a"), requireEngine("b"), requireEngine("d")], profile, demand)?.[1]
      ?.endpointId,
    "d",
  );
  t.not(chooseFirst(chooser), undefined);
});

test("only the slowest engine of a chain delays the prompts behind", (t) => {
  const { requireEngine, expect } = setUp();
  requireEngine("a").addOwnLoad(1, 0, manyPrompts);
  const one = expect().firstEventMs;
  requireEngine("b").addOwnLoad(1, 0, manyPrompts);
  t.is(expect().firstEventMs, one);
});

test("instances with equal figures don't all choose the same engine", (t) => {
  const firsts = Array.from({ length: 65 }, (_, index) => {
    const { requireEngine, chooser, chooseFirst } = setUp(index + 1);
    // A tenth more prompts than at the other engine, which arrive within the age of the figures.
    for (const id of ["a", "b"]) requireEngine(id).addOwnLoad(20, 0, manyPrompts);
    for (const id of ["c", "d"]) requireEngine(id).addOwnLoad(20, 0, manyPrompts * 1.1);
    return chooseFirst(chooser);
  });
  const atFirst = firsts.filter((first) => first === "a").length;
  t.true(atFirst > 13 && atFirst < 52, `${atFirst} of 65 begin at the same engine`);
});

test("while prompts take a small part of the target, chains are chosen as without a forecast", (t) => {
  const { requireEngine, plain, chooser, chooseFirst } = setUp();
  requireEngine("a").addOwnLoad(20, 0, 4_000);
  requireEngine("c").addOwnLoad(21, 0, 0);
  t.is(chooseFirst(chooser), chooseFirst(plain));
});

test("an engine that slows down unannounced gets fewer streams after its next first events, and again some later", (t) => {
  const { clock, forecast, requireEngine, expect, chooser, chooseFirst } = setUp();
  requireEngine("c").addOwnLoad(2, 0, 0);
  t.is(chooseFirst(chooser), "a");
  for (let event = 0; event < 8; event++) {
    const expected = expect();
    forecast.noteFirstEvent(requireEngine("a"), expected, expected.firstEventMs * 10);
    // The other first engines of all zones are as fast as the model says.
    for (let other = 0; other < 4; other++)
      forecast.noteFirstEvent(requireEngine("c"), expected, expected.firstEventMs);
  }
  t.is(chooseFirst(chooser), "c");
  clock.nowMs += 60_000;
  t.is(chooseFirst(chooser), "a", "nothing was observed for a minute");
});

test("once the collector is silent and the prompts of others have lapsed, the own ones alone count", (t) => {
  const { requireEngine, chooser, chooseFirst } = setUp();
  requireEngine("a").setPeerLoad("collected", { requests: 1, tokenLayers: 0, promptTokens: manyPrompts });
  requireEngine("c").addOwnLoad(10, 0, 1_000);
  t.is(chooseFirst(chooser), "c");
  requireEngine("a").retainPeerLoads(new Set());
  t.is(chooseFirst(chooser), "a");
});

test("late first events without prompts in front count as no queue", (t) => {
  const { forecast, requireEngine, expect } = setUp();
  for (let event = 0; event < 20; event++) forecast.noteFirstEvent(requireEngine("a"), expect(), 3_000);
  t.is(expect().queueMs, 0);
});

test("a clock that stands still or jumps ahead leaves the forecast finite", (t) => {
  const { clock, forecast, requireEngine, expect } = setUp();
  forecast.noteFirstEvent(requireEngine("a"), expect(), 0);
  clock.nowMs += 1e9;
  t.true(Number.isFinite(expect().firstEventMs));
  clock.nowMs -= 1e9;
  t.true(Number.isFinite(expect().firstEventMs));
});
