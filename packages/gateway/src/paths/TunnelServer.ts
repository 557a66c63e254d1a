import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as net from "node:net";
import type { Duplex } from "node:stream";
import { utils } from "@shedtiller/common";
import type { Member, Membership } from "@shedtiller/membership";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { waitForConnectionEnd } from "../http/waitForConnectionEnd.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { peerTopics } from "../peers/peerMessages.js";
import { connectDirectly } from "./connectDirectly.js";
import type { EndpointPaths } from "./EndpointPaths.js";
import {
  ticketHeader,
  tunnelEndRequestSchema,
  tunnelPath,
  tunnelProtocol,
  tunnelRequestSchema,
  type TunnelEnd,
  type TunnelReply,
} from "./tunnelMessages.js";

/** Time to connect to the endpoint: many round trips, and short enough that the requester can ask another peer. */
const connectTimeoutMs = 200;
/** Maximum number of forwarded connections: about 16 MB of buffers and 800 of the descriptors of a small instance. */
const maxCarried = 400;
/** Time within which the requester has to connect after it was given a ticket. */
const ticketTimeoutMs = 1_000;
/** Time for which the end of a tunnel can be asked for. */
const endMemoryMs = 5_000;
/** Time in which the end of a tunnel is known after the requester has seen it. */
const endTimeoutMs = 300;

/** Dependencies of {@link TunnelServer}. */
export interface TunnelServerStructure {
  readonly membership: Pick<Membership, "onRequest" | "onUpgrade" | "notifyAll" | "hasOpenLink" | "onLinked">;
  readonly endpoints: Pick<EndpointTable, "getByAddress">;
  readonly paths: Pick<EndpointPaths, "shouldUsePeer" | "isIsolated" | "noteDirect">;
  /** Address of the own peer listener. */
  readonly peerAddress: string;
  readonly log: DecisionLog;
}

/** Why this instance ended a tunnel whose endpoint had not ended its connection. */
type TunnelCloseCause = "requester-left" | "requester-lost" | "stop" | "unclaimed";

/** A connection to an endpoint that is or was forwarded. */
interface Tunnel {
  readonly ticket: string;
  readonly peer: string;
  readonly address: string;
  readonly endpointSocket: net.Socket;
  readonly end: Promise<TunnelEnd>;
  /** Undefined unless this instance ended the tunnel. */
  closeCause?: TunnelCloseCause;
}

/**
 * Forwards connections of peers to endpoints, byte by byte. Only a peer that is authenticated by its link gets a ticket for a tunnel, only to
 * endpoints that this instance knows, and only over a direct path, so that a connection never passes two peers.
 */
export class TunnelServer {
  /** Open tunnels and tunnels that ended a short time ago, by ticket. */
  private readonly _tunnels = new Map<string, Tunnel>();
  private readonly _unclaimed = new Set<string>();
  /** Peers with tunnels that had no open link at the last look, which may have been replaced at that moment. */
  private _unlinkedPeers: ReadonlySet<string> = new Set();
  private _carried = 0;
  private _isLeaving = false;

  constructor(private readonly _structure: TunnelServerStructure) {
    const { membership } = _structure;
    membership.onRequest(peerTopics.tunnelOpen, (body, from) => this._open(body, from.name));
    membership.onRequest(peerTopics.tunnelEnd, (body) => this._getEnd(body));
    // A requester takes a peer for restarted once the link to it is replaced.
    membership.onLinked(({ name }) => {
      if (this._isLeaving) this._announceLeaving((member) => member.name === name);
    });
    membership.onUpgrade(tunnelPath, (request, socket, head) => this._accept(request, socket, head));
  }

  /** Number of forwarded connections. */
  get carried(): number {
    return this._carried;
  }

  /** Takes no new connections; the peers close those that they don't use. */
  leave(): void {
    this._isLeaving = true;
    this._announceLeaving();
  }

  /**
   * Closes the connections of peers that have had no open link since the last call. A peer that loses power closes nothing, and the endpoint
   * would go on working for it. A link in doubt is open: its peer may be suspended, and go on with its requests.
   */
  closeOrphans(): void {
    const unlinked = new Set<string>();
    for (const tunnel of this._tunnels.values()) {
      const { peer } = tunnel;
      if (this._structure.membership.hasOpenLink(peer)) continue;
      unlinked.add(peer);
      if (this._unlinkedPeers.has(peer)) closeTunnel(tunnel, "requester-lost");
    }
    this._unlinkedPeers = unlinked;
  }

