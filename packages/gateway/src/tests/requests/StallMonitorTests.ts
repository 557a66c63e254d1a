/** What becomes of streams whose chain stands still. */
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { ConfigurationKeeper } from "../../configuration/ConfigurationKeeper.js";
import { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { HttpCaller } from "../../http/HttpCaller.js";
import type { ChainStage, MessageCodec } from "../../http/MessageCodec.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { RetryBudgets } from "../../requests/RetryBudgets.js";
import { StallMonitor } from "../../requests/StallMonitor.js";
import { StreamAttempt } from "../../requests/StreamAttempt.js";
import { StreamProgress } from "../../requests/StreamProgress.js";
import { createConfiguration, createListed, profile } from "../createParts.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentSink } from "../SilentSink.js";
import { createStreamRequest } from "./createStreamRequest.js";

function setUp(isResumable = true) {
  const clock = { nowMs: 10_000 };
  const endpoints = new EndpointTable(() => clock.nowMs);
  const listed = (id: string, start: number, end: number): [string, ListedEndpoint] => [
    id,
    createListed(id, { layers: [{ start, end }], address: `${id}:1` }),
  ];
  endpoints.setAll(new Map([listed("a", 0, 2), listed("b", 2, 4), listed("c", 2, 4), listed("d", 2, 4)]));
  const keeper = new ConfigurationKeeper();
  const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: profile }];
  keeper.accept({ ...createConfiguration(1), services });
  const orders = new FakeEngines();
  // The chain that begins at "a" waits for the engine "b".
  orders.reports.set("a", { stalled: [{ requestId: "r1", address: "b:1" }] });
  const context = {
    keeper,
    endpoints,
    caller: new HttpCaller(),
    codec: {} as MessageCodec,
    budgets: new RetryBudgets({ ratio: 1, slack: 10, windowMs: 10_000 }),
    log: new DecisionLog(new SilentSink(), () => 0),
    availabilityZone: "east",
    suspicions: {
      noteSilent: (id: string) => void endpoints.suspect(id),
      noteNamed: async (id: string) => void endpoints.suspect(id),
      noteNotHeld: () => Promise.resolve(),
    },
    tellFull: () => undefined,
  };
  const chooser = new ChainChooser(
    () => clock.nowMs,
    () => 0.5,
  );
  const monitor = new StallMonitor(context, chooser, orders, () => clock.nowMs);
  const stage = (endpointId: string, start: number, end: number): ChainStage => ({
    endpointId,
    address: `${endpointId}:1`,
    start,
    end,
  });
  const reservation = new ChainReservation(endpoints, [stage("a", 0, 2), stage("b", 2, 4)], 4);
  const attempt = new StreamAttempt(
    createStreamRequest("r1", isResumable),
    "engines",
    reservation,
    new StreamProgress(undefined),
  );
  attempt.firstEventMs = 50;
  attempt.lastSignAtMs = clock.nowMs - 400;
  monitor.add(attempt);
  return { clock, endpoints, orders, monitor, attempt, reservation };
}

test("a stream that stands still is moved to another holder of the layers, and the engine at fault gets nothing new", async (t) => {
  const { clock, endpoints, orders, monitor, attempt, reservation } = setUp();
  await monitor.check();
  t.deepEqual(orders.chains, ["a,c"]);
  t.deepEqual(
    reservation.stages.map((stage) => stage.endpointId),
    ["a", "c"],
  );
  t.true(endpoints.get("b")?.isSuspect(clock.nowMs));
  t.false(attempt.abort.signal.aborted);
});

test("an engine that has no room for a moved stream does not end it: the same look takes another", async (t) => {
  const { clock, endpoints, orders, monitor, attempt, reservation } = setUp();
  orders.withoutRoom.add("c");
  await monitor.check();
  t.false(attempt.abort.signal.aborted);
  t.false(endpoints.get("c")?.isSuspect(clock.nowMs), "want of room is no evidence of a fault");
  t.deepEqual(endpoints.get("c")?.own, { requests: 0, tokenLayers: 0 });
  t.deepEqual(orders.chains, ["a,c", "a,d"]);
  t.is(reservation.stages[1]?.endpointId, "d");
});

test("a stream that no engine has room for waits, and is moved by a later look", async (t) => {
  const { clock, orders, monitor, attempt, reservation } = setUp();
  orders.withoutRoom.add("c").add("d");
  await monitor.check();
  t.false(attempt.abort.signal.aborted);
  t.deepEqual(orders.chains, ["a,c", "a,d"]);
  orders.withoutRoom.clear();
  clock.nowMs += 650;
  attempt.lastSignAtMs = clock.nowMs - 400;
  await monitor.check();
  t.is(orders.chains.length, 3);
  t.not(reservation.stages[1]?.endpointId, "b");
});

