/** Admission by urgency: the levels of the services in this instance's zone, and the figures that they are computed from. */
import {
  getNextLevel,
  getRejectedSlices,
  RateMeter,
  slicesPerPriority,
  type PriorityFigures,
  type UrgencyLevel,
} from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Figures } from "../peers/figures.js";
import type { SharedFigures, ZoneFigures } from "../peers/SharedFigures.js";
import type { BeginningStream, StreamListener } from "./BeginningStreams.js";
import { PressureSource, type PressureEntry } from "./PressureSource.js";

/** Time constant of the rates of streams that begin and that miss their targets. */
const rateTimeConstantMs = 1_000;
/** Rates are sent in hundredths; a smaller one is what remains of a stream of some seconds ago. */
const ratePrecision = 100;
/** Time without news from the collector for which its level holds; another instance replaces a silent collector after this. */
const levelHoldMs = 1_000;
/** Without news for longer, the level is lowered by one step each time. */
const levelStepMs = 400;
/** Time after which other client accounts are in the slices that are rejected. */
const sliceTurnMs = 3_000;
/** A rejected caller returns after this time, plus the same for each priority that is more urgent, so that more urgent requests return first. */
const returnStepMs = 500;
/** A random time is added, up to this for each step of the level: the more is rejected, the longer the returns have to be spread. */
const returnSpreadMs = 500;
/** Share of the time that a caller has left for which it waits at most before it returns; the rest is for the answer. */
const returnTimeShare = 1 / 3;

/** The properties of a request that decide on its place before or behind the level. */
export interface UrgencyQuery {
  readonly service: string;
  readonly priority: number;
  readonly accountName: string | undefined;
}

/** Dependencies of {@link UrgencyLevels}. */
export interface UrgencyLevelsStructure {
  readonly figures: SharedFigures;
  /** Returns the services with levels, and their priorities from the most urgent one on. */
  readonly getPriorities: () => ReadonlyMap<string, readonly number[]>;
  readonly log: DecisionLog;
  readonly countChange: (service: string, direction: "up" | "down") => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Returns a random number from 0 to 1; replaced in tests. */
  readonly random?: () => number;
}

interface PriorityRates {
  readonly begun: RateMeter;
  readonly queued: RateMeter;
  readonly missed: RateMeter;
}

/**
 * Decides which requests are behind the level of their service, and computes the levels while this instance is the collector of its zone. Each
 * instance has one such object.
 */
export class UrgencyLevels extends PressureSource implements StreamListener {
  /** Rates of this instance, by the key of service and priority. */
  private readonly _rates = new Map<string, PriorityRates>();
  /** Levels that this instance has computed, by service. */
  private readonly _computed = new Map<string, UrgencyLevel>();
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  /** Differs between instances, so that no client account is rejected by all of them at the same time. */
  private readonly _turnOffsetMs: number;

  constructor(private readonly _structure: UrgencyLevelsStructure) {
    super();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
    this._turnOffsetMs = this._random() * sliceTurnMs * slicesPerPriority;
    _structure.figures.addSource(() => this._getFigures());
    _structure.figures.addDecider((figures) => this._decide(figures));
  }

  noteBegun({ service, priority }: BeginningStream): void {
    this._getRates(service, priority).begun.add(1);
  }

  noteQueued({ service, priority }: BeginningStream): void {
    this._getRates(service, priority).queued.add(1);
  }

  noteMissed({ service, priority }: BeginningStream): void {
    this._getRates(service, priority).missed.add(1);
  }

  /** Returns the level of a service; 0 rejects nobody. */
  getLevel(service: string): number {
    const { figures } = this._structure;
    const level = figures.getDecision(toLevelKey(service)) ?? 0;
    if (level === 0) return 0;
    const silentMs = figures.getAgeMs() - levelHoldMs;
    return silentMs <= 0 ? level : Math.max(0, level - Math.ceil(silentMs / levelStepMs));
  }

  /** Returns whether a request is behind the level of its service. */
  isBehind({ service, priority, accountName }: UrgencyQuery): boolean {
    const level = this.getLevel(service);
    if (level === 0) return false;
    const rejected = getRejectedSlices(level, this._countLessUrgent(service, priority));
    return rejected > 0 && this._getSlice(accountName) < rejected;
  }

  /**
   * Returns when a rejected caller should return.
   * @param remainingMs - Time that the caller has left.
   */
  getRetryAfterMs(service: string, priority: number, remainingMs: number): number {
    const priorities = this._structure.getPriorities().get(service) ?? [];
    const moreUrgent = priorities.filter((other) => other < priority).length;
    const spreadMs = returnSpreadMs * Math.max(1, this.getLevel(service)) * this._random();
    return Math.min(remainingMs * returnTimeShare, returnStepMs * (1 + moreUrgent) + spreadMs);
  }

