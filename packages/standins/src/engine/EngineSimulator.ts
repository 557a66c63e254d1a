/** Simulation of an engine: streams with their KV caches, and continuous batching of calls. */
import { utils } from "@shedtiller/common";
import type * as pipeline from "@shedtiller/pipeline";
import type { LayerRange } from "@shedtiller/routing";
import type { ExecutionLog } from "./ExecutionLog.js";
import { activationBytes, applyLayers, embed, unembed } from "./layerFunction.js";

/** Speed and batch size of a simulated engine. */
export interface EngineSpeed {
  /** Duration of one batched step, without prefill. */
  stepMs: number;
  prefillMsPerToken: number;
  /** Maximum number of calls in one step. */
  slots: number;
}

interface Stream {
  readonly key: pipeline.StageKey;
  readonly layers: LayerRange;
  readonly cache: Uint32Array;
  readonly startedAtMs: number;
  position: number;
  isBusy: boolean;
  isReleased: boolean;
  lastReply: pipeline.AppliedFrame | undefined;
}

interface Call {
  readonly stream: Stream;
  readonly frame: pipeline.ApplyFrame;
  readonly reply: (frame: pipeline.AppliedFrame) => void;
}

/** Simulates an engine with continuous batching: each step runs up to `slots` waiting calls, the highest priority first. */
export class EngineSimulator {
  private readonly _streams = new Map<string, Stream>();
  private _waiting: Call[] = [];
  private _isRunning = false;
  private _busyUntilMs = 0;
  private _generation = 0;

  constructor(
    readonly endpoint: string,
    readonly speed: EngineSpeed,
    private readonly _getLayerCount: (model: string) => number,
    private readonly _executionLog: ExecutionLog,
  ) {}

  /** Number of streams with a KV cache. */
  get activeStreams(): number {
    return this._streams.size;
  }

  /** Discards all streams and waiting calls, as a crash of the process does. */
  clear(): void {
    this._generation += 1;
    this._streams.clear();
    this._waiting = [];
  }

  /** Queues a call, or returns the reason for which the call is refused. */
  apply(
    frame: pipeline.ApplyFrame,
    model: string,
    reply: (frame: pipeline.AppliedFrame) => void,
  ): pipeline.RefusalReason | undefined {
    if (frame.remainingMs <= 0) return "expired";
    const stream = this._streams.get(getStreamId(frame)) ?? this._startStream(frame);
    if (stream === undefined) return "unknown-stream";
    if (stream.isBusy || stream.position !== frame.position) return "wrong-position";
    stream.isBusy = true;
    this._waiting.push({ stream, frame, reply });
    if (!this._isRunning) void this._runSteps(model);
    return undefined;
  }

  /** Returns the position and the last reply of a stage. An unknown stage has position 0. */
  getStageStatus(key: pipeline.StageKey): pipeline.StageStatusFrame {
    const stream = this._streams.get(getStreamId(key));
    const { requestId, attempt, firstLayer } = key;
    return {
      kind: "standing",
      requestId,
      attempt,
      firstLayer,
      position: stream?.position ?? 0,
      isBusy: stream?.isBusy ?? false,
      last: stream?.lastReply,
    };
  }

  release(key: pipeline.StageKey): void {
    const stream = this._streams.get(getStreamId(key));
    if (stream === undefined) return;
    stream.isReleased = true;
    this._streams.delete(getStreamId(key));
    this._waiting = this._waiting.filter((call) => call.stream !== stream);
  }

  /** Returns a copy of the KV cache of a stage; undefined if the stage is unknown or busy. */
  exportCache(key: pipeline.StageKey): { position: number; cache: Uint8Array } | undefined {
    const stream = this._streams.get(getStreamId(key));
    if (stream === undefined || stream.isBusy) return undefined;
    return { position: stream.position, cache: new Uint8Array(stream.cache.slice().buffer) };
  }

  /** Creates a stream from an imported KV cache. */
  importCache(frame: pipeline.ImportFrame): void {
    const bytes = Uint8Array.from(frame.cache);
    const cache = new Uint32Array(bytes.buffer, 0, frame.layers[1] - frame.layers[0]);
    this._streams.set(getStreamId(frame), {
      ...createStream(frame, frame.layers),
      cache,
      position: frame.position,
    });
  }

