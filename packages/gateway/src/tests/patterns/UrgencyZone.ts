/**
 * Simulation of a zone whose engines read prompts one after the other, in simulated time: instances admit by the level that their collector
 * computes from figures of the tick before. Rejected callers return once.
 */
import { utils } from "@shedtiller/common";
import { usableTargetShare } from "../../chains/FirstEventForecast.js";
import { toLevelKey, UrgencyLevels } from "../../loadcontrol/UrgencyLevels.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { sumFigures, type Figures } from "../../peers/figures.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

const tickMs = 10;
const reportIntervalMs = 200;
const accountCount = 24;
const deadlineMs = 20_000;
export const service = "engines";

/** Options of {@link UrgencyZone}. */
export interface UrgencyZoneOptions {
  /** Target latency of each priority, from the most urgent one on. */
  readonly targetsMs: readonly number[];
  readonly instances: number;
  /** Prompts that the engines read in a second. */
  readonly capacityPerSecond: number;
  readonly seed: number;
  readonly isLevelOn: boolean;
}

/** What became of the requests of one priority. */
export interface UrgencyCounts {
  asked: number;
  inTime: number;
  /** Rejections; a request that is rejected returns once. */
  rejected: number;
}

interface Instance {
  readonly figures: SharedFigures;
  readonly levels: UrgencyLevels;
}

/** Simulates the requests of one zone. */
export class UrgencyZone {
  readonly counts: readonly UrgencyCounts[];
  readonly instances: readonly Instance[];
  nowMs = 0;
  /** Whether the collector sends its sums. */
  isCollectorAlive = true;
  private readonly _random: utils.RandomSource;
  private readonly _returns: { readonly atMs: number; readonly priority: number }[] = [];
  private _sums: Figures = new Map();
  /** Prompts that engines have yet to read. */
  private _unread = 0;

  constructor(private readonly _options: UrgencyZoneOptions) {
    this._random = new utils.RandomSource(_options.seed);
    this.counts = _options.targetsMs.map(() => ({ asked: 0, inTime: 0, rejected: 0 }));
    this.instances = Array.from({ length: _options.instances }, () => this._createInstance());
  }

  /** The level as the first instance knows it. */
  get level(): number {
    return this.instances[0]?.levels.getLevel(service) ?? 0;
  }

  /** Advances the clock, while requests arrive at the given rates by priority. */
  run(durationMs: number, perSecond: readonly number[]): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs += tickMs) {
      if (this.nowMs % reportIntervalMs === 0 && this.isCollectorAlive) this._report();
      this._unread = Math.max(0, this._unread - this._toPerTick(this._options.capacityPerSecond));
      for (const [priority, rate] of perSecond.entries()) this._arrive(priority, this._toPerTick(rate));
      this._serveReturns();
    }
  }

  private _createInstance(): Instance {
    const nowMs = (): number => this.nowMs;
    const figures = new SharedFigures(nowMs);
    const priorities = new Map([[service, this._options.targetsMs.map((_targetMs, priority) => priority)]]);
    const levels = new UrgencyLevels({
      figures,
      getPriorities: () => priorities,
      log: new DecisionLog(new SilentLogOutput(), nowMs),
      countChange: () => undefined,
      nowMs,
      random: () => this._random.nextUnit(),
    });
    return { figures, levels };
  }

  /** Delivers the decision on the sums of the tick before. */
  private _report(): void {
    const [collector] = this.instances;
    const zones = new Map([["east", this._sums]]);
    const decisions = collector?.figures.decide({ ownZone: "east", zones, nowMs: this.nowMs });
    for (const { figures } of this.instances) figures.update(this._sums, decisions ?? new Map());
    this._sums = sumFigures(this.instances.map(({ figures }) => figures.getOwn()));
  }

  private _arrive(priority: number, mean: number): void {
    if (this._random.nextUnit() < mean % 1) this._request(priority, false);
    for (let whole = Math.floor(mean); whole > 0; whole--) this._request(priority, false);
  }

  private _serveReturns(): void {
    const due = this._returns.filter(({ atMs }) => atMs <= this.nowMs);
    for (const returned of due) {
      this._returns.splice(this._returns.indexOf(returned), 1);
      this._request(returned.priority, true);
    }
  }

  private _request(priority: number, isReturn: boolean): void {
    const instance = this._random.pick(this.instances);
    const counts = this.counts[priority];
    if (instance === undefined || counts === undefined) return;
    if (!isReturn) counts.asked += 1;
    const accountName = `account-${this._random.nextInteger(accountCount)}`;
    const { levels } = instance;
    if (this._options.isLevelOn && !isReturn && levels.isBehind({ service, priority, accountName })) {
      counts.rejected += 1;
      this._returns.push({
        atMs: this.nowMs + levels.getRetryAfterMs(service, priority, deadlineMs),
        priority,
      });
      return;
    }
    this._begin(priority, counts, levels);
  }

  private _begin(priority: number, counts: UrgencyCounts, levels: UrgencyLevels): void {
    this._unread += 1;
    const targetLatencyMs = this._options.targetsMs[priority] ?? 0;
    const firstEventMs = (this._unread / this._options.capacityPerSecond) * utils.msPerSecond;
    const dueAtMs = this.nowMs + targetLatencyMs;
    const stream = { service, priority, stages: [], promptTokens: 1, targetLatencyMs, dueAtMs };
    levels.noteBegun(stream);
    if (firstEventMs > targetLatencyMs * usableTargetShare) levels.noteQueued(stream);
    if (firstEventMs > targetLatencyMs) levels.noteMissed(stream);
    else counts.inTime += 1;
  }

  private _toPerTick(perSecond: number): number {
    return (perSecond * tickMs) / utils.msPerSecond;
  }
}

/** Key of the level of the simulated service among the decisions. */
export const levelKey = toLevelKey(service);
