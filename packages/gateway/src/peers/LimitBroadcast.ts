import { utils } from "@shedtiller/common";
import {
  PeerBroadcast,
  type MessageClocks,
  type PeerBroadcastStructure,
  type PeerIdentity,
} from "@shedtiller/membership";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointLimits } from "../discovery/EndpointLimits.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { endpointLimitsSchema, peerTopics, type LimitMessage } from "./peerMessages.js";

/** Dependencies of {@link LimitBroadcast}. */
export interface LimitBroadcastStructure extends Pick<
  PeerBroadcastStructure<LimitMessage[]>,
  "membership" | "random"
> {
  readonly endpoints: EndpointTable;
  readonly limits: EndpointLimits;
  /** Dates the messages of peers; undefined if links hold up none. */
  readonly clocks?: MessageClocks | undefined;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/**
 * Broadcasts the rate limits that endpoints name in their responses to all instances, including those that have not sent a request to the
 * endpoint yet.
 */
export class LimitBroadcast {
  private readonly _nowMs: () => number;
  private readonly _broadcast: PeerBroadcast<LimitMessage[]>;

  constructor(private readonly _structure: LimitBroadcastStructure) {
    const { membership, random, endpoints, limits, log } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._broadcast = new PeerBroadcast({
      membership,
      random,
      topic: peerTopics.limits,
      schema: endpointLimitsSchema,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      applyUpdate: (messages, from) => this._accept(messages, from),
      getFullState: () => this._toMessages(endpoints.getAll()),
    });
    limits.onChangedByAnswer((endpoint) => {
      const messages = this._toMessages([endpoint]);
      if (messages !== undefined) this._broadcast.broadcast(messages);
    });
  }

  private _accept(messages: readonly LimitMessage[], from: PeerIdentity): LimitMessage[] | undefined {
    return this._toMessages(messages.flatMap((message) => this._acceptOne(message, from) ?? []));
  }

  /** Accepts a limit, and returns its endpoint if the limit replaces the known one. */
  private _acceptOne(
    { lifeId, perSecond, ageMs, sent }: LimitMessage,
    from: PeerIdentity,
  ): Endpoint | undefined {
    const endpoint = this._structure.endpoints.getLife(lifeId);
    if (endpoint === undefined) return undefined;
    const delayMs = this._structure.clocks?.getDelayMs(from.name, sent) ?? 0;
    const limit = { perSecond: perSecond ?? undefined, atMs: this._nowMs() - ageMs - delayMs };
    return this._structure.limits.applyPeerLimit(endpoint, limit) ? endpoint : undefined;
  }

  /** Returns the limits of endpoints in wire format, or undefined if no endpoint has named one. */
  private _toMessages(endpoints: readonly Endpoint[]): LimitMessage[] | undefined {
    const nowMs = this._nowMs();
    const sent = this._structure.clocks?.read();
    const messages = endpoints.flatMap(({ lifeId, limit }): LimitMessage[] =>
      limit === undefined
        ? []
        : [{ lifeId, perSecond: limit.perSecond ?? null, ageMs: Math.max(0, nowMs - limit.atMs), sent }],
    );
    return messages.length === 0 ? undefined : messages;
  }
}
