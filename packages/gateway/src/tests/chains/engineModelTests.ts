/** Memory and capacity of engines by their kind. */
import test from "ava";
import { getCapacityTokenLayers, getKind, toCopyEngine } from "../../chains/engineModel.js";
import { Endpoint } from "../../discovery/Endpoint.js";
import { createListed, profile } from "../testData.js";

// Guards against an engine of an unknown kind that is ordered to hold as many layers as the first kind of the profile.
test("an engine of an unknown kind has no memory for layers or requests", (t) => {
  for (const kind of [undefined, "", "unlisted"]) {
    const engine = new Endpoint(createListed("e", { kind }));
    t.is(getKind(engine, profile), undefined);
    t.is(toCopyEngine(engine, profile).memoryMb, 0);
    t.is(getCapacityTokenLayers(engine, profile), 0);
  }
});
