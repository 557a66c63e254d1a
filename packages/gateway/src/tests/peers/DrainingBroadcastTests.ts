/** Tests that all instances, including those of other zones, are notified that an endpoint drains once it has notified one instance. */
import test from "ava";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointStatements } from "../../discovery/EndpointStatements.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { emptyStatement } from "../../http/EndpointStatement.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { DrainingBroadcast } from "../../peers/DrainingBroadcast.js";
import { createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork } from "./PeerNetwork.js";

const zones = ["east", "east", "west", "west", "west"];

interface Instance {
  readonly endpoints: EndpointTable;
  readonly statements: EndpointStatements;
}

function createInstance(network: PeerNetwork, name: string, availabilityZone: string): Instance {
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const endpoints = new EndpointTable(() => 0);
  endpoints.setAll(new Map([["a", createListed("a")]]));
  const statements = new EndpointStatements({ endpoints, limits: new EndpointLimits({ log }), log });
  const membership = network.join({ name, availabilityZone });
  new DrainingBroadcast({ membership, endpoints, statements, log, random: () => 0 });
  return { endpoints, statements };
}

// Guards against instances that keep sending requests to a draining endpoint because it has notified only other instances.
test("an endpoint that notified one instance that it drains receives no new requests from any instance", (t) => {
  const network = new PeerNetwork();
  const instances = zones.map((zone, index) => createInstance(network, `i${index}`, zone));
  const [first] = instances;
  const endpoint = first?.endpoints.get("a");
  const stated = { ...emptyStatement, isDraining: true };
  if (endpoint !== undefined)
    for (let answer = 0; answer < 3; answer++)
      first?.statements.noteAnswer(endpoint, { status: 200, stated, sentAtMs: 0 });
  t.deepEqual(
    instances.map(({ endpoints }) => endpoints.getUsable("engines").length),
    [0, 0, 0, 0, 0],
  );
});
