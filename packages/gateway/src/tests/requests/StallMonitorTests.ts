/** Moves and aborts of streams whose chains have stalled. */
import { EventEmitter } from "node:events";
import type * as http from "node:http";
import test from "ava";
import { results } from "@shedtiller/common";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { ConcurrentRestarts } from "../../chains/ConcurrentRestarts.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { CrashDetector } from "../../crashes/CrashDetector.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { HttpClient } from "../../http/HttpClient.js";
import { EndpointPaths } from "../../paths/EndpointPaths.js";
import type { ChainStage, MessageCodec } from "../../http/MessageCodec.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { OrderRefusedError } from "../../orders/EngineOrders.js";
import { CallerRequest } from "../../requests/CallerRequest.js";
import { RetryBudgets } from "../../requests/RetryBudgets.js";
import { StallMonitor } from "../../requests/StallMonitor.js";
import { StreamAttempt } from "../../requests/StreamAttempt.js";
import { StreamProgress } from "../../requests/StreamProgress.js";
import { createConfiguration, createListed, createRoute, profile } from "../testData.js";
import { createPermitDependencies } from "../createPermitDependencies.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

function createRequest(): CallerRequest {
  const response = new EventEmitter() as http.ServerResponse;
  const fields = { requestId: "r1", promptTokens: 2, maxAnswerTokens: 2 };
  return new CallerRequest({
    message: new EventEmitter() as http.IncomingMessage,
    response,
    fields: {
      ...fields,
      deadlineMs: undefined,
      apiKey: undefined,
      answerTokensHint: undefined,
      promptPartIds: [],
      lastEventId: undefined,
    },
    route: createRoute({ kind: "streaming", isResumable: true }),
    account: undefined,
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
    codec: {} as MessageCodec,
    endsConnection: () => false,
    presence: { isCallerInDoubt: false, whenCallerCertain: () => Promise.resolve() },
  });
}

function setUp() {
  const clock = { nowMs: 10_000 };
  const endpoints = new EndpointTable(() => clock.nowMs);
  const listed = (id: string, start: number, end: number): [string, ListedEndpoint] => [
    id,
    createListed(id, { layers: [{ start, end }], address: `${id}:1` }),
  ];
  endpoints.setAll(new Map([listed("a", 0, 2), listed("b", 2, 4), listed("c", 2, 4), listed("d", 2, 4)]));
  const activeConfiguration = new ActiveConfiguration();
  const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: profile }];
  activeConfiguration.accept({ ...createConfiguration(1), services });
  const orders = new FakeEngines();
  // The chain that begins at "a" waits for the engine "b".
  orders.reports.set("a", { stalled: [{ requestId: "r1", address: "b:1" }] });
  const context = {
    activeConfiguration,
    endpoints,
    httpClient: new HttpClient(),
    paths: new EndpointPaths({ endpoints, log: new DecisionLog(new SilentLogOutput(), () => 0) }),
    codec: {} as MessageCodec,
    budgets: new RetryBudgets({ ratio: 1, slack: 10, windowMs: 10_000 }),
    log: new DecisionLog(new SilentLogOutput(), () => 0),
    availabilityZone: "east",
    failureDetector: {
      noteUnresponsive: (id: string) => void endpoints.suspect(id),
      noteReportedFaulty: async (id: string) => void endpoints.suspect(id),
      noteLayersMissing: () => Promise.resolve(),
    },
    crashes: new CrashDetector({
      endpoints,
      log: new DecisionLog(new SilentLogOutput(), () => 0),
      probe: () => Promise.resolve("open"),
      broadcast: () => undefined,
      getTrialRank: () => 0,
    }),
    ...createPermitDependencies(endpoints),
    statements: { noteAnswer: () => undefined },
    restarts: new ConcurrentRestarts(() => 1),
    controls: { gates: [], flows: undefined },
    broadcastFull: () => undefined,
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
  const attempt = new StreamAttempt(createRequest(), "engines", reservation, new StreamProgress(undefined));
  attempt.firstEventMs = 50;
  attempt.lastActivityAtMs = clock.nowMs - 400;
  monitor.add(attempt);
  return { clock, endpoints, orders, monitor, attempt, reservation };
}

