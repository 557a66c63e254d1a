/** Causes the faults that traces name. */
import { errors, utils } from "@shedtiller/common";
import { StandInEngine } from "../engine/StandInEngine.js";
import type { Fleet } from "../fleet/Fleet.js";
import type { StandInService } from "../service/StandInService.js";
import type { FaultLine } from "./traceSchema.js";

const lateReplyMs = 200;

/** Causes one fault, and ends it after its time. Resolves once it is over. */
export async function applyFault(fleet: Fleet, fault: FaultLine): Promise<void> {
  const { target = "", forMs, delayMs = 0 } = fault;
  switch (fault.what) {
    case "endpoint-dies":
      return endpointDies(fleet, getEndpoint(fleet, target), forMs);
    case "endpoint-hangs":
      return endpointHangs(getEndpoint(fleet, target), forMs ?? 0);
    case "endpoint-leaves":
      return fleet.leaveEndpoint(target);
    case "reply-lost":
      return loseReply(getEndpoint(fleet, target));
    case "reply-crossed":
      return crossReply(getEndpoint(fleet, target));
    case "link-slow":
      fleet.network.setDelay(target, delayMs);
      return endLater(forMs, () => fleet.network.setDelay(target, 0));
    case "log-down":
      fleet.log.isDown = true;
      return endLater(forMs, () => {
        fleet.log.isDown = false;
      });
    case "log-reply-lost":
      return fleet.log.loseNextReply();
    case "zone-cut":
      fleet.network.cutZone(target);
      return endLater(forMs, () => fleet.network.mendZone(target));
    case "instance-dies":
      return fleet.killInstance(target);
    case "instance-stops":
      return fleet.stopInstance(target);
    case "instance-pauses":
      fleet.network.holdNode(target);
      return endLater(forMs, () => fleet.network.releaseNode(target));
  }
}

type Endpoint = StandInEngine | StandInService;

function getEndpoint(fleet: Fleet, name: string): Endpoint {
  const endpoint = fleet.engines.get(name) ?? fleet.services.get(name);
  if (endpoint === undefined) throw new errors.InvalidInputError(name, "is no endpoint");
  return endpoint;
}

async function endLater(forMs: number | undefined, end: () => void): Promise<void> {
  if (forMs === undefined) return;
  await utils.sleep(forMs);
  end();
}

async function endpointDies(fleet: Fleet, endpoint: Endpoint, forMs: number | undefined): Promise<void> {
  fleet.network.dropNode(endpoint.name);
  await endpoint.vanish();
  if (forMs === undefined) return;
  await utils.sleep(forMs);
  await endpoint.comeBack();
  await fleet.network.restoreNode(endpoint.name);
}

async function endpointHangs(endpoint: Endpoint, forMs: number): Promise<void> {
  endpoint.hang();
  await utils.sleep(forMs);
  endpoint.resume();
}

function loseReply(endpoint: Endpoint): void {
  if (endpoint instanceof StandInEngine) endpoint.spoilReply("lost");
  else endpoint.loseNextReply();
}

function crossReply(endpoint: Endpoint): void {
  if (endpoint instanceof StandInEngine) endpoint.spoilReply("crossed");
  else endpoint.delayNextReply(lateReplyMs);
}
