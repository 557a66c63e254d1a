/** Choice of chains with shares of requests between zones. */
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import { otherZoneMs } from "../../chains/EntryCosts.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { ZoneFlows } from "../../loadcontrol/ZoneFlows.js";
import { createEngine, profile } from "../testData.js";

const demand = { promptTokens: 8, answerTokens: 2, availabilityZone: "east" };

/** Sends all requests to one zone, or has no shares. */
class FixedFlows extends ZoneFlows {
  constructor(private readonly _zone: string | undefined) {
    super();
  }

  noteArrival(): void {
    // The zone is fixed.
  }

  getZoneMs(_service: string, availabilityZone: string): number | undefined {
    if (this._zone === undefined) return undefined;
    return availabilityZone === this._zone ? 0 : otherZoneMs;
  }
}

function chooseFirst(
  drawnZone: string | undefined,
  engines: readonly Endpoint[],
  firstEndpointId?: string,
): unknown {
  const chooser = new ChainChooser(
    () => 1_000,
    () => 0.5,
    { flows: new FixedFlows(drawnZone) },
  );
  return chooser.choose(engines, profile, { ...demand, firstEndpointId })?.[0]?.endpointId;
}

function createEngines(): [home: Endpoint, away: Endpoint] {
  return [createEngine("home", 0, 4), createEngine("away", 0, 4, { availabilityZone: "west" })];
}

test("a request runs in the drawn zone, and at home without shares", (t) => {
  t.is(chooseFirst("west", createEngines()), "away");
  t.is(chooseFirst("east", createEngines()), "home");
  t.is(chooseFirst(undefined, createEngines()), "home");
});

test("a request runs elsewhere if the drawn zone has no free chain", (t) => {
  const [home, away] = createEngines();
  away.addOwnLoad(1, getCapacityTokenLayers(away, profile));
  t.is(chooseFirst("west", [home, away]), "home");
});

test("a stream that has begun keeps its first engine", (t) => {
  t.is(chooseFirst("west", createEngines(), "home"), "home");
});
