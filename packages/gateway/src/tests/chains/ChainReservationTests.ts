/** Reserved load is released exactly once, at the engine where it was reserved. */
import test from "ava";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { createListed } from "../testData.js";

const noLoad = { requests: 0, tokenLayers: 0, promptTokens: 0 };

function setUp() {
  const table = new EndpointTable(() => 0);
  table.setAll(new Map(["a", "b"].map((id) => [id, createListed(id)])));
  const stage = (endpointId: string) => ({ endpointId, address: "", start: 0, end: 2 });
  return { table, stage };
}

test("a move after the release reserves no load", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  t.deepEqual(table.get("a")?.ownLoad, { requests: 1, tokenLayers: 20, promptTokens: 0 });
  reservation.release();
  reservation.move([stage("b")]);
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
  t.deepEqual(table.get("b")?.ownLoad, noLoad);
});

test("a move releases the load at the previous chain", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  reservation.move([stage("b")]);
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
  t.deepEqual(table.get("b")?.ownLoad, { requests: 1, tokenLayers: 20, promptTokens: 0 });
});

test("a release does not change the load of an engine that has left the list and returned", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  table.apply([{ key: "a", value: undefined }]);
  table.apply([{ key: "a", value: createListed("a") }]);
  reservation.release();
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
});

test("a first event is reported for the chain that was reserved first, but not after a move", (t) => {
  const { table, stage } = setUp();
  let reported = 0;
  const reserve = () => new ChainReservation(table, [stage("a")], 10, 5, undefined, () => (reported += 1));
  reserve().notePromptRead();
  t.is(reported, 1);
  const moved = reserve();
  moved.move([stage("b")]);
  moved.notePromptRead();
  t.is(reported, 1);
});
