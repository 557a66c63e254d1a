/** Pool of WebSocket links to engines. */
import { errors, results, utils } from "@shedtiller/common";
import * as ws from "ws";
import { EngineConnector, type EngineLink, type LinkError } from "./EngineLink.js";
import { WsEngineLink, type EngineLinkEvents } from "./WsEngineLink.js";

/** Path of an engine's work listener. */
export const enginePath = "/v1/stages";
const initialConnectTimeoutMs = 1_000;
const maxConnectTimeoutMs = 8_000;
const maxFrameBytes = 64 * 1024 * 1024;

type LinkResult = results.Result<EngineLink, LinkError>;

/** Maintains one link per engine. Links are opened when first needed, and reopened when needed after a loss. */
export class WsEngineConnector extends EngineConnector {
  private readonly _links = new Map<string, WsEngineLink>();
  private readonly _opening = new Map<string, Promise<LinkResult>>();
  private _isClosed = false;

  constructor(
    private readonly _events: Omit<EngineLinkEvents, "onClosed"> & { onLinkLost(endpoint: string): void },
    private readonly _connectTimeouts = new utils.AdaptiveTimeout(
      initialConnectTimeoutMs,
      maxConnectTimeoutMs,
    ),
  ) {
    super();
  }

  override getLink(endpoint: string, address: string): Promise<LinkResult> {
    const open = this._links.get(address);
    if (open?.isOpen === true) return Promise.resolve(results.Ok(open));
    const opening = this._opening.get(address) ?? this._open(endpoint, address);
    this._opening.set(address, opening);
    return opening;
  }

  /** Closes all links. */
  close(): void {
    this._isClosed = true;
    for (const link of this._links.values()) link.close();
  }

  private async _open(endpoint: string, address: string): Promise<LinkResult> {
    const startMs = utils.monotonicMs();
    const timeoutMs = this._connectTimeouts.getTimeoutMs(address);
    const socket = new ws.WebSocket(`ws://${address}${enginePath}`, {
      perMessageDeflate: false,
      maxPayload: maxFrameBytes,
    });
    const failure = await waitForOpen(socket, timeoutMs);
    this._opening.delete(address);
    if (failure === undefined) this._connectTimeouts.noteAnswer(address, utils.monotonicMs() - startMs);
    const isTimedOut = failure instanceof errors.DeadlineError;
    const isSlow = isTimedOut && !this._connectTimeouts.noteTimeout(address);
    if (failure !== undefined || this._isClosed) {
      socket.terminate();
      // A single late handshake is no evidence against the engine: this instance may be short of CPU time. The next
      // handshake has twice the timeout.
      if (isSlow)
        return results.Err(new errors.DeadlineError(`Opening a connection to ${endpoint}`, timeoutMs));
      return results.Err(new errors.NotReachedError(address, failure));
    }
    const link = new WsEngineLink(endpoint, socket, {
      onDraining: (name) => this._events.onDraining(name),
      onStrayReply: (name) => this._events.onStrayReply(name),
      onClosed: (closed) => this._removeLink(address, closed),
    });
    this._links.set(address, link);
    return results.Ok(link);
  }

  private _removeLink(address: string, link: WsEngineLink): void {
    if (this._links.get(address) !== link) return;
    this._links.delete(address);
    if (!this._isClosed) this._events.onLinkLost(link.endpoint);
  }
}

/** Resolves with undefined once the socket is open, or with the error of opening it: a `DeadlineError` if nothing has come in time. */
function waitForOpen(socket: ws.WebSocket, timeoutMs: number): Promise<Error | undefined> {
  return new Promise((resolve) => {
    const settle = (failure: Error | undefined): void => {
      timeout.clear();
      resolve(failure);
    };
    const timeout = new utils.IoTimeout(
      timeoutMs,
      () => settle(new errors.DeadlineError(`Opening a connection to ${socket.url}`, timeoutMs)),
      { isPauseExcluded: true },
    );
    socket.once("open", () => {
      socket.removeAllListeners();
      settle(undefined);
    });
    // Stays after the first error, since the end of an attempt in progress is reported as an error as well.
    socket.on("error", settle);
    socket.once("close", () => settle(new Error("closed before it was open")));
  });
}
