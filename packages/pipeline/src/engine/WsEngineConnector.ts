/** Keeps one WebSocket link for each engine in use. */
import { errors, results, utils } from "@shedtiller/common";
import * as ws from "ws";
import { EngineConnector, type EngineLink, type LinkError } from "./EngineLink.js";
import { WsEngineLink, type EngineLinkEvents } from "./WsEngineLink.js";

/** Path of an engine's work listener. */
export const enginePath = "/v1/stages";
const connectTimeoutMs = 1_000;
const longestConnectTimeoutMs = 8_000;
const largestFrameBytes = 64 * 1024 * 1024;

type LinkResult = results.Result<EngineLink, LinkError>;

/** Opens links when they are first needed, and again after they were lost. */
export class WsEngineConnector extends EngineConnector {
  private readonly _links = new Map<string, WsEngineLink>();
  private readonly _opening = new Map<string, Promise<LinkResult>>();
  private _isClosed = false;

  constructor(
    private readonly _events: Omit<EngineLinkEvents, "onClosed"> & { onLinkLost(endpoint: string): void },
    private readonly _patience = new utils.AdaptiveTimeout(connectTimeoutMs, longestConnectTimeoutMs),
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

  /** Ends all links. */
  close(): void {
    this._isClosed = true;
    for (const link of this._links.values()) link.close();
  }

  private async _open(endpoint: string, address: string): Promise<LinkResult> {
    const startMs = utils.monotonicMs();
    const timeoutMs = this._patience.getTimeoutMs(address);
    const socket = new ws.WebSocket(`ws://${address}${enginePath}`, {
      handshakeTimeout: timeoutMs,
      perMessageDeflate: false,
      maxPayload: largestFrameBytes,
    });
    const failure = await waitForOpen(socket);
    this._opening.delete(address);
    const tookMs = utils.monotonicMs() - startMs;
    if (failure === undefined) this._patience.noteAnswer(address, tookMs);
    const isSlow = failure !== undefined && tookMs >= timeoutMs && !this._patience.noteTimeout(address);
    if (failure !== undefined || this._isClosed) {
      socket.terminate();
      // One handshake that is late may be this instance's own lack of time; the next one gets twice as long.
      if (isSlow) return results.Err(new errors.DeadlineError(`A connection to ${endpoint}`, timeoutMs));
      return results.Err(new errors.NotReachedError(address, failure));
    }
    const link = new WsEngineLink(endpoint, socket, {
      onDraining: (name) => this._events.onDraining(name),
      onStrayReply: (name) => this._events.onStrayReply(name),
      onClosed: (closed) => this._drop(address, closed),
    });
    this._links.set(address, link);
    return results.Ok(link);
  }

  private _drop(address: string, link: WsEngineLink): void {
    if (this._links.get(address) !== link) return;
    this._links.delete(address);
    if (!this._isClosed) this._events.onLinkLost(link.endpoint);
  }
}

/** Resolves with undefined once the socket is open, else with what went wrong. */
function waitForOpen(socket: ws.WebSocket): Promise<Error | undefined> {
  return new Promise((resolve) => {
    socket.once("open", () => {
      socket.removeAllListeners();
      resolve(undefined);
    });
    socket.once("error", resolve);
    socket.once("close", () => resolve(new Error("closed before it was open")));
  });
}