  private _startStream(frame: pipeline.ApplyFrame): Stream | undefined {
    if (frame.position !== 0) return undefined;
    const stream = createStream(frame, frame.layers);
    this._streams.set(getStreamId(frame), stream);
    return stream;
  }

  private async _runSteps(model: string): Promise<void> {
    this._isRunning = true;
    const generation = this._generation;
    this._busyUntilMs = Math.max(this._busyUntilMs, utils.monotonicMs());
    while (this._waiting.length > 0 && generation === this._generation) {
      const batch = this._takeBatch();
      this._busyUntilMs += this._getDurationMs(batch);
      const waitMs = this._busyUntilMs - utils.monotonicMs();
      if (waitMs > 0) await utils.sleep(waitMs);
      if (generation !== this._generation) break;
      for (const call of batch) this._finish(call, model);
    }
    this._isRunning = false;
    if (this._waiting.length > 0) void this._runSteps(model);
  }

  private _takeBatch(): Call[] {
    this._waiting.sort((a, b) => a.frame.priority - b.frame.priority);
    return this._waiting.splice(0, this.speed.slots);
  }

  private _getDurationMs(batch: readonly Call[]): number {
    const prefillTokens = utils.getSum(batch.map((call) => (call.frame.count > 1 ? call.frame.count : 0)));
    return this.speed.stepMs + prefillTokens * this.speed.prefillMsPerToken;
  }

  private _finish(call: Call, model: string): void {
    const { stream, frame } = call;
    if (stream.isReleased) return;
    const outputs = runLayers(stream, frame);
    stream.position = frame.position + frame.count;
    stream.isBusy = false;
    const isLast = frame.layers[1] === this._getLayerCount(model);
    stream.lastReply = createAppliedFrame(frame, outputs, isLast);
    this._executionLog.add({
      requestId: frame.requestId,
      attempt: frame.attempt,
      endpoint: this.endpoint,
      firstLayer: frame.layers[0],
      endLayer: frame.layers[1],
      position: frame.position,
      count: frame.count,
      atMs: utils.monotonicMs(),
      streamStartedAtMs: stream.startedAtMs,
    });
    call.reply(stream.lastReply);
  }
}

function createStream(key: pipeline.StageKey, layers: LayerRange): Stream {
  return {
    key,
    layers,
    cache: new Uint32Array(layers[1] - layers[0]),
    startedAtMs: utils.monotonicMs(),
    position: 0,
    isBusy: false,
    isReleased: false,
    lastReply: undefined,
  };
}

function getStreamId(key: pipeline.StageKey): string {
  return `${key.requestId}|${key.attempt}|${key.firstLayer}`;
}

function runLayers(stream: Stream, frame: pipeline.ApplyFrame): Uint32Array {
  const outputs = new Uint32Array(frame.count);
  const inputs = readInputs(frame);
  for (let index = 0; index < frame.count; index++) {
    outputs[index] = applyLayers(stream.layers[0], stream.cache, inputs[index] ?? 0);
  }
  return outputs;
}

function readInputs(frame: pipeline.ApplyFrame): Uint32Array {
  if (frame.tokens !== undefined) {
    return Uint32Array.from(frame.tokens, (token, index) => embed(token, frame.position + index));
  }
  const bytes = Uint8Array.from(frame.activations ?? []);
  return new Uint32Array(bytes.buffer, 0, Math.floor(bytes.byteLength / activationBytes));
}

function createAppliedFrame(
  frame: pipeline.ApplyFrame,
  outputs: Uint32Array,
  isLast: boolean,
): pipeline.AppliedFrame {
  const { requestId, attempt, firstLayer, position, count } = frame;
  const base = { kind: "applied" as const, requestId, attempt, firstLayer, position, count };
  if (isLast) return { ...base, token: unembed(outputs[outputs.length - 1] ?? 0) };
  return { ...base, activations: new Uint8Array(outputs.buffer) };
}
