import { PeerBroadcast, type PeerBroadcastStructure } from "@shedtiller/membership";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { drainingSchema, peerTopics } from "./peerMessages.js";

/** Dependencies of {@link DrainingBroadcast}. */
export interface DrainingBroadcastStructure extends Pick<
  PeerBroadcastStructure<string[]>,
  "membership" | "random"
> {
  readonly endpoints: Pick<EndpointTable, "noteDraining" | "getDrainingLives">;
  readonly statements: Pick<EndpointStatements, "onDraining">;
  readonly log: DecisionLog;
}

/** Broadcasts to all instances, including newly linked ones, that an endpoint drains, once one instance has read this in a response. */
export class DrainingBroadcast {
  constructor(private readonly _structure: DrainingBroadcastStructure) {
    const { membership, random, endpoints, statements, log } = _structure;
    const broadcast = new PeerBroadcast<string[]>({
      membership,
      random,
      topic: peerTopics.draining,
      schema: drainingSchema,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      applyUpdate: (lifeIds) => this._accept(lifeIds),
      getFullState: () => toMessage(endpoints.getDrainingLives()),
    });
    statements.onDraining((lifeId) => broadcast.broadcast([lifeId]));
  }

  /** Marks endpoints as draining, and returns those that were not marked before. */
  private _accept(lifeIds: readonly string[]): string[] | undefined {
    const { endpoints, log } = this._structure;
    const added = lifeIds.filter((lifeId) => endpoints.noteDraining(lifeId));
    for (const lifeId of added) log.info("endpoint-leaves", { lifeId, source: "peer" });
    return toMessage(added);
  }
}

function toMessage(lifeIds: string[]): string[] | undefined {
  return lifeIds.length === 0 ? undefined : lifeIds;
}
