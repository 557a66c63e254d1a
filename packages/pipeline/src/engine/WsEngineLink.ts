/** A link to an engine over one WebSocket. */
import { errors, results, utils } from "@shedtiller/common";
import * as ws from "ws";
import { EngineLink, EngineRefusedError, type EngineError } from "./EngineLink.js";
import * as frames from "./engineFrames.js";
import { decodeFrame, encodeFrame } from "./frameCodec.js";

/** What a link tells its owner. */
export interface EngineLinkEvents {
  /** The link is gone. */
  onClosed(link: WsEngineLink, error: unknown): void;
  /** The engine says that it is about to go. */
  onDraining(endpoint: string): void;
  /** A reply matched no call: late, crossed or doubled. */
  onStrayReply(endpoint: string): void;
}

type Waiter<T> = utils.Deferred<results.Result<T, EngineError>>;

/** Matches replies to calls by request, attempt, stage and position; anything else is dropped and counted. */
export class WsEngineLink extends EngineLink {
  private readonly _applies = new Map<string, Waiter<frames.AppliedFrame>>();
  private readonly _probes = new Map<string, Waiter<frames.StageStatusFrame>>();
  private readonly _exports = new Map<string, Waiter<frames.ExportedFrame>>();
  private readonly _imports = new Map<string, Waiter<frames.ImportedFrame>>();

  constructor(
    readonly endpoint: string,
    private readonly _socket: ws.WebSocket,
    private readonly _events: EngineLinkEvents,
  ) {
    super();
    _socket.on("message", (data) => this._accept(data));
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
    return this._call(this._probes, getStageText(key), { kind: "probe", ...frames.pickStageKey(key) });
  }

  override exportCache(key: frames.StageKey): Promise<results.Result<frames.ExportedFrame, EngineError>> {
    return this._call(this._exports, getStageText(key), { kind: "export", ...frames.pickStageKey(key) });
  }

  override importCache(
    frame: frames.ImportFrame,
  ): Promise<results.Result<frames.ImportedFrame, EngineError>> {
    return this._call(this._imports, getStageText(frame), frame);
  }

  override release(key: frames.StageKey): void {
    if (!this.isOpen) return;
    this._socket.send(encodeFrame({ kind: "release", ...frames.pickStageKey(key) }));
  }

  /** Ends the link. */
  close(): void {
    this._socket.terminate();
  }

  private _call<T>(
    waiters: Map<string, Waiter<T>>,
    key: string,
    frame: frames.ToEngineFrame,
  ): Promise<results.Result<T, EngineError>> {
    if (!this.isOpen) return Promise.resolve(results.Err(new errors.NotReachedError(this.endpoint)));
    const known = waiters.get(key);
    if (known !== undefined) return known.promise;
    const waiter = new utils.Deferred<results.Result<T, EngineError>>();
    waiters.set(key, waiter);
    this._socket.send(encodeFrame(frame));
    return waiter.promise;
  }

  private _accept(data: ws.RawData): void {
    const decoded = decodeFrame(data, frames.fromEngineSchema, this.endpoint);
    if (decoded.err) return this._close(decoded.val);
    const frame = decoded.val;
    switch (frame.kind) {
      case "applied":
        return this._settle(this._applies, getApplyKey(frame), results.Ok(frame));
      case "refused":
        return this._settleRefused(frame);
      case "standing":
        return this._settle(this._probes, getStageText(frame), results.Ok(frame));
      case "exported":
        return this._settle(this._exports, getStageText(frame), results.Ok(frame));
      case "imported":
        return this._settle(this._imports, getStageText(frame), results.Ok(frame));
      case "leaving":
        return this._events.onDraining(this.endpoint);
    }
  }

  /** A refusal answers whichever call of the stage is waiting. */
  private _settleRefused(frame: frames.RefusedFrame): void {
    const refusal = results.Err(new EngineRefusedError(this.endpoint, frame.reason));
    const stage = getStageText(frame);
    if (this._exports.has(stage)) return this._settle(this._exports, stage, refusal);
    if (this._imports.has(stage)) return this._settle(this._imports, stage, refusal);
    if (this._probes.has(stage)) return this._settle(this._probes, stage, refusal);
    this._settle(this._applies, getApplyKey(frame), refusal);
  }

  private _settle<T>(
    waiters: Map<string, Waiter<T>>,
    key: string,
    outcome: results.Result<T, EngineError>,
  ): void {
    const waiter = waiters.get(key);
    if (waiter === undefined) return this._events.onStrayReply(this.endpoint);
    waiters.delete(key);
    waiter.resolve(outcome);
  }

  private _close(error: unknown): void {
    this._socket.removeAllListeners("close");
    this._socket.terminate();
    const lost = results.Err(new errors.ConnectionLostError(this.endpoint, error));
    for (const waiters of [this._applies, this._probes, this._exports, this._imports]) {
      for (const waiter of waiters.values()) waiter.resolve(lost);
      waiters.clear();
    }
    this._events.onClosed(this, error);
  }
}

function getStageText(key: frames.StageKey): string {
  return `${key.requestId}|${key.attempt}|${key.firstLayer}`;
}

function getApplyKey(frame: frames.StageKey & { position: number }): string {
  return `${getStageText(frame)}|${frame.position}`;
}
