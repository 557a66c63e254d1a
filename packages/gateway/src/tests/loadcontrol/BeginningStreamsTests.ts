/** Which streams count as missed because of prompts in front. */
import test from "ava";
import { FirstEventForecast } from "../../chains/FirstEventForecast.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { BeginningStreams } from "../../loadcontrol/BeginningStreams.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { largeProfile as profile } from "../patterns/largeFleet.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";

const targetLatencyMs = 500;

function setUp() {
  const clock = { nowMs: 0 };
  const nowMs = (): number => clock.nowMs;
  const endpoints = new EndpointTable(nowMs);
  const layers = [{ start: 0, end: 80 }];
  endpoints.setAll(new Map([["a", createListed("a", { layers, kind: "a100" })]]));
  const counts = { begun: 0, missed: 0, queued: 0 };
  const streams = new BeginningStreams({
    endpoints,
    forecast: new FirstEventForecast(nowMs, () => 0.5),
    log: new DecisionLog(new SilentLogOutput(), nowMs),
    countQueued: () => (counts.queued += 1),
    nowMs,
  });
  streams.addListener({
    noteBegun: () => (counts.begun += 1),
    noteQueued: () => undefined,
    noteMissed: () => (counts.missed += 1),
  });
  const begin = (): (() => void) => {
    const stages = [{ endpointId: "a", address: "", start: 0, end: 80 }];
    const dueAtMs = clock.nowMs + targetLatencyMs;
    return streams.noteBegun(
      { service: "engines", priority: 1, stages, promptTokens: 740, targetLatencyMs, dueAtMs },
      profile,
    );
  };
  const setUnread = (promptTokens: number): void =>
    endpoints.get("a")?.setPeerLoad("peer", { requests: 1, tokenLayers: 0, promptTokens });
  return { clock, streams, counts, begin, setUnread };
}

test("a stream behind more prompts than can be read in time is missed as soon as it begins, and once only", (t) => {
  const { clock, streams, counts, begin, setUnread } = setUp();
  setUnread(200_000);
  const noteFirstEvent = begin();
  clock.nowMs += 1_500;
  noteFirstEvent();
  t.deepEqual(counts, { begun: 1, missed: 1, queued: 1 });
  t.is(streams.getPressure()[0]?.subject, "a");
});

test("a stream whose forecast is too low is missed at its late first event", (t) => {
  const { clock, counts, begin, setUnread } = setUp();
  setUnread(10_000);
  const noteFirstEvent = begin();
  t.is(counts.queued, 1);
  t.is(counts.missed, 0);
  clock.nowMs += targetLatencyMs + 1;
  noteFirstEvent();
  t.is(counts.missed, 1);
});

test("a late first event after the loss of an engine, without prompts in front, is not missed", (t) => {
  const { clock, counts, begin } = setUp();
  const noteFirstEvent = begin();
  clock.nowMs += 3_000;
  noteFirstEvent();
  t.deepEqual(counts, { begun: 1, missed: 0, queued: 0 });
});

test("the operators' view is empty while no prompts are in front, and again some time after the last ones", (t) => {
  const { clock, streams, begin, setUnread } = setUp();
  begin();
  t.deepEqual(streams.getPressure(), []);
  setUnread(200_000);
  begin();
  t.is(streams.getPressure().length, 1);
  clock.nowMs += 60_000;
  t.deepEqual(streams.getPressure(), []);
});
