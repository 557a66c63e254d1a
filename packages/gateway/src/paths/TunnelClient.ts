import * as http from "node:http";
import type * as net from "node:net";
import { results, utils } from "@shedtiller/common";
import type { Member, Membership } from "@shedtiller/membership";
import type { Connection, ConnectionPath } from "../http/Connector.js";
import { peerTopics } from "../peers/peerMessages.js";
import {
  ticketHeader,
  tunnelEndSchema,
  tunnelPath,
  tunnelProtocol,
  tunnelReplySchema,
  type TunnelOutcome,
  type TunnelReply,
} from "./tunnelMessages.js";

/** Time for a peer to connect to the endpoint and to reply. */
const openTimeoutMs = 300;
/** Time to connect to the peer once the tunnel is open: a few round trips. */
const claimTimeoutMs = 300;
/** Time in which a peer says how a tunnel ended: enough to dial it again if the link to it has just been interrupted. */
const endTimeoutMs = 500;
const endRetryMs = 50;
/** Time for which a peer that could not help is asked only if no other is left. */
const avoidedMs = 1_000;
/** Time for which a peer that opened a tunnel counts as proven. */
const provenMs = 3_000;
/** Number of proven peers from which no others are asked, so that connections are spread over several peers. */
const minProven = 3;
/** Number of unproven peers that are asked at the same time, since a peer without a path of its own answers late. */
const askedTogether = 2;
/** Maximum number of peers that are asked for one connection; those that have no path either answer within a round trip. */
const maxAsked = 24;
/** Refused connections of peers after which no further peers are asked, since the endpoint's process has probably ended. */
const maxRefused = 4;
/** Time after which no further peers are asked, since the connection is needed within 400 ms. */
const askingTimeoutMs = 400;

/** Why no tunnel could be opened: the outcomes of the peers that were asked. */
export type TunnelFailure = readonly (TunnelOutcome | "no-reply")[];

/** Dependencies of {@link TunnelClient}. */
export interface TunnelClientStructure {
  readonly membership: Pick<Membership, "self" | "getLinked" | "request" | "onNotice" | "onLinked">;
  /** Connects to a peer with the ticket of a tunnel; replaced in tests. */
  readonly claim?: typeof claimTunnel;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random?: () => number;
}

interface PeerState {
  avoidedUntilMs: number;
  provenUntilMs: number;
  /** Number of connections that the peer forwards, as it last stated. */
  carried: number;
}

/** Opens connections to endpoints through peers: near ones first, and of two proven ones the one that forwards fewer connections. */
export class TunnelClient {
  private readonly _states = new Map<string, PeerState>();
  private readonly _leaving = new Set<string>();
  private readonly _leavingListeners: (() => void)[] = [];
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private readonly _claim: typeof claimTunnel;

  constructor(private readonly _structure: TunnelClientStructure) {
    this._claim = _structure.claim ?? claimTunnel;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
    const { membership } = _structure;
    membership.onNotice(peerTopics.tunnelsClosing, (_body, from) => this._noteLeaving(from.name));
    // A peer that has restarted forwards connections again; one whose link was in doubt has not restarted.
    membership.onLinked((peer, isResumed) => {
      if (isResumed !== true) this._leaving.delete(peer.name);
    });
  }

  /** Returns whether a peer forwards connections no longer. */
  isLeaving(peer: string): boolean {
    return this._leaving.has(peer);
  }

  /** Calls `listener` when a peer announces that it stops. */
  onPeerLeaving(listener: () => void): void {
    this._leavingListeners.push(listener);
  }

  /** Opens a connection to an endpoint through the first peer that reaches it. */
  async open(address: string): Promise<results.Result<Connection, TunnelFailure>> {
    const asked = new Set<string>();
    const outcomes: (TunnelOutcome | "no-reply")[] = [];
    const startedAtMs = this._nowMs();
    while (asked.size < maxAsked && this._nowMs() - startedAtMs < askingTimeoutMs) {
      const peers = this._pickPeers(asked);
      if (peers.length === 0) break;
      for (const { name } of peers) asked.add(name);
      const opened = await this._openFirst(peers, address, outcomes);
      if (opened !== undefined) return results.Ok(opened);
      if (outcomes.filter((outcome) => outcome === "refused").length >= maxRefused) break;
    }
    return results.Err(outcomes);
  }

  /** Asks a peer how the connection of a tunnel to its endpoint ended; false if the peer does not say that the endpoint closed it. */
  async wasClosedByServer({ peer, tunnelId }: ConnectionPath): Promise<boolean> {
    const { membership } = this._structure;
    const dueAtMs = this._nowMs() + endTimeoutMs;
    for (let leftMs = endTimeoutMs; leftMs > 0; leftMs = dueAtMs - this._nowMs()) {
      const reply = await membership.request(peer, peerTopics.tunnelEnd, { ticket: tunnelId }, leftMs);
      if (reply.ok) return tunnelEndSchema.safeParse(reply.val).data === "closed";
      await utils.sleep(endRetryMs);
    }
    return false;
  }

