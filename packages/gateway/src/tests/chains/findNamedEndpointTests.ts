/** A refusal names an address, and an address may be listed twice. */
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

test("of two endpoints that are listed under an address the one that the chain meant is at fault", (t) => {
  for (const ids of [
    ["before", "after"],
    ["after", "before"],
  ])
    t.is(findNamedEndpoint(createTable(...ids), stages, "10.0.0.1:80")?.id, "before");
});

test("an endpoint of the chain that is gone has no other one at fault in its place", (t) => {
  t.is(findNamedEndpoint(createTable("after"), stages, "10.0.0.1:80"), undefined);
});

test("an engine that the chain does not have is found by its address", (t) => {
  t.is(findNamedEndpoint(createTable("after"), [], "10.0.0.1:80")?.id, "after");
  t.is(findNamedEndpoint(createTable("after"), [], "10.0.0.2:80"), undefined);
});
