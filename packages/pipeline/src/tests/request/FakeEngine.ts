/** Engine without sockets that answers in the next turn of the event loop, except while it is silent. */
import { results } from "@shedtiller/common";
import type { LayerRange } from "@shedtiller/routing";
import { EngineLink, EngineRefusedError, type EngineError } from "../../engine/EngineLink.js";
import type * as frames from "../../engine/engineFrames.js";

type Answer<T> = Promise<results.Result<T, EngineError>>;

/** Holds back all answers while it is silent, as a suspended process does, and gives them when it speaks again. */
export class FakeEngine extends EngineLink {
  override readonly isOpen = true;
  /** Number of the call at which the engine falls silent; 0 if it never does. */
  silentAtCall = 0;
  /** Called when the engine falls silent. */
  onSilent: () => void = () => undefined;
  /** Whether the engine refuses calls. */
  isFull = false;
  private _isSilent = false;
  private _callCount = 0;
  private readonly _heldBack: (() => void)[] = [];

  /** @param _log - Receives the calls and releases of all engines, in order. */
  constructor(
    readonly endpoint: string,
    readonly layers: LayerRange,
    private readonly _isLast: boolean,
    private readonly _log: string[],
  ) {
    super();
  }

  /** Gives all answers that were held back. */
  speak(): void {
    this._isSilent = false;
    for (const answer of this._heldBack.splice(0)) answer();
  }

  override apply(frame: frames.ApplyFrame): Answer<frames.AppliedFrame> {
    this._callCount += 1;
    if (this._callCount === this.silentAtCall) this._fallSilent();
    this._log.push(`${this.endpoint} begins ${frame.attempt}`);
    if (this.isFull) return this._answer(results.Err(new EngineRefusedError(this.endpoint, "full")));
    const { requestId, attempt, firstLayer, position, count } = frame;
    const output = this._isLast ? { token: position + count } : { activations: new Uint8Array(count) };
    return this._answer(
      results.Ok({ kind: "applied", requestId, attempt, firstLayer, position, count, ...output }),
      `${this.endpoint} replies ${attempt}`,
    );
  }

  override probe(key: frames.StageKey): Answer<frames.StageStatusFrame> {
    const { requestId, attempt, firstLayer } = key;
    const status = { kind: "standing" as const, requestId, attempt, firstLayer, position: 0, isBusy: true };
    return this._answer(results.Ok(status));
  }

  override exportCache(): Answer<frames.ExportedFrame> {
    return this._answer(results.Err(new EngineRefusedError(this.endpoint, "unknown-stream")));
  }

  override importCache(): Answer<frames.ImportedFrame> {
    return this._answer(results.Err(new EngineRefusedError(this.endpoint, "full")));
  }

  override release({ attempt }: frames.StageKey): void {
    this._log.push(`${this.endpoint} released ${attempt}`);
  }

  private _fallSilent(): void {
    this._isSilent = true;
    this.onSilent();
  }

  private _answer<T>(answer: results.Result<T, EngineError>, logLine?: string): Answer<T> {
    return new Promise((resolve) => {
      const give = (): void => {
        if (logLine !== undefined) this._log.push(logLine);
        resolve(answer);
      };
      if (this._isSilent) this._heldBack.push(give);
      else setImmediate(give);
    });
  }
}