test("a stalled stream is moved to another engine with the layers, and the engine at fault gets no new requests", async (t) => {
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

test("if an engine has no capacity for a moved stream, the next check chooses another engine", async (t) => {
  const { clock, endpoints, orders, monitor, attempt, reservation } = setUp();
  orders.changeAnswer = results.Err(new OrderRefusedError("a:1", 409, "c:1"));
  await monitor.check();
  t.false(attempt.abort.signal.aborted);
  t.false(endpoints.get("c")?.isSuspect(clock.nowMs), "lack of capacity is no evidence of a fault");
  t.deepEqual(endpoints.get("c")?.ownLoad, { requests: 0, tokenLayers: 0, promptTokens: 0 });
  orders.changeAnswer = results.Ok(undefined);
  clock.nowMs += 350;
  await monitor.check();
  t.deepEqual(orders.chains, ["a,c", "a,d"]);
  t.is(reservation.stages[1]?.endpointId, "d");
});

test("the capacity that a stream uses at its first engine does not prevent its move", async (t) => {
  const { endpoints, orders, monitor } = setUp();
  const first = endpoints.get("a");
  if (first === undefined) return t.fail();
  const capacity = getCapacityTokenLayers(first, profile);
  // The whole usable capacity is taken, including the reservation of this stream.
  first.addOwnLoad(1, Math.floor(capacity * 0.92) - first.ownLoad.tokenLayers);
  await monitor.check();
  t.deepEqual(orders.chains, ["a,c"]);
});

test("a stream that stays silent is in doubt before its caller disconnects, and its run continues", async (t) => {
  const { clock, monitor, attempt } = setUp();
  let doubts = 0;
  attempt.onDoubt = () => (doubts += 1);
  clock.nowMs += 1_000;
  await monitor.check();
  t.is(doubts, 1);
  t.false(attempt.abort.signal.aborted);
});

test("a stream is moved immediately when the process of a later engine of its chain restarts", async (t) => {
  const { endpoints, orders, attempt, reservation } = setUp();
  endpoints.noteStart("b", 1_000, [{ start: 2, end: 4 }]);
  endpoints.noteStart("b", 2_000, []);
  t.deepEqual(orders.chains, ["a,c"]);
  t.is(reservation.stages[1]?.endpointId, "c");
  t.false(attempt.abort.signal.aborted);
});

test("a stream is aborted when the process of its first engine restarts", (t) => {
  const { endpoints, attempt } = setUp();
  endpoints.noteStart("a", 1_000, [{ start: 0, end: 2 }]);
  endpoints.noteStart("a", 2_000, [{ start: 0, end: 2 }]);
  t.true(attempt.abort.signal.aborted);
});

test("a suspension of this process does not count as silence of its streams", async (t) => {
  const { clock, monitor, attempt } = setUp();
  clock.nowMs += 6_000;
  monitor.noteSuspension(6_000);
  await monitor.check();
  t.false(attempt.abort.signal.aborted);
});

// Guards against successors of streams that are only silent since their callers read them slowly.
test("a stream whose caller reads slowly is not silent", async (t) => {
  const { clock, orders, monitor, attempt } = setUp();
  attempt.isPaused = true;
  clock.nowMs += 1_000;
  await monitor.check();
  t.is(attempt.doubt, undefined);
  t.deepEqual(orders.asked, []);
});

// Guards against suspicions of sound engines by an instance that was held up itself, so that it read their reports too late.
test("a report that is late since this process was held up is no evidence against its engine", async (t) => {
  const { clock, endpoints, orders, monitor, attempt } = setUp();
  orders.silent.add("a");
  orders.onAsked = () => (clock.nowMs += 600);
  await monitor.check();
  t.deepEqual(orders.asked, ["a"]);
  t.false(endpoints.get("a")?.isSuspect(clock.nowMs));
  t.is(attempt.doubt, undefined);
});
