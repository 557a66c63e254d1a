/** Room is given back exactly once, to the engine that it was taken from. */
import test from "ava";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { createListed } from "../testData.js";

const noLoad = { requests: 0, tokenLayers: 0 };

function setUp() {
  const table = new EndpointTable(() => 0);
  table.setAll(new Map(["a", "b"].map((id) => [id, createListed(id)])));
  const stage = (endpointId: string) => ({ endpointId, address: "", start: 0, end: 2 });
  return { table, stage };
}

test("a chain that is changed after the request has ended takes no room", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  t.deepEqual(table.get("a")?.ownLoad, { requests: 1, tokenLayers: 20 });
  reservation.release();
  reservation.move([stage("b")]);
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
  t.deepEqual(table.get("b")?.ownLoad, noLoad);
});

test("a moved request gives the old room back", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  reservation.move([stage("b")]);
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
  t.deepEqual(table.get("b")?.ownLoad, { requests: 1, tokenLayers: 20 });
});

test("an engine that left the list and came back is not given room back that it never lent", (t) => {
  const { table, stage } = setUp();
  const reservation = new ChainReservation(table, [stage("a")], 10);
  table.apply([{ key: "a", value: undefined }]);
  table.apply([{ key: "a", value: createListed("a") }]);
  reservation.release();
  t.deepEqual(table.get("a")?.ownLoad, noLoad);
});
