/** Forecast of the time to the first event of a stream, and the cost of the prompts that are in front of it. */
import { utils } from "@shedtiller/common";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { getDrainMs, getReadingTime } from "./firstEventModel.js";

/** Forecast for one chain. */
export interface ChainForecast {
  /** Time from the send to the first event. */
  readonly firstEventMs: number;
  /** Part of it that is due to prompts in front. */
  readonly queueMs: number;
}

/** The properties of a request that decide on the cost of prompts in front. */
export interface ReadingDemand {
  readonly promptTokens: number;
  /** Undefined if the first event has no target, since the stream has begun. */
  readonly targetLatencyMs?: number | undefined;
}

/**
 * Share of the target latency that prompts in front may take without a cost. The rest is for the prompts of other instances that are known 0.2
 * to 0.4 s late: while the known ones take less, a choice by the usual costs meets the target.
 */
export const usableTargetShare = 0.4;

/**
 * Cost of a millisecond before the first event, in milliseconds of the whole request. The target latency is about a tenth of the duration of
 * a usual stream, and a late first event is felt as much as a late stream.
 */
const queueWeight = 10;
/**
 * Width of the random factor on the prompts in front, which lies between 0.5 and 1.5. Prompts of other instances are known 0.2 to 0.4 s
 * late, which is as long as a prompt takes, so that engines are nearly equal if their figures differ by less than this.
 */
const queueRandomRange = 1;
/** Weight of past streams in the moving averages. */
const smoothing = 8;
/** A correction loses half of its distance to one in this time without a first event. */
const correctionHalfLifeMs = 5_000;
/** Bounds of the correction: the model is not further off at any load of an engine that works. */
const minCorrection = 0.25;
const maxCorrection = 4;
/**
 * Correction of an engine, relative to that of all engines, from which on it counts as slower than the model says. Prompts that others send
 * meanwhile raise the corrections of all engines alike.
 */
const slowCorrection = 2;
/** Number of engines with a known correction; the first engines of all zones are fewer. */
const maxCorrections = 256;

interface Correction {
  readonly factor: number;
  readonly atMs: number;
}

/**
 * Forecasts first events from the prompts that engines have yet to read, and corrects the forecast by the observed first events. Each instance
 * has one such forecast.
 */
export class FirstEventForecast {
  /** By the life id of the first engine: observed time to the first event by the forecast time. */
  private readonly _corrections = new utils.BoundedMap<Correction>(maxCorrections);
  /** Moving average of the time that prompts take through chains without prompts in front, by the profile of the service. */
  private readonly _transitMs = new WeakMap<EngineProfile, number>();
  /** Moving average of the corrections at first events of all engines. */
  private _meanCorrection = 1;

  /**
   * @param _nowMs - Monotonic clock; replaced in tests.
   * @param _random - Returns a random number from 0 to 1; replaced in tests.
   */
  constructor(
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _random: () => number = Math.random,
  ) {}

  /**
   * Returns the cost of the prompts in front at an engine, which a chain has only for its slowest engine. It is zero while they take a small
   * part of the target latency.
   */
  getQueueCostMs(endpoint: Endpoint, profile: EngineProfile, demand: ReadingDemand): number {
    const { promptTokens, targetLatencyMs } = demand;
    const transitMs = this._transitMs.get(profile);
    if (transitMs === undefined || targetLatencyMs === undefined) return 0;
    const usableMs = Math.max(transitMs, targetLatencyMs * usableTargetShare);
    const waitMs = Math.max(0, getDrainMs(endpoint, profile, promptTokens) - usableMs);
    const queueMs = waitMs + this._getHiddenMs(endpoint, transitMs);
    return queueMs === 0 ? 0 : queueMs * queueWeight * (1 + queueRandomRange * (this._random() - 0.5));
  }

  /** Returns the forecast for a chain that a request with `promptTokens` is about to be sent to. */
  forecast(
    stages: readonly ChainStage[],
    getEndpoint: (id: string) => Endpoint | undefined,
    profile: EngineProfile,
    promptTokens: number,
  ): ChainForecast {
    const { transitMs, drainMs } = getReadingTime(stages, getEndpoint, profile, promptTokens);
    const mean = this._transitMs.get(profile) ?? transitMs;
    this._transitMs.set(profile, mean + (transitMs - mean) / smoothing);
    const first = stages[0] === undefined ? undefined : getEndpoint(stages[0].endpointId);
    const correction = first === undefined ? 1 : this._getCorrection(first);
    const firstEventMs = Math.max(transitMs, drainMs) * correction;
    // First events that are late for another reason, such as a lost engine, raise the correction but are no prompts in front.
    return { firstEventMs, queueMs: Math.max(0, drainMs * Math.min(1, correction) - transitMs) };
  }

  /**
   * Records the first event of a stream.
   * @param first - The first engine of its chain.
   * @param tookMs - Time from the send to the first event.
   */
  noteFirstEvent(first: Endpoint, forecast: ChainForecast, tookMs: number): void {
    if (forecast.firstEventMs <= 0) return;
    const known = this._getCorrection(first);
    // The forecast contains the correction of its time, which is about the present one.
    const observed = clamp((tookMs / forecast.firstEventMs) * known);
    const factor = known + (observed - known) / smoothing;
    this._meanCorrection += (factor - this._meanCorrection) / smoothing;
    this._corrections.set(first.lifeId, { factor, atMs: this._nowMs() });
  }

  /** Returns the queue of a first engine that the known prompts don't show: its first events come later than those of others. */
  private _getHiddenMs(endpoint: Endpoint, transitMs: number): number {
    const isFirst = endpoint.listed.layers.some(({ start }) => start === 0);
    if (!isFirst) return 0;
    const relative = this._getCorrection(endpoint) / this._meanCorrection;
    return relative < slowCorrection ? 0 : transitMs * (relative - 1);
  }

  private _getCorrection(endpoint: Endpoint): number {
    const known = this._corrections.get(endpoint.lifeId);
    if (known === undefined) return 1;
    const halfLives = (this._nowMs() - known.atMs) / correctionHalfLifeMs;
    return 1 + (known.factor - 1) * 0.5 ** Math.max(0, halfLives);
  }
}

function clamp(factor: number): number {
  return Math.min(maxCorrection, Math.max(minCorrection, factor));
}
