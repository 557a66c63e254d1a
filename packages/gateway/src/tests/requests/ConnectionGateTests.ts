/**
 * Guards against an instance that gets most new connections and serves all of them, so that each of its requests waits for an event loop
 * that is far behind, while other instances are idle.
 */
import * as http from "node:http";
import test from "ava";
import type { Member } from "@shedtiller/membership";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { ConnectionGate } from "../../requests/ConnectionGate.js";
import { decisionIntervalMs } from "../../requests/ConnectionLimitPolicy.js";
import { toMember } from "../peers/toMember.js";
import { createRoute } from "../testData.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

function create(peerHeartbeats: readonly Record<string, unknown>[]) {
  const state = { utilization: 0, accepted: 20, refused: 0, nowMs: 0 };
  const output = new RecordingLogOutput();
  const fields = new Map<string, () => unknown>();
  const peers: Member[] = peerHeartbeats.map((heartbeat, index) => ({
    ...toMember({ name: `peer-${index}`, availabilityZone: "east" }),
    heartbeat,
  }));
  const gate = new ConnectionGate({
    membership: {
      addHeartbeatField: (field, getValue) => void fields.set(field, getValue),
      getLinked: () => peers,
    },
    log: new DecisionLog(output, () => 0),
    takeUtilization: () => state.utilization,
    nowMs: () => state.nowMs,
  });
  let limit: number | undefined;
  const listener = {
    takeConnectionCounts: () => ({ accepted: state.accepted, refused: state.refused }),
    setAcceptLimit: (value: number | undefined) => (limit = value),
  };
  /** Ticks with an event loop that is busy for this share of its time; returns the limit. */
  const tick = (utilization: number, count: number): number | undefined => {
    state.utilization = utilization;
    for (let ticks = 0; ticks < count; ticks++) {
      gate.tick(listener);
      state.nowMs += decisionIntervalMs;
    }
    return limit;
  };
  return { state, output, tick, getField: () => fields.get("utilization")?.() };
}

test("new connections are limited while the event loop is busy and that of a peer is not", (t) => {
  const { tick, state, getField } = create([{ utilization: 1 }, { utilization: 0.2 }]);
  t.is(tick(0.9, 10), undefined);
  t.is(getField(), 0.9);
  t.is(tick(0.999, 3), 14, "less than were accepted before");
  t.is(getField(), 0.96, "the mean of a second");
  state.refused = 5;
  t.true((tick(1, 2) ?? 0) < 10);
  t.is(tick(1, 50), 1, "callers are always taken");
  const relaxed = tick(0.5, 20) ?? 0;
  t.true(relaxed > 10, "more, as soon as there is room");
});

test("the limit ends once no connection is refused any more", (t) => {
  const { tick, state } = create([{ utilization: 0.2 }]);
  state.refused = 5;
  t.not(tick(1, 5), undefined);
  t.not(tick(0.5, 20), undefined);
  state.refused = 0;
  t.not(tick(0.5, 2), undefined);
  t.is(tick(0.5, 1), undefined);
});

test("a short overload limits nothing", (t) => {
  const { tick } = create([{ utilization: 0.2 }]);
  tick(1, 2);
  t.is(tick(0.5, 1), undefined);
  t.is(tick(1, 2), undefined);
});

// Guards against instances that all send their callers to each other.
test("nothing is limited if no peer has room, or none states its utilization", (t) => {
  t.is(create([{ utilization: 0.8 }]).tick(1, 5), undefined);
  t.is(create([{}]).tick(1, 5), undefined);
  t.is(create([]).tick(1, 5), undefined);
});

// Guards against callers that are sent to an instance that has just started.
test("an instance states nothing before it has measured its utilization", (t) => {
  const { tick, getField } = create([]);
  t.is(getField(), undefined);
  tick(0.3, 1);
  t.is(getField(), 0.3);
});

// Guards against callers that a limited instance sends to another one, which sends them back.
test("an instance that limits new connections states that it has no room, however idle that makes it", (t) => {
  const { tick, state, getField } = create([{ utilization: 0.2 }]);
  tick(1, 3);
  state.refused = 5;
  t.not(tick(0.1, 5), undefined);
  t.is(getField(), 0.9);
  state.refused = 0;
  t.is(tick(0.1, 3), undefined);
  t.is(getField(), 0.1);
});

test("each change of the limit is logged with its inputs and their age", (t) => {
  const { tick, output } = create([{ utilization: 0.7 }, { utilization: 0.2 }]);
  tick(1, 3);
  tick(0.5, 3);
  t.deepEqual(output.events, ["warn connections-limited", "warn connections-unlimited"]);
  const peer = { peer: "peer-1", peerUtilization: 0.2 };
  const counts = { accepted: 20, refused: 0 };
  t.deepEqual(output.fields[0], {
    utilization: 1,
    ...counts,
    limit: 14,
    ...peer,
    peerAgeMs: 2 * decisionIntervalMs,
  });
  t.deepEqual(output.fields[1], {
    utilization: 0.5,
    ...counts,
    limit: undefined,
    ...peer,
    peerAgeMs: 5 * decisionIntervalMs,
  });
});

test("requests on connections beyond the limit are refused, and open ones are served and end with their answers", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  await fixture.start(createRoute({ targets: [{ service: "engines", weight: 1 }], kind: "safe" }));
  let arrivals = 0;
  const handler: EndpointHandler = (request, response) => {
    arrivals += 1;
    response.writeHead(200, { "x-id": String(request.headers["x-id"]) }).end("whole");
  };
  await fixture.list([handler], {});
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  const headers = { "x-id": "r1", "x-key": "k1" };
  const before = await fixture.request("GET", headers, "/a/x", agent);
  t.not(before.headers.connection, "close");
  fixture.setAcceptLimit(0);
  const refused = await fixture.request("GET", headers);
  t.is(refused.status, 503);
  t.is(refused.headers.connection, "close");
  t.is(arrivals, 1);
  const open = await fixture.request("GET", headers, "/a/x", agent);
  t.is(open.status, 200);
  t.is(open.headers.connection, "close");
  fixture.setAcceptLimit(undefined);
  t.is((await fixture.request("GET", headers)).status, 200);
});