  /** Closes all forwarded connections. */
  close(): void {
    for (const tunnel of this._tunnels.values()) closeTunnel(tunnel, "stop");
  }

  private _announceLeaving(isRecipient?: (member: Member) => boolean): void {
    this._structure.membership.notifyAll(peerTopics.tunnelsClosing, null, isRecipient);
  }

  private async _open(body: unknown, peer: string): Promise<TunnelReply> {
    const request = tunnelRequestSchema.safeParse(body);
    const address = request.data?.address ?? "";
    const { endpoints, paths } = this._structure;
    const refuse = (outcome: TunnelReply["outcome"]): TunnelReply => ({ outcome, carried: this._carried });
    if (this._isLeaving) return refuse("leaving");
    if (endpoints.getByAddress(address) === undefined) return refuse("unknown");
    if (paths.isIsolated || paths.shouldUsePeer(address)) return refuse("no-path");
    if (this._carried >= maxCarried) return refuse("full");
    this._carried += 1;
    const connected = await connectDirectly(address, connectTimeoutMs);
    if (connected.err) {
      this._carried -= 1;
      return refuse(connected.val.failure);
    }
    paths.noteDirect(address);
    const ticket = this._add(connected.val, peer, address);
    const { peerAddress } = this._structure;
    return { outcome: "open", ticket, peerAddress, carried: this._carried };
  }

  private _add(endpointSocket: net.Socket, peer: string, address: string): string {
    const ticket = crypto.randomUUID();
    const end = waitForConnectionEnd(endpointSocket);
    const tunnel: Tunnel = { ticket, peer, address, endpointSocket, end };
    this._tunnels.set(ticket, tunnel);
    this._unclaimed.add(ticket);
    endpointSocket.once("close", () => {
      this._carried -= 1;
      this._unclaimed.delete(ticket);
      setTimeout(() => this._tunnels.delete(ticket), endMemoryMs).unref();
    });
    setTimeout(() => {
      if (this._unclaimed.has(ticket)) closeTunnel(tunnel, "unclaimed");
    }, ticketTimeoutMs).unref();
    return ticket;
  }

  private _accept(request: http.IncomingMessage, socket: Duplex, head: Buffer): void {
    socket.on("error", () => undefined);
    const ticket = String(request.headers[ticketHeader]);
    const tunnel = this._unclaimed.delete(ticket) ? this._tunnels.get(ticket) : undefined;
    if (tunnel === undefined) return void socket.end("HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n");
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${tunnelProtocol}\r\n\r\n`,
    );
    if (head.length > 0) socket.unshift(head);
    this._forward(tunnel, socket as net.Socket);
  }

  /** Forwards both directions. The pipes pause a sender whose receiver does not read. */
  private _forward(tunnel: Tunnel, peerSocket: net.Socket): void {
    const { ticket, peer, address, endpointSocket, end } = tunnel;
    const startedAtMs = utils.monotonicMs();
    peerSocket.setNoDelay(true);
    endpointSocket.pipe(peerSocket);
    peerSocket.pipe(endpointSocket, { end: false });
    // An HTTP client that closes its side waits for nothing any more.
    peerSocket.once("end", () => closeTunnel(tunnel, "requester-left"));
    peerSocket.once("close", () => closeTunnel(tunnel, "requester-left"));
    void end.then((result) => {
      if (result === "reset") utils.resetSocket(peerSocket);
      this._structure.log.info("tunnel-ended", {
        tunnelId: ticket,
        peer,
        address,
        end: result,
        closeCause: tunnel.closeCause,
        bytesSent: endpointSocket.bytesWritten,
        bytesReceived: endpointSocket.bytesRead,
        tookMs: Math.round(utils.monotonicMs() - startedAtMs),
      });
    });
  }

  /** Returns how the connection to the endpoint ended; undefined if it is unknown or has not ended. */
  private async _getEnd(body: unknown): Promise<TunnelEnd | undefined> {
    const request = tunnelEndRequestSchema.safeParse(body);
    const tunnel = this._tunnels.get(request.data?.ticket ?? "");
    if (tunnel === undefined) return undefined;
    return Promise.race([tunnel.end, utils.sleep(endTimeoutMs).then(() => undefined)]);
  }
}

function closeTunnel(tunnel: Tunnel, cause: TunnelCloseCause): void {
  if (tunnel.endpointSocket.destroyed) return;
  tunnel.closeCause ??= cause;
  utils.abandonSocket(tunnel.endpointSocket);
}
