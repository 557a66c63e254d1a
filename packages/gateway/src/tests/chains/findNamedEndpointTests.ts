/** Lookup of the endpoint that a rejection names by an address, which may be listed twice. */
import test from "ava";
import { findNamedEndpoint } from "../../chains/findNamedEndpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { createListed } from "../testData.js";

function createTable(...ids: string[]): EndpointTable {
  const table = new EndpointTable(() => 0);
  table.setAll(new Map(ids.map((id) => [id, createListed(id, { address: "10.0.0.1:80" })])));
  return table;
}

const stages = [{ endpointId: "before", address: "10.0.0.1:80", start: 0, end: 4 }];

test("of two endpoints with the same address the one in the chain is at fault", (t) => {
  for (const ids of [
    ["before", "after"],
    ["after", "before"],
  ])
    t.is(findNamedEndpoint(createTable(...ids), stages, "10.0.0.1:80")?.id, "before");
});

test("if an endpoint of the chain has ended, its replacement at the same address is not at fault", (t) => {
  t.is(findNamedEndpoint(createTable("after"), stages, "10.0.0.1:80"), undefined);
});

test("an engine outside the chain is found by its address", (t) => {
  t.is(findNamedEndpoint(createTable("after"), [], "10.0.0.1:80")?.id, "after");
  t.is(findNamedEndpoint(createTable("after"), [], "10.0.0.2:80"), undefined);
});