  /**
   * Returns the peers to ask next: one proven peer, or several unproven ones, of the own zone and of another one if possible, since a cut may
   * affect a whole zone.
   */
  private _pickPeers(asked: ReadonlySet<string>): Member[] {
    const nowMs = this._nowMs();
    const linked = this._structure.membership
      .getLinked()
      .filter((peer) => !peer.isLeaving && !this._leaving.has(peer.name));
    const candidates = utils.sample(
      linked.filter(({ name }) => !asked.has(name)),
      linked.length,
      this._random,
    );
    const proven = candidates.filter(({ name }) => nowMs < this._getState(name).provenUntilMs);
    if (proven.length >= minProven) return [this._pickLessLoaded(proven)];
    const isAvoided = ({ name }: Member): boolean => nowMs < this._getState(name).avoidedUntilMs;
    const fresh = candidates.filter((peer) => !isAvoided(peer) && !proven.includes(peer));
    // Beside a proven peer, one that may become proven is asked.
    if (proven.length > 0) return [this._pickLessLoaded(proven), ...fresh.slice(0, 1)];
    const pool = fresh.length > 0 ? fresh : candidates;
    const zone = this._structure.membership.self.availabilityZone;
    const near = pool.filter((peer) => peer.availabilityZone === zone);
    const far = pool.filter((peer) => peer.availabilityZone !== zone);
    const ordered = [...near.slice(0, 1), ...far.slice(0, 1), ...near.slice(1), ...far.slice(1)];
    return ordered.slice(0, askedTogether);
  }

  /** Picks the less loaded one of the first two of a random order, with peers of the own zone first. */
  private _pickLessLoaded(proven: readonly Member[]): Member {
    const zone = this._structure.membership.self.availabilityZone;
    const near = proven.filter((peer) => peer.availabilityZone === zone);
    const [first, second] = near.length > 0 ? near : proven;
    if (second === undefined) return first as Member;
    const isFirstLess = this._getState((first as Member).name).carried <= this._getState(second.name).carried;
    return isFirstLess ? (first as Member) : second;
  }

  /** Returns the first tunnel that a peer opens, and closes the others; undefined if none of the peers opens one. */
  private _openFirst(
    peers: readonly Member[],
    address: string,
    outcomes: (TunnelOutcome | "no-reply")[],
  ): Promise<Connection | undefined> {
    return new Promise((resolve) => {
      let isResolved = false;
      let pending = peers.length;
      const accept = (opened: Connection | undefined): void => {
        pending -= 1;
        if (opened !== undefined && isResolved) opened.socket.destroy();
        if (isResolved || (opened === undefined && pending > 0)) return;
        isResolved = true;
        resolve(opened);
      };
      for (const peer of peers) void this._openThrough(peer, address, outcomes).then(accept);
    });
  }

  private async _openThrough(
    peer: Member,
    address: string,
    outcomes: (TunnelOutcome | "no-reply")[],
  ): Promise<Connection | undefined> {
    const reply = await this._ask(peer, address);
    const state = this._getState(peer.name);
    const { ticket, peerAddress } = reply ?? {};
    const isOpen = ticket !== undefined && peerAddress !== undefined;
    const socket = isOpen ? await this._claim(peerAddress, ticket) : undefined;
    if (reply !== undefined) state.carried = reply.carried;
    if (socket === undefined) {
      outcomes.push(reply === undefined || reply.outcome === "open" ? "no-reply" : reply.outcome);
      state.avoidedUntilMs = this._nowMs() + avoidedMs;
      state.provenUntilMs = 0;
      return undefined;
    }
    state.avoidedUntilMs = 0;
    state.provenUntilMs = this._nowMs() + provenMs;
    return { socket, path: { peer: peer.name, tunnelId: ticket ?? "" } };
  }

  private async _ask(peer: Member, address: string): Promise<TunnelReply | undefined> {
    const { membership } = this._structure;
    const reply = await membership.request(peer.name, peerTopics.tunnelOpen, { address }, openTimeoutMs);
    const parsed = reply.ok ? tunnelReplySchema.safeParse(reply.val) : undefined;
    return parsed?.data;
  }

  private _getState(peer: string): PeerState {
    const known = this._states.get(peer);
    if (known !== undefined) return known;
    const state = { avoidedUntilMs: 0, provenUntilMs: 0, carried: 0 };
    this._states.set(peer, state);
    return state;
  }

  private _noteLeaving(peer: string): void {
    this._leaving.add(peer);
    for (const listener of this._leavingListeners) listener();
  }
}

/** Connects to the peer with the ticket of a tunnel; undefined if the peer does not accept it in time. */
function claimTunnel(peerAddress: string, ticket: string): Promise<net.Socket | undefined> {
  const [host = "", port = ""] = peerAddress.split(":");
  return new Promise((resolve) => {
    const headers = { Connection: "Upgrade", Upgrade: tunnelProtocol, [ticketHeader]: ticket };
    const request = http.get({ host, port: Number(port), path: tunnelPath, headers, agent: false });
    const fail = (): void => {
      timeout.clear();
      request.destroy();
      resolve(undefined);
    };
    const timeout = new utils.IoTimeout(claimTimeoutMs, fail, { isPauseExcluded: true });
    request.on("error", fail);
    request.once("response", fail);
    request.once("upgrade", (_response, socket, head) => {
      timeout.clear();
      // The connection may be reset before a request uses it.
      socket.on("error", () => undefined);
      socket.setNoDelay(true);
      if (head.length > 0) socket.unshift(head);
      resolve(socket);
    });
  });
}
