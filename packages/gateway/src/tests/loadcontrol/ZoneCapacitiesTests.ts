/** Capacity of zones from the engines that the table has. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { ZoneCapacities } from "../../loadcontrol/ZoneCapacities.js";
import { createListed, profile } from "../testData.js";

const service = "m";

function createTable(nowMs: () => number): EndpointTable {
  const table = new EndpointTable(nowMs);
  const listed = ["east", "west"].map((availabilityZone) =>
    createListed(availabilityZone, {
      service,
      availabilityZone,
      kind: "fast",
      layers: [{ start: 0, end: 4 }],
    }),
  );
  table.setAll(new Map(listed.map((each) => [each.id, each])));
  return table;
}

test("a suspect engine and one whose layers are gone add no capacity from that moment on", (t) => {
  const table = createTable(() => 0);
  const capacities = new ZoneCapacities(table, () => 0);
  const { east = 0, west = 0 } = Object.fromEntries(capacities.get(service, profile));
  t.true(east > 0);
  t.is(east, west);
  table.suspect("west");
  t.is(capacities.get(service, profile).get("west"), 0);
  const engine = table.get("east");
  if (engine !== undefined) table.setLayers(engine, [{ start: 0, end: 2 }]);
  t.is(capacities.get(service, profile).get("east"), 0);
});

test("the end of a suspicion and a change of pace count within a second", (t) => {
  let nowMs = 0;
  const table = createTable(() => nowMs);
  const capacities = new ZoneCapacities(table, () => nowMs);
  const usual = capacities.get(service, profile).get("east") ?? 0;
  table.suspect("west");
  t.is(capacities.get(service, profile).get("west"), 0);
  const engine = table.get("east");
  if (engine !== undefined) engine.slowness = 2;
  nowMs += 3_000;
  t.true((capacities.get(service, profile).get("west") ?? 0) > 0);
  t.true((capacities.get(service, profile).get("east") ?? 0) < usual);
});
