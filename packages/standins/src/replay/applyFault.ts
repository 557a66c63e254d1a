/** Injects the faults of a trace into a fleet. */
import { errors, utils } from "@shedtiller/common";
import { StandInEngine } from "../engine/StandInEngine.js";
import type { Fleet } from "../fleet/Fleet.js";
import type { StandInService } from "../service/StandInService.js";
import type { FaultLine } from "./traceSchema.js";

const reorderedReplyDelayMs = 200;

/** Injects one fault. Resolves once the fault has ended after `forMs`, or at once if the fault has no duration. */
export async function applyFault(fleet: Fleet, fault: FaultLine): Promise<void> {
  const { target = "", forMs, delayMs = 0 } = fault;
  switch (fault.what) {
    case "endpoint-dies":
      return killEndpoint(fleet, getEndpoint(fleet, target), forMs);
    case "endpoint-hangs":
      return hangEndpoint(getEndpoint(fleet, target), forMs ?? 0);
    case "endpoint-leaves":
      return fleet.drainEndpoint(target);
    case "reply-lost":
      return loseReply(getEndpoint(fleet, target));
    case "reply-crossed":
      return reorderReply(getEndpoint(fleet, target));
    case "link-slow":
      fleet.network.setDelay(target, delayMs);
      return endAfter(forMs, () => fleet.network.setDelay(target, 0));
    case "log-down":
      fleet.log.isDown = true;
      return endAfter(forMs, () => {
        fleet.log.isDown = false;
      });
    case "log-reply-lost":
      return fleet.log.loseNextReply();
    case "zone-cut":
      fleet.network.cutZone(target);
      return endAfter(forMs, () => fleet.network.healZone(target));
    case "instance-dies":
      return fleet.killInstance(target);
    case "instance-stops":
      return fleet.stopInstance(target);
    case "instance-pauses":
      fleet.network.suspendNode(target);
      return endAfter(forMs, () => fleet.network.resumeNode(target));
  }
}

type Endpoint = StandInEngine | StandInService;

function getEndpoint(fleet: Fleet, name: string): Endpoint {
  const endpoint = fleet.engines.get(name) ?? fleet.services.get(name);
  if (endpoint === undefined) throw new errors.InvalidInputError(name, "is not an endpoint of the fleet");
  return endpoint;
}

async function endAfter(forMs: number | undefined, end: () => void): Promise<void> {
  if (forMs === undefined) return;
  await utils.sleep(forMs);
  end();
}

async function killEndpoint(fleet: Fleet, endpoint: Endpoint, forMs: number | undefined): Promise<void> {
  fleet.network.disconnectNode(endpoint.name);
  await endpoint.kill();
  if (forMs === undefined) return;
  await utils.sleep(forMs);
  await endpoint.restart();
  await fleet.network.reconnectNode(endpoint.name);
}

async function hangEndpoint(endpoint: Endpoint, forMs: number): Promise<void> {
  endpoint.hang();
  await utils.sleep(forMs);
  endpoint.resume();
}

function loseReply(endpoint: Endpoint): void {
  if (endpoint instanceof StandInEngine) endpoint.addReplyFault("lost");
  else endpoint.loseNextReply();
}

function reorderReply(endpoint: Endpoint): void {
  if (endpoint instanceof StandInEngine) endpoint.addReplyFault("crossed");
  else endpoint.delayNextReply(reorderedReplyDelayMs);
}
