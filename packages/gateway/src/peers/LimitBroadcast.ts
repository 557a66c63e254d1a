/** How a limit that one instance read in an answer comes to all others, also to those that have not asked the endpoint yet. */
import { utils } from "@shedtiller/common";
import { PeerBroadcast, type PeerBroadcastStructure } from "@shedtiller/membership";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointLimits } from "../discovery/EndpointLimits.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { limitsSchema, peerTopics, type LimitMessage } from "./peerMessages.js";

/** What the news works with. */
export interface LimitBroadcastStructure extends Pick<
  PeerBroadcastStructure<LimitMessage[]>,
  "membership" | "random"
> {
  readonly endpoints: EndpointTable;
  readonly limits: EndpointLimits;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** One an instance. */
export class LimitBroadcast {
  private readonly _nowMs: () => number;
  private readonly _news: PeerBroadcast<LimitMessage[]>;

  constructor(private readonly _structure: LimitBroadcastStructure) {
    const { membership, random, endpoints, limits, log } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._news = new PeerBroadcast({
      membership,
      random,
      topic: peerTopics.limits,
      schema: limitsSchema,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      applyUpdate: (told) => this._take(told),
      getFullState: () => this._describe(endpoints.getAll()),
    });
    limits.onLearnt((endpoint) => {
      const news = this._describe([endpoint]);
      if (news !== undefined) this._news.broadcast(news);
    });
  }

  private _take(told: readonly LimitMessage[]): LimitMessage[] | undefined {
    return this._describe(told.flatMap((limit) => this._takeOne(limit) ?? []));
  }

  /** Gives the endpoint where the word was news. */
  private _takeOne({ lifeId, perSecond, ageMs }: LimitMessage): Endpoint | undefined {
    const endpoint = this._structure.endpoints.getLife(lifeId);
    if (endpoint === undefined) return undefined;
    const word = { perSecond: perSecond ?? undefined, atMs: this._nowMs() - ageMs };
    return this._structure.limits.applyPeerLimit(endpoint, word) ? endpoint : undefined;
  }

  /** The limits of endpoints as they are told; undefined where none of them has named one. */
  private _describe(endpoints: readonly Endpoint[]): LimitMessage[] | undefined {
    const nowMs = this._nowMs();
    const told = endpoints.flatMap(({ lifeId, limit }): LimitMessage[] =>
      limit === undefined
        ? []
        : [{ lifeId, perSecond: limit.perSecond ?? null, ageMs: Math.max(0, nowMs - limit.atMs) }],
    );
    return told.length === 0 ? undefined : told;
  }
}
