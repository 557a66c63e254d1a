/** TCP relay on loopback that simulates one network link and injects cuts, one-way cuts, delays and silent connections. */
import * as net from "node:net";
import { utils } from "@shedtiller/common";
import { ReservedPort } from "./ReservedPort.js";

/** State of a link. Several relays may share one state, so that one fault affects all of them. */
export interface LinkState {
  /** Whether nothing is delivered in either direction. Data that is sent meanwhile is queued, as TCP retransmits lost packets. */
  isCut: boolean;
  /** Whether data from the target is queued while data to the target is delivered. */
  isReplyCut?: boolean;
  /** Delay that is added in each direction. */
  delayMs: number;
}

const loopback = "127.0.0.1";
const pollIntervalMs = 2;

interface PendingDelivery {
  readonly dueMs: number;
  readonly deliver: () => void;
}

/** Forwards connections to one target port. */
export class Relay {
  private readonly _server = net.createServer({ pauseOnConnect: true }, (socket) => this._accept(socket));
  private readonly _sockets = new Set<net.Socket>();
  /** Sockets whose data is discarded. */
  private readonly _silencedSockets = new WeakSet<net.Socket>();
  private readonly _acceptingListeners: ((isAccepting: boolean) => void)[] = [];
  private _reserved: ReservedPort | undefined;
  private _isClosed = false;

  /** @param getState - Returns the current state of the link. */
  constructor(
    private readonly _targetPort: number,
    private readonly _getState: () => LinkState,
  ) {}

  /** Starts listening and returns the port of the relay. */
  async start(): Promise<number> {
    this._reserved = await ReservedPort.listen(this._server, loopback);
    return this._reserved.port;
  }

  /** Refuses new connections, as the address of a stopped target does, and resets the open ones. */
  refuseConnections(): void {
    if (this._server.listening) this._server.close();
    this.resetConnections();
    for (const listener of this._acceptingListeners) listener(false);
  }

  /** Calls `listener` when the relay begins to refuse connections, and when it accepts them again. */
  onAccepting(listener: (isAccepting: boolean) => void): void {
    this._acceptingListeners.push(listener);
  }

  /** Accepts connections again, on the same port. Has no effect after `close`. */
  async acceptConnections(): Promise<void> {
    if (this._server.listening || this._isClosed) return;
    await this._listen(this._reserved?.port ?? 0);
    for (const listener of this._acceptingListeners) listener(true);
  }

  /** Refuses connections permanently. */
  close(): void {
    this._isClosed = true;
    this.refuseConnections();
    this._reserved?.release();
  }

  /** Resets all open connections. */
  resetConnections(): void {
    for (const socket of this._sockets) utils.resetSocket(socket);
  }

  /** Stops forwarding data on all open connections, and does not forward their close either. New connections are forwarded. */
  silenceConnections(): void {
    for (const socket of this._sockets) this._silencedSockets.add(socket);
  }

  private _listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once("error", reject);
      this._server.listen(port, loopback, () => {
        this._server.removeListener("error", reject);
        resolve();
      });
    });
  }

  private _accept(client: net.Socket): void {
    this._trackSocket(client);
    const target = net.connect(this._targetPort, loopback);
    this._trackSocket(target);
    target.once("error", () => utils.resetSocket(client));
    target.once("connect", () => {
      this._forward(client, target, () => this._getState().isCut);
      this._forward(target, client, () => this._getState().isCut || this._getState().isReplyCut === true);
    });
  }

  private _trackSocket(socket: net.Socket): void {
    socket.setNoDelay(true);
    this._sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this._sockets.delete(socket));
  }

  private _forward(from: net.Socket, to: net.Socket, isBlocked: () => boolean): void {
    const pending: PendingDelivery[] = [];
    const pump = (): void => {
      const nowMs = performance.now();
      if (to.destroyed) pending.length = 0;
      while (!isBlocked() && pending[0] !== undefined && pending[0].dueMs <= nowMs)
        pending.shift()?.deliver();
      if (pending.length > 0) setTimeout(pump, pollIntervalMs);
    };
    const send = (deliver: () => void): void => {
      if (this._silencedSockets.has(from)) return;
      const state = this._getState();
      if (pending.length === 0 && !isBlocked() && state.delayMs === 0) return deliver();
      pending.push({ dueMs: performance.now() + state.delayMs, deliver });
      if (pending.length === 1) setTimeout(pump, Math.max(pollIntervalMs, state.delayMs));
    };
    from.on("data", (chunk) => send(() => to.write(chunk)));
    from.once("close", (hadError) => {
      // What a cut holds up is lost with a reset of its sender, which retransmits it no longer.
      if (hadError && isBlocked()) pending.length = 0;
      send(() => (hadError ? utils.resetSocket(to) : to.destroySoon()));
    });
    from.resume();
  }
}
