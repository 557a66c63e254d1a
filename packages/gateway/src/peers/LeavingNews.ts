/** How an endpoint's word that it leaves, read by one instance in an answer, comes to all others and to newcomers. */
import { NewsExchange, type NewsExchangeStructure } from "@shedtiller/membership";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { notePeerMessageInvalid } from "./notePeerMessageInvalid.js";
import { leavingSchema, peerTopics } from "./peerMessages.js";

/** What the news works with. */
export interface LeavingNewsStructure extends Pick<NewsExchangeStructure<string[]>, "membership" | "random"> {
  readonly endpoints: Pick<EndpointTable, "noteLeaving" | "getLeavingLives">;
  readonly statements: Pick<EndpointStatements, "onLeaving">;
  readonly log: DecisionLog;
}

/** One an instance. */
export class LeavingNews {
  constructor(private readonly _structure: LeavingNewsStructure) {
    const { membership, random, endpoints, statements, log } = _structure;
    const news = new NewsExchange<string[]>({
      membership,
      random,
      topic: peerTopics.leaving,
      schema: leavingSchema,
      onInvalid: (topic, from) => notePeerMessageInvalid(log, topic, from),
      take: (told) => this._take(told),
      tellAll: () => toNews(endpoints.getLeavingLives()),
    });
    statements.onLeaving((lifeId) => news.tell([lifeId]));
  }

  private _take(told: readonly string[]): string[] | undefined {
    const { endpoints, log } = this._structure;
    const isNews = told.filter((lifeId) => endpoints.noteLeaving(lifeId));
    for (const lifeId of isNews) log.info("endpoint-leaves", { lifeId, source: "peer" });
    return toNews(isNews);
  }
}

function toNews(lifeIds: string[]): string[] | undefined {
  return lifeIds.length === 0 ? undefined : lifeIds;
}
