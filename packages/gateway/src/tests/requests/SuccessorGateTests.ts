/** Successors of streams that fall silent together. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { SuccessorGate } from "../../requests/SuccessorGate.js";
import { createListed } from "../testData.js";

/** A time after which an engine without a sign is silent, and a trial is over. */
const longMs = 1_000;

function setUp() {
  const endpoints = new EndpointTable(() => 0);
  endpoints.setAll(new Map(["a", "b"].map((id) => [id, createListed(id)])));
  for (const endpoint of endpoints.getAll()) endpoint.heardAtMs = 0;
  const { service } = createListed("a");
  return { gate: new SuccessorGate(endpoints), first: endpoints.get("a") as Endpoint, service };
}

// Guards against successors that spend the retry budget although all streams are silent for one and the same cause.
test("of streams that are silent together only one gets a successor until an engine has given a sign", (t) => {
  const { gate, first, service } = setUp();
  t.true(gate.isSilenceCommon(service, longMs));
  t.true(gate.isOpen(service, longMs));
  gate.noteStart(service, longMs);
  t.false(gate.isOpen(service, longMs + 100));
  first.heardAtMs = longMs + 150;
  t.true(gate.isOpen(service, longMs + 200));
});

test("streams that are silent together may try another successor if the first one stays silent", (t) => {
  const { gate, service } = setUp();
  gate.noteStart(service, longMs);
  t.false(gate.isOpen(service, longMs + 100));
  t.true(gate.isOpen(service, 2 * longMs));
});

test("a silent stream gets a successor at once while other engines give signs", (t) => {
  const { gate, first, service } = setUp();
  first.heardAtMs = longMs;
  gate.noteStart(service, longMs);
  t.true(gate.isOpen(service, longMs));
  t.false(gate.isSilenceCommon(service, longMs));
});
