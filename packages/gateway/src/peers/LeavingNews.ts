import { NewsExchange, type NewsExchangeStructure } from "@shedtiller/membership";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { notePeerMessageInvalid } from "./notePeerMessageInvalid.js";
import { drainingSchema, peerTopics } from "./peerMessages.js";

/** Dependencies of {@link DrainingBroadcast}. */
export interface LeavingNewsStructure extends Pick<NewsExchangeStructure<string[]>, "membership" | "random"> {
  readonly endpoints: Pick<EndpointTable, "noteLeaving" | "getLeavingLives">;
  readonly statements: Pick<EndpointStatements, "onLeaving">;
  readonly log: DecisionLog;
}

/** Broadcasts to all instances, including newly linked ones, that an endpoint drains, once one instance has read this in a response. */
export class LeavingNews {
  constructor(private readonly _structure: LeavingNewsStructure) {
    const { membership, random, endpoints, statements, log } = _structure;
    const broadcast = new NewsExchange<string[]>({
      membership,
      random,
      topic: peerTopics.leaving,
      schema: drainingSchema,
      onInvalid: (topic, from) => notePeerMessageInvalid(log, topic, from),
      take: (lifeIds) => this._accept(lifeIds),
      tellAll: () => toMessage(endpoints.getLeavingLives()),
    });
    statements.onLeaving((lifeId) => broadcast.tell([lifeId]));
  }

  /** Marks endpoints as draining, and returns those that were not marked before. */
  private _accept(lifeIds: readonly string[]): string[] | undefined {
    const { endpoints, log } = this._structure;
    const added = lifeIds.filter((lifeId) => endpoints.noteLeaving(lifeId));
    for (const lifeId of added) log.info("endpoint-leaves", { lifeId, source: "peer" });
    return toMessage(added);
  }
}

function toMessage(lifeIds: string[]): string[] | undefined {
  return lifeIds.length === 0 ? undefined : lifeIds;
}
