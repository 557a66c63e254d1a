/**
 * Bound on the share of a zone's streams that one engine begins. The loss of an engine cuts the streams that began there, since a stream
 * can move to other engines except for its first one.
 */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import { PressureSource, type PressureEntry } from "../loadcontrol/PressureSource.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { getKind } from "./engineModel.js";
import type { ChainCandidate } from "./findCheapestChain.js";

/** Share of a zone's streams beyond which an engine begins no further ones, if so many engines hold the first layers. */
const targetShare = 0.2;
/**
 * Additional cost of a chain that begins at an engine beyond its share, as a share of the time that the fastest engines without concurrent
 * requests take for the answer. It bounds how much slower streams become for smaller losses. Since queues don't raise it, engines fill
 * evenly first where they are short of capacity.
 */
const maxDetourShare = 0.15;
/** Holds tens of streams of one instance, which begins a few a second, and forgets engines of before a rearrangement. */
const windowMs = 10_000;
/** Engines and zones whose decayed counts are smaller are forgotten. */
const minStarts = 0.01;

/** The streams of one zone that this instance began, and the engines at which it may begin more. */
interface ZoneStarts {
  readonly service: string;
  readonly total: utils.DecayingSum;
  readonly byEngine: Map<string, utils.DecayingSum>;
  /** Share that each engine may begin now; 1 if no other engine can begin streams. */
  bound: number;
  boundedAtMs: number;
}

/** Dependencies of {@link FirstEngineShares}. */
export interface FirstEngineSharesStructure {
  readonly log: Pick<DecisionLog, "info">;
  /** Counts the choices in which an engine was beyond its share. */
  readonly count: (service: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Counts the streams that this instance begins by first engine, and makes those beyond their share more expensive. No instance begins more
 * than the share at one engine, so that all together don't either, whatever the age of the figures that they have of each other.
 */
export class FirstEngineShares extends PressureSource {
  /** By service and zone. */
  private readonly _zones = new Map<string, ZoneStarts>();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: FirstEngineSharesStructure) {
    super();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Counts a stream that begins at an engine. */
  noteStart(engine: Endpoint): void {
    const nowMs = this._nowMs();
    const starts = this._getStarts(engine);
    const own = starts.byEngine.get(engine.id) ?? new utils.DecayingSum(windowMs);
    starts.byEngine.set(engine.id, own);
    own.add(1, nowMs);
    starts.total.add(1, nowMs);
  }

  /** Returns the additional cost of the engines that are beyond their share. */
  getDetoursMs(
    candidates: readonly ChainCandidate[],
    profile: EngineProfile,
    answerTokens: number,
  ): ReadonlyMap<Endpoint, number> {
    const detours = new Map<Endpoint, number>();
    const firsts = new Set(candidates.filter(canBegin).map(({ endpoint }) => endpoint));
    const zones = utils.groupBy([...firsts], (endpoint) => endpoint.listed.availabilityZone);
    for (const [zone, engines] of zones) {
      const excessive = this._getExcessive(engines, canSpread(candidates, zone, profile));
      if (excessive.length === 0) continue;
      const detourMs = maxDetourShare * answerTokens * getFastestTokenMs(candidates, zone, profile);
      for (const engine of excessive) detours.set(engine, detourMs);
    }
    const [first] = detours.keys();
    if (first !== undefined) this._structure.count(first.listed.service);
    return detours;
  }

  getPressure(): readonly PressureEntry[] {
    const nowMs = this._nowMs();
    return [...this._zones.values()].flatMap((starts) => {
      if (starts.bound >= 1) return [];
      return [...this._withoutForgotten(starts).byEngine].flatMap(([subject, own]) => {
        const value = own.get(nowMs) / starts.total.get(nowMs);
        if (value <= starts.bound) return [];
        const reason = `begins more than ${starts.bound.toFixed(2)} of the streams that this instance began in the zone`;
        const ageMs = nowMs - starts.boundedAtMs;
        return [{ decision: "firstEngineShare", service: starts.service, subject, value, reason, ageMs }];
      });
    });
  }

  /** Returns the engines of a zone that began more than their share of its streams. */
  private _getExcessive(engines: readonly Endpoint[], mayBeBounded: boolean): Endpoint[] {
    const [sample] = engines;
    if (sample === undefined) return [];
    const starts = this._getStarts(sample);
    const sharing = mayBeBounded ? engines.length : 1;
    this._setBound(starts, sample.listed.availabilityZone, sharing);
    if (starts.bound >= 1) return [];
    const nowMs = this._nowMs();
    const maxStarts = starts.bound * starts.total.get(nowMs);
    return engines.filter((engine) => (starts.byEngine.get(engine.id)?.get(nowMs) ?? 0) > maxStarts);
  }

  private _setBound(starts: ZoneStarts, availabilityZone: string, firstEngines: number): void {
    const bound = Math.max(targetShare, 1 / firstEngines);
    starts.boundedAtMs = this._nowMs();
    const isUnchanged = bound < 1 === starts.bound < 1;
    starts.bound = bound;
    if (isUnchanged) return;
    this._structure.log.info("first-engine-bound", {
      service: starts.service,
      availabilityZone,
      firstEngines,
      bound,
    });
  }

  private _getStarts({ listed }: Endpoint): ZoneStarts {
    const key = `${listed.service}\u0000${listed.availabilityZone}`;
    const known = this._zones.get(key);
    if (known !== undefined) return this._withoutForgotten(known);
    const total = new utils.DecayingSum(windowMs);
    const starts = { service: listed.service, total, byEngine: new Map(), bound: 1, boundedAtMs: 0 };
    this._zones.set(key, starts);
    return starts;
  }

  private _withoutForgotten(starts: ZoneStarts): ZoneStarts {
    const nowMs = this._nowMs();
    for (const [id, own] of starts.byEngine) if (own.get(nowMs) < minStarts) starts.byEngine.delete(id);
    return starts;
  }
}

function canBegin(candidate: ChainCandidate): boolean {
  return candidate.start === 0 && candidate.canBeFirst && candidate.freeLayers > 0;
}

/** Returns the time of a token over all layers, each at the zone's fastest engine with free capacity, without concurrent requests. */
function getFastestTokenMs(
  candidates: readonly ChainCandidate[],
  availabilityZone: string,
  profile: EngineProfile,
): number {
  const factors = new Float64Array(profile.layerCount).fill(Number.POSITIVE_INFINITY);
  for (const { endpoint, start, end, freeLayers } of candidates) {
    if (endpoint.listed.availabilityZone !== availabilityZone || freeLayers <= 0) continue;
    const factor = (getKind(endpoint, profile)?.stepFactor ?? 1) * endpoint.slowness;
    for (let layer = start; layer < end; layer++) factors[layer] = Math.min(factors[layer] ?? factor, factor);
  }
  return (profile.stepMs / profile.layerCount) * utils.getSum([...factors].filter(Number.isFinite));
}

/** Returns whether a zone has memory for so many copies of the model that its streams may be spread over first engines. */
function canSpread(
  candidates: readonly ChainCandidate[],
  availabilityZone: string,
  profile: EngineProfile,
): boolean {
  const endpoints = new Set(candidates.map(({ endpoint }) => endpoint));
  const members = [...endpoints].filter(({ listed }) => listed.availabilityZone === availabilityZone);
  const engines = members.map((member) => ({ memoryMb: getKind(member, profile)?.memoryMb ?? 0 }));
  return placement.canSpreadFirstEngines(engines, profile);
}
