/** Links to engines over WebSocket. */
import { errors, results, utils } from "@shedtiller/common";
import * as ws from "ws";
import { EngineLink, EngineRefusedError, type EngineError } from "./EngineLink.js";
import * as frames from "./engineFrames.js";
import { decodeFrame, encodeFrame } from "./frameCodec.js";

/** Event handlers of a link's owner. */
export interface EngineLinkEvents {
  /** Called when the connection has been closed or has failed. */
  onClosed(link: WsEngineLink, error: unknown): void;
  /** Called when the engine announces that it is draining. */
  onDraining(endpoint: string): void;
  /** Called for a reply that matches no pending call, since it is late, a duplicate or from another call. */
  onStrayReply(endpoint: string): void;
}

type PendingReply<T> = utils.Deferred<results.Result<T, EngineError>>;

/** Matches replies to calls by request, attempt, stage and position; other replies are reported as stray and dropped. */
export class WsEngineLink extends EngineLink {
  private readonly _applies = new Map<string, PendingReply<frames.AppliedFrame>>();
  private readonly _probes = new Map<string, PendingReply<frames.StageStatusFrame>>();
  private readonly _exports = new Map<string, PendingReply<frames.ExportedFrame>>();
  private readonly _imports = new Map<string, PendingReply<frames.ImportedFrame>>();

  constructor(
    readonly endpoint: string,
    private readonly _socket: ws.WebSocket,
    private readonly _events: EngineLinkEvents,
  ) {
    super();
    _socket.on("message", (data) => this._handleMessage(data));
    _socket.on("error", (error) => this._close(error));
    _socket.on("close", () => this._close(undefined));
  }

  override get isOpen(): boolean {
    return this._socket.readyState === ws.WebSocket.OPEN;
  }

  override apply(frame: frames.ApplyFrame): Promise<results.Result<frames.AppliedFrame, EngineError>> {
    return this._call(this._applies, getApplyKey(frame), frame);
  }

  override probe(key: frames.StageKey): Promise<results.Result<frames.StageStatusFrame, EngineError>> {
    return this._call(this._probes, formatStageKey(key), { kind: "probe", ...frames.pickStageKey(key) });
  }

  override exportCache(key: frames.StageKey): Promise<results.Result<frames.ExportedFrame, EngineError>> {
    return this._call(this._exports, formatStageKey(key), { kind: "export", ...frames.pickStageKey(key) });
  }

  override importCache(
    frame: frames.ImportFrame,
  ): Promise<results.Result<frames.ImportedFrame, EngineError>> {
    return this._call(this._imports, formatStageKey(frame), frame);
  }

  override release(key: frames.StageKey): void {
    if (!this.isOpen) return;
    this._socket.send(encodeFrame({ kind: "release", ...frames.pickStageKey(key) }));
  }

  /** Closes the link at once. */
  close(): void {
    this._socket.terminate();
  }

  private _call<T>(
    pendingReplies: Map<string, PendingReply<T>>,
    key: string,
    frame: frames.ToEngineFrame,
  ): Promise<results.Result<T, EngineError>> {
    if (!this.isOpen) return Promise.resolve(results.Err(new errors.NotReachedError(this.endpoint)));
    const known = pendingReplies.get(key);
    if (known !== undefined) return known.promise;
    const pendingReply = new utils.Deferred<results.Result<T, EngineError>>();
    pendingReplies.set(key, pendingReply);
    this._socket.send(encodeFrame(frame));
    return pendingReply.promise;
  }

  private _handleMessage(data: ws.RawData): void {
    const decoded = decodeFrame(data, frames.fromEngineSchema, this.endpoint);
    if (decoded.err) return this._close(decoded.val);
    const frame = decoded.val;
    switch (frame.kind) {
      case "applied":
        return this._settle(this._applies, getApplyKey(frame), results.Ok(frame));
      case "refused":
        return this._settleRefused(frame);
      case "standing":
        return this._settle(this._probes, formatStageKey(frame), results.Ok(frame));
      case "exported":
        return this._settle(this._exports, formatStageKey(frame), results.Ok(frame));
      case "imported":
        return this._settle(this._imports, formatStageKey(frame), results.Ok(frame));
      case "leaving":
        return this._events.onDraining(this.endpoint);
    }
  }

  /** Settles the pending call of the stage, since a refusal does not name the kind of call that it answers. */
  private _settleRefused(frame: frames.RefusedFrame): void {
    const refusal = results.Err(new EngineRefusedError(this.endpoint, frame.reason));
    const stage = formatStageKey(frame);
    if (this._exports.has(stage)) return this._settle(this._exports, stage, refusal);
    if (this._imports.has(stage)) return this._settle(this._imports, stage, refusal);
    if (this._probes.has(stage)) return this._settle(this._probes, stage, refusal);
    this._settle(this._applies, getApplyKey(frame), refusal);
  }

  private _settle<T>(
    pendingReplies: Map<string, PendingReply<T>>,
    key: string,
    outcome: results.Result<T, EngineError>,
  ): void {
    const pendingReply = pendingReplies.get(key);
    if (pendingReply === undefined) return this._events.onStrayReply(this.endpoint);
    pendingReplies.delete(key);
    pendingReply.resolve(outcome);
  }

  private _close(error: unknown): void {
    this._socket.removeAllListeners("close");
    this._socket.terminate();
    const lost = results.Err(new errors.ConnectionLostError(this.endpoint, error));
    for (const pendingReplies of [this._applies, this._probes, this._exports, this._imports]) {
      for (const pendingReply of pendingReplies.values()) pendingReply.resolve(lost);
      pendingReplies.clear();
    }
    this._events.onClosed(this, error);
  }
}

function formatStageKey(key: frames.StageKey): string {
  return `${key.requestId}|${key.attempt}|${key.firstLayer}`;
}

function getApplyKey(frame: frames.StageKey & { position: number }): string {
  return `${formatStageKey(frame)}|${frame.position}`;
}
