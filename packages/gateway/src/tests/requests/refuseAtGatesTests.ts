/** The decision of the admission gates on streams, as callers observe it over real sockets. */
import test from "ava";
import { AdmissionGate, type GateQuery, type GateRefusal } from "../../loadcontrol/AdmissionGate.js";
import { answer, callerHeaders, recordRequests, setUp } from "./endpointHandlers.js";

const stream = { kind: "streaming", isResumable: true } as const;
const allLayers = { layers: [{ start: 0, end: 4 }] };

/** Rejects every request. */
class ClosedGate extends AdmissionGate {
  readonly queries: GateQuery[] = [];

  override getRefusal(query: GateQuery): GateRefusal {
    this.queries.push(query);
    return { reason: "account-share", retryAfterMs: 70, inputs: { level: 2 } };
  }
}

test("a stream that a gate rejects is not executed and has the gate's time to return", async (t) => {
  const fixture = await setUp(t, stream);
  const gate = new ClosedGate();
  fixture.gates.push(gate);
  const engine = recordRequests(answer(200, "ran"));
  await fixture.list([engine], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 503);
  t.is(received.headers["x-retry-after-ms"], "70");
  t.is(received.body, JSON.stringify({ error: "account-share" }));
  t.is(engine.requests.length, 0);
  const [query] = gate.queries;
  t.is(query?.accountName, "farm");
  t.is(query?.priority, 2, "the priority of the account precedes that of the route");
});

test("a stream that resumes after its first events passes the gates", async (t) => {
  const fixture = await setUp(t, stream);
  fixture.gates.push(new ClosedGate());
  await fixture.list([answer(200, "id: 2\ndata: b\n\n")], allLayers);
  const received = await fixture.request("POST", { ...callerHeaders, "x-last": "1" });
  t.is(received.status, 200);
});