test("the room that a stream holds at its first engine does not stand in its own way", async (t) => {
  const { endpoints, orders, monitor } = setUp();
  const first = endpoints.get("a");
  if (first === undefined) return t.fail();
  const capacity = getCapacityTokenLayers(first, profile);
  // All that is handed out is taken, this stream's own part included.
  first.addOwn(1, Math.floor(capacity * 0.92) - first.own.tokenLayers);
  await monitor.check();
  t.deepEqual(orders.chains, ["a,c"]);
});

test("a stream that stays silent is given up before its caller leaves", async (t) => {
  const { clock, monitor, attempt } = setUp();
  clock.nowMs += 1_000;
  await monitor.check();
  t.true(attempt.abort.signal.aborted);
});

test("a stream that passed an engine whose process started again goes on elsewhere at once", async (t) => {
  const { endpoints, orders, attempt, reservation } = setUp();
  endpoints.noteStart("b", 1_000, [{ start: 2, end: 4 }]);
  endpoints.noteStart("b", 2_000, []);
  t.deepEqual(orders.chains, ["a,c"]);
  t.is(reservation.stages[1]?.endpointId, "c");
  t.false(attempt.abort.signal.aborted);
});

test("a stream that began at an engine whose process started again is lost there", (t) => {
  const { endpoints, attempt } = setUp();
  endpoints.noteStart("a", 1_000, [{ start: 0, end: 2 }]);
  endpoints.noteStart("a", 2_000, [{ start: 0, end: 2 }]);
  t.true(attempt.abort.signal.aborted);
});

test("a stream without a way on from its first engine waits, though another run could begin", async (t) => {
  const { endpoints, orders, monitor, attempt } = setUp();
  const west = createListed("w", {
    layers: [{ start: 0, end: 4 }],
    address: "w:1",
    availabilityZone: "west",
  });
  const a = createListed("a", { layers: [{ start: 0, end: 2 }], address: "a:1" });
  const b = createListed("b", { layers: [{ start: 2, end: 4 }], address: "b:1" });
  endpoints.setAll(new Map([a, b, west].map((listed) => [listed.id, listed])));
  orders.silent.add("b");
  // Too full for chains that change zones, and not for chains of its own.
  endpoints.get("w")?.addOwn(1, getCapacityTokenLayers(new Endpoint(west), profile) * 0.6);
  await monitor.check();
  t.false(attempt.abort.signal.aborted);
  t.deepEqual(orders.chains, []);
});

test("a stream that may not be repeated is not ended by its first engine's silence alone, and by its restart it is", async (t) => {
  const { endpoints, orders, monitor, attempt } = setUp(false);
  endpoints.noteStart("a", 1_000, [{ start: 0, end: 2 }]);
  orders.silent.add("a");
  await monitor.check();
  t.true(endpoints.get("a")?.isSuspect(10_000));
  t.false(attempt.abort.signal.aborted);
  endpoints.noteStart("a", 2_000, []);
  t.true(attempt.abort.signal.aborted);
});

test("a stream that may be repeated goes on elsewhere once its first engine gives no answer", async (t) => {
  const { orders, monitor, attempt } = setUp();
  orders.silent.add("a");
  await monitor.check();
  t.true(attempt.abort.signal.aborted);
});

test("a chain with an engine that says it is slow may be silent for as many times longer", async (t) => {
  const { clock, endpoints, orders, monitor, attempt } = setUp();
  const slow = endpoints.get("b");
  if (slow === undefined) return t.fail();
  slow.slowness = 3;
  orders.silent.add("b");
  // Half of the allowed pause of 200 ms is unusual before any pause was measured.
  attempt.lastSignAtMs = clock.nowMs - 250;
  await monitor.check();
  t.false(slow.isSuspect(clock.nowMs), "not asked yet");
  attempt.lastSignAtMs = clock.nowMs - 320;
  await monitor.check();
  t.true(slow.isSuspect(clock.nowMs));
});

test("a stream of a slow chain is given up before its caller leaves, as any other", async (t) => {
  const { clock, endpoints, monitor, attempt } = setUp();
  const slow = endpoints.get("b");
  if (slow === undefined) return t.fail();
  slow.slowness = 20;
  attempt.lastSignAtMs = clock.nowMs - 1_250;
  await monitor.check();
  t.true(attempt.abort.signal.aborted);
});
