/** How an endpoint's word that it leaves, read by one instance in an answer, comes to all others and to newcomers. */
import { PeerBroadcast, type PeerBroadcastStructure } from "@shedtiller/membership";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { leavingSchema, peerTopics } from "./peerMessages.js";

/** What the news works with. */
export interface DrainingBroadcastStructure extends Pick<
  PeerBroadcastStructure<string[]>,
  "membership" | "random"
> {
  readonly endpoints: Pick<EndpointTable, "noteDraining" | "getDrainingLives">;
  readonly statements: Pick<EndpointStatements, "onDraining">;
  readonly log: DecisionLog;
}

/** One an instance. */
export class DrainingBroadcast {
  constructor(private readonly _structure: DrainingBroadcastStructure) {
    const { membership, random, endpoints, statements, log } = _structure;
    const news = new PeerBroadcast<string[]>({
      membership,
      random,
      topic: peerTopics.leaving,
      schema: leavingSchema,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      applyUpdate: (told) => this._take(told),
      getFullState: () => toNews(endpoints.getDrainingLives()),
    });
    statements.onDraining((lifeId) => news.broadcast([lifeId]));
  }

  private _take(told: readonly string[]): string[] | undefined {
    const { endpoints, log } = this._structure;
    const isNews = told.filter((lifeId) => endpoints.noteDraining(lifeId));
    for (const lifeId of isNews) log.info("endpoint-leaves", { lifeId, source: "peer" });
    return toNews(isNews);
  }
}

function toNews(lifeIds: string[]): string[] | undefined {
  return lifeIds.length === 0 ? undefined : lifeIds;
}
