/** The streams that this instance begins: their forecasts, and whether their first events met the target. */
import { utils } from "@shedtiller/common";
import {
  usableTargetShare,
  type ChainForecast,
  type FirstEventForecast,
} from "../chains/FirstEventForecast.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { PressureSource, type PressureEntry } from "./PressureSource.js";

/** A service counts as queueing for this long after the last stream with prompts in front. */
const queueingMs = 5_000;

/** A stream for which a chain has been chosen. */
export interface BeginningStream {
  readonly service: string;
  readonly priority: number;
  readonly stages: readonly ChainStage[];
  readonly promptTokens: number;
  readonly targetLatencyMs: number;
  /** Monotonic time by which the first event is due. */
  readonly dueAtMs: number;
}

/** Listens to the streams that begin, to those with prompts in front, and to those that miss their targets for them. */
export interface StreamListener {
  noteBegun(stream: BeginningStream): void;
  noteQueued(stream: BeginningStream): void;
  noteMissed(stream: BeginningStream): void;
}

/** Dependencies of {@link BeginningStreams}. */
export interface BeginningStreamsStructure {
  readonly endpoints: EndpointTable;
  readonly forecast: FirstEventForecast;
  readonly log: DecisionLog;
  /** Counts streams with prompts in front. */
  readonly countQueued: (service: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

interface Queueing {
  readonly atMs: number;
  readonly engine: string;
  readonly queueMs: number;
  readonly firstEventMs: number;
}

/** Forecasts each stream that begins and compares it with its first event. Each instance has one such object. */
export class BeginningStreams extends PressureSource {
  private readonly _listeners: StreamListener[] = [];
  /** The last stream with prompts in front, by service. */
  private readonly _queueing = new Map<string, Queueing>();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: BeginningStreamsStructure) {
    super();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  addListener(listener: StreamListener): void {
    this._listeners.push(listener);
  }

  /** Records that a stream is about to be sent to its chain; returns a function to call at its first event. */
  noteBegun(stream: BeginningStream, profile: EngineProfile): () => void {
    const { endpoints, forecast } = this._structure;
    const getEndpoint = (id: string): Endpoint | undefined => endpoints.get(id);
    const expected = forecast.forecast(stream.stages, getEndpoint, profile, stream.promptTokens);
    const beganAtMs = this._nowMs();
    const first = endpoints.get(stream.stages[0]?.endpointId ?? "");
    const isQueued = expected.queueMs > stream.targetLatencyMs * usableTargetShare;
    if (isQueued) this._noteQueued(stream, expected);
    for (const listener of this._listeners) listener.noteBegun(stream);
    const isMissExpected = isQueued && beganAtMs + expected.firstEventMs > stream.dueAtMs;
    if (isMissExpected) this._noteMissed(stream);
    return () => {
      const nowMs = this._nowMs();
      if (first !== undefined) forecast.noteFirstEvent(first, expected, nowMs - beganAtMs);
      // A late first event without prompts in front, as after the loss of an engine, is no sign of too many prompts.
      if (isQueued && !isMissExpected && nowMs > stream.dueAtMs) this._noteMissed(stream);
    };
  }

  override getPressure(): readonly PressureEntry[] {
    const nowMs = this._nowMs();
    const recent = [...this._queueing].filter(([, { atMs }]) => nowMs - atMs < queueingMs);
    return recent.map(([service, { atMs, engine, queueMs, firstEventMs }]) => ({
      decision: "firstEventForecast",
      service,
      subject: engine,
      value: Math.round(queueMs),
      reason: `first event forecast after ${Math.round(firstEventMs)} ms, ${Math.round(queueMs)} ms of them for prompts in front`,
      ageMs: nowMs - atMs,
    }));
  }

  private _noteMissed(stream: BeginningStream): void {
    for (const listener of this._listeners) listener.noteMissed(stream);
  }

  private _noteQueued(stream: BeginningStream, expected: ChainForecast): void {
    for (const listener of this._listeners) listener.noteQueued(stream);
    const { service, stages } = stream;
    const nowMs = this._nowMs();
    const engine = stages[0]?.endpointId ?? "";
    const { queueMs, firstEventMs } = expected;
    this._structure.countQueued(service);
    const last = this._queueing.get(service);
    this._queueing.set(service, { atMs: nowMs, engine, queueMs, firstEventMs });
    if (last !== undefined && nowMs - last.atMs < queueingMs) return;
    this._structure.log.info("first-events-queue", {
      service,
      engine,
      queueMs: Math.round(queueMs),
      firstEventMs: Math.round(firstEventMs),
    });
  }
}
