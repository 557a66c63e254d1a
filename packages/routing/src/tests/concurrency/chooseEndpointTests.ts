/** Choice of plain endpoints by expected time, and the limits that follow from their records. */
import test from "ava";
import { SendPace } from "../../concurrency/SendPace.js";
import { chooseEndpoint } from "../../concurrency/chooseEndpoint.js";
import {
  areSlotsInUse,
  getAnswerIntervalMs,
  rateEndpoints,
  type EndpointState,
} from "../../concurrency/EndpointRating.js";

function createState(id: string, changes: Partial<EndpointState> = {}): EndpointState {
  const record = { answers: 20, failures: 0, timeMs: 1_000, overdue: 0 };
  return { id, slots: 6, requests: 0, isOwnZone: false, ...record, ...changes };
}

function choose(states: readonly EndpointState[], isIdempotent = true, random = 0): string | undefined {
  const ratings = rateEndpoints(states);
  return chooseEndpoint(ratings, { isIdempotent, random: () => random })?.state.id;
}

test("an endpoint of the own zone gets the request while half of its slots are free, and fewer beyond", (t) => {
  const others = [createState("a"), createState("c")];
  t.is(choose([...others, createState("b", { isOwnZone: true, requests: 2 })], true, 0.9), "b");
  const busy = createState("b", { isOwnZone: true, requests: 5 });
  t.is(choose([...others, busy], true, 0.1), "b");
  t.is(choose([...others, busy], true, 0.4), "c");
});

test("shares follow the load gradually and the record steeply", (t) => {
  const queued = [createState("a", { requests: 11 }), createState("b")];
  t.is(choose(queued, true, 0.3), "a", "twice as long a queue gets half as many");
  const slow = [createState("a", { timeMs: 8_000 }), createState("b")];
  t.is(choose(slow, true, 0.01), "b");
});

test("an endpoint that fails a tenth gets safe requests only", (t) => {
  const states = [createState("a", { failures: 2, timeMs: 900 }), createState("b", { requests: 1 })];
  t.is(choose(states, false), "b");
  t.is(choose(states, true), "a");
});

test("an unsafe request prefers a proven endpoint to one without a record", (t) => {
  const states = [createState("new", { answers: 0, timeMs: 0 }), createState("proven", { requests: 2 })];
  t.is(choose(states, false), "proven");
});

test("an endpoint with an overdue answer gets no request while another has none", (t) => {
  const hanging = createState("a", { overdue: 1 });
  t.is(choose([hanging, createState("b", { requests: 5 })]), "b");
  t.is(choose([hanging, createState("b", { overdue: 2, requests: 3 })]), "a");
});

test("slots of slow and failing endpoints are usable in part, and slots of endpoints that are slow together in whole", (t) => {
  const [slow, fast] = rateEndpoints([createState("a", { timeMs: 10_000 }), createState("b")]);
  t.true((slow?.usableSlots ?? 6) < 2);
  t.is(fast?.usableSlots, 6);
  const failing = rateEndpoints([createState("a", { failures: 10, timeMs: 500 }), createState("b")]);
  t.true((failing[0]?.usableSlots ?? 6) < 4);
  const together = rateEndpoints([createState("a", { timeMs: 9_000 }), createState("b", { timeMs: 9_000 })]);
  t.deepEqual(
    together.map(({ usableSlots }) => usableSlots),
    [6, 6],
  );
});

test("failures that all endpoints share limit none", (t) => {
  const states = ["a", "b"].map((id) => createState(id, { failures: 5, timeMs: 750 }));
  t.deepEqual(
    rateEndpoints(states).map(({ successShare, usableSlots }) => [successShare, usableSlots]),
    [
      [1, 6],
      [1, 6],
    ],
  );
});

test("slots are in use by the requests of all instances, or by the own share of them", (t) => {
  const ratings = rateEndpoints([createState("a", { requests: 8 }), createState("b", { requests: 3 })]);
  t.false(areSlotsInUse(ratings, 1));
  t.true(areSlotsInUse(ratings, 0.1));
  t.is(getAnswerIntervalMs(ratings, 48), 4);
});

test("figures below zero, as after a restart of the collector, give finite ratings", (t) => {
  const odd = createState("a", { answers: -3, failures: -1, timeMs: -100, overdue: -1, requests: -2 });
  for (const { serviceMs, successShare, usableSlots } of rateEndpoints([odd, createState("b")])) {
    t.true(Number.isFinite(serviceMs) && serviceMs > 0);
    t.true(successShare > 0 && successShare <= 1);
    t.true(usableSlots >= 0);
  }
});

test("the sends of an instance keep their pace, and catch up with a pause by one", (t) => {
  const pace = new SendPace();
  pace.noteSent(1_000, 100);
  t.is(pace.getWaitMs(1_000), 0);
  pace.noteSent(1_000, 100);
  t.is(pace.getWaitMs(1_000), 100);
  pace.noteSent(9_000, 100);
  pace.noteSent(9_000, 100);
  t.is(pace.getWaitMs(9_000), 100);
});