  override getPressure(): readonly PressureEntry[] {
    return [...this._structure.getPriorities()].flatMap(([service, priorities]) => {
      const level = this.getLevel(service);
      if (level === 0) return [];
      return priorities.flatMap((priority) => this._describe(service, priority, level));
    });
  }

  private _describe(service: string, priority: number, level: number): PressureEntry[] {
    const rejected = getRejectedSlices(level, this._countLessUrgent(service, priority));
    if (rejected === 0) return [];
    return [
      {
        decision: "urgencyLevels",
        service,
        subject: `priority ${priority}`,
        value: rejected / slicesPerPriority,
        reason: `level ${level}: ${rejected} of ${slicesPerPriority} slices of the accounts are rejected, since targets are missed`,
        ageMs: Math.max(0, this._structure.figures.getAgeMs()),
      },
    ];
  }

  private _countLessUrgent(service: string, priority: number): number {
    const priorities = this._structure.getPriorities().get(service) ?? [];
    return priorities.filter((other) => other > priority).length;
  }

  private _getSlice(accountName: string | undefined): number {
    const turn = Math.floor((this._nowMs() + this._turnOffsetMs) / sliceTurnMs);
    return (utils.hash32(accountName ?? "") + turn) % slicesPerPriority;
  }

  private _getRates(service: string, priority: number): PriorityRates {
    const key = toRateKey(service, priority);
    const known = this._rates.get(key);
    if (known !== undefined) return known;
    const created = {
      begun: new RateMeter(rateTimeConstantMs, this._nowMs),
      queued: new RateMeter(rateTimeConstantMs, this._nowMs),
      missed: new RateMeter(rateTimeConstantMs, this._nowMs),
    };
    this._rates.set(key, created);
    return created;
  }

  private _getFigures(): Figures {
    const figures = new Map<string, number>();
    for (const [service, priorities] of this._structure.getPriorities()) {
      for (const priority of priorities) {
        const rates = this._rates.get(toRateKey(service, priority));
        if (rates === undefined) continue;
        const key = toRateKey(service, priority);
        setRate(figures, `${key}/begun`, rates.begun);
        setRate(figures, `${key}/queued`, rates.queued);
        setRate(figures, `${key}/missed`, rates.missed);
      }
    }
    return figures;
  }

  private _decide({ ownZone, zones, nowMs }: ZoneFigures): Figures {
    const own: Figures = zones.get(ownZone) ?? new Map<string, number>();
    const levels = [...this._structure.getPriorities()].map(([service, priorities]) => {
      const figures = priorities.map((priority) => readFigures(own, toRateKey(service, priority)));
      return [toLevelKey(service), this._computeLevel(service, figures, nowMs)] as const;
    });
    return new Map(levels);
  }

  /** Computes the next level from the one that this instance received last, since another one may have been the collector before. */
  private _computeLevel(service: string, figures: readonly PriorityFigures[], nowMs: number): number {
    const level = this.getLevel(service);
    const known = this._computed.get(service);
    const present = known?.level === level ? known : { level, decidedAtMs: nowMs, missShare: 0 };
    const next = getNextLevel(present, figures, nowMs);
    this._computed.set(service, next);
    if (next.level !== level) this._noteChange(service, level, next.level, figures);
    return next.level;
  }

  private _noteChange(service: string, from: number, to: number, figures: readonly PriorityFigures[]): void {
    this._structure.countChange(service, to > from ? "up" : "down");
    this._structure.log.info("urgency-level-changed", {
      service,
      from,
      to,
      begunPerSecond: figures.map(({ begunPerSecond }) => begunPerSecond.toFixed(1)),
      queuedPerSecond: figures.map(({ queuedPerSecond }) => queuedPerSecond.toFixed(1)),
      missedPerSecond: figures.map(({ missedPerSecond }) => missedPerSecond.toFixed(1)),
      ageMs: Math.round(this._structure.figures.getAgeMs()),
    });
  }
}

/** Returns the key of a service's level among the decisions; other decisions read it, too. */
export function toLevelKey(service: string): string {
  return `levels/${service}`;
}

function toRateKey(service: string, priority: number): string {
  return `urgency/${service}/${priority}`;
}

function setRate(figures: Map<string, number>, key: string, meter: RateMeter): void {
  const perSecond = Math.round(meter.getPerSecond() * ratePrecision) / ratePrecision;
  if (perSecond > 0) figures.set(key, perSecond);
}

function readFigures(figures: Figures, key: string): PriorityFigures {
  return {
    begunPerSecond: figures.get(`${key}/begun`) ?? 0,
    queuedPerSecond: figures.get(`${key}/queued`) ?? 0,
    missedPerSecond: figures.get(`${key}/missed`) ?? 0,
  };
}
