/** Flows between zones by shares that the collector of a zone computes from the demand and the capacity of all zones. */
import { utils } from "@shedtiller/common";
import * as routing from "@shedtiller/routing";
import { otherZoneMs } from "../chains/EntryCosts.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Figures } from "../peers/figures.js";
import { getFiniteAgeMs } from "../peers/getFiniteAgeMs.js";
import type { SharedFigures, ZoneFigures } from "../peers/SharedFigures.js";
import type { PressureEntry, PressureSource } from "./PressureSource.js";
import { ZoneCapacities } from "./ZoneCapacities.js";
import { ZoneFlows } from "./ZoneFlows.js";

/** Share of its capacity up to which a zone serves its own demand; the rest is headroom for requests that come closer together. */
const targetUtilization = 0.9;
/** Time over which arrivals are averaged. The shares average further; a longer time here lets a wave pass before they follow. */
const demandWindowMs = 800;
/** Shares that are older no longer count. */
const maxAgeMs = 2_000;
/** Longest time that one decision makes up for, such as after a suspension. */
const maxElapsedMs = 400;

/** A collector whose last decision is older has just begun, or was suspended. */
const newCollectorMs = 1_000;
/** A new collector keeps the shares until all instances have sent it their figures, which takes up to 0.6 s. */
const warmUpMs = 800;

/** Dependencies of {@link SharedZoneFlows}. */
export interface SharedZoneFlowsStructure {
  readonly availabilityZone: string;
  readonly endpoints: EndpointTable;
  readonly figures: SharedFigures;
  /** Returns the services with engines, and their profiles. */
  readonly getProfiles: () => ReadonlyMap<string, EngineProfile>;
  readonly log: Pick<DecisionLog, "info">;
  /** Counts the changes of the zones to which requests of this zone go. */
  readonly count: (service: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** Sends figures of the own demand, decides as collector, and draws the zone of each request by the last decision. */
export class SharedZoneFlows extends ZoneFlows implements PressureSource {
  private readonly _nowMs: () => number;
  private readonly _capacities: ZoneCapacities;
  /** Tokens of the requests that arrived at this instance, by service. */
  private readonly _arrivals = new Map<string, utils.DecayingSum>();
  /** The zones to which requests went at the last decision, by service. */
  private readonly _takers = new Map<string, string>();
  private _decidedAtMs = Number.NEGATIVE_INFINITY;
  /** Time since which this instance decides. */
  private _decidingSinceMs = 0;

  constructor(private readonly _structure: SharedZoneFlowsStructure) {
    super();
    const { endpoints, figures, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._capacities = new ZoneCapacities(endpoints, this._nowMs);
    figures.addSource(() => this._getDemands());
    figures.addDecider((zoneFigures) => this._decide(zoneFigures));
  }

  noteArrival(service: string, tokens: number): void {
    const arrivals = this._arrivals.get(service) ?? new utils.DecayingSum(demandWindowMs);
    this._arrivals.set(service, arrivals);
    arrivals.add(tokens, this._nowMs());
  }

  getZoneMs(service: string, availabilityZone: string, random: number): number | undefined {
    const drawn = this._draw(service, random);
    if (drawn === undefined) return undefined;
    return availabilityZone === drawn ? 0 : otherZoneMs;
  }

  getPressure(): readonly PressureEntry[] {
    const ageMs = this._structure.figures.getAgeMs();
    if (ageMs > maxAgeMs) return [];
    return [...this._structure.getProfiles().keys()].flatMap((service) =>
      [...this._getShares(service)].map(([subject, value]) => {
        const demand = this._structure.figures.getTotal(getDemandKey(service));
        const reason = `part of the requests of ${this._structure.availabilityZone}; all zones ask for ${demand} tokens a second`;
        return { decision: "zoneFlows", service, subject, value, reason, ageMs };
      }),
    );
  }

  /** Draws the zone of a request; returns undefined if no share is known or all requests stay at home. */
  private _draw(service: string, random: number): string | undefined {
    if (this._structure.figures.getAgeMs() > maxAgeMs) return undefined;
    const shares = this._getShares(service);
    if (shares.size === 0) return undefined;
    let remaining = random;
    for (const [zone, share] of shares) {
      remaining -= share;
      if (remaining < 0) return zone;
    }
    return this._structure.availabilityZone;
  }

  /** Returns the last decided shares of the other zones, without zeros. */
  private _getShares(service: string): routing.FlowShares {
    return this._structure.figures.getDecisions(getSharePrefix(service));
  }

  private _getDemands(): Figures {
    const nowMs = this._nowMs();
    const demands = new Map<string, number>();
    for (const [service, arrivals] of this._arrivals) {
      const tokensPerSecond = (arrivals.get(nowMs) / demandWindowMs) * utils.msPerSecond;
      demands.set(getDemandKey(service), Math.round(tokensPerSecond));
    }
    return demands;
  }

  private _decide(figures: ZoneFigures): Figures {
    const elapsedMs = Math.min(maxElapsedMs, Math.max(0, figures.nowMs - this._decidedAtMs));
    if (figures.nowMs - this._decidedAtMs > newCollectorMs) this._decidingSinceMs = figures.nowMs;
    this._decidedAtMs = figures.nowMs;
    const decisions = new Map<string, number>();
    for (const [service, profile] of this._structure.getProfiles()) {
      const shares = this._decideService(service, profile, figures, elapsedMs);
      for (const [zone, share] of shares) decisions.set(getSharePrefix(service) + zone, roundShare(share));
    }
    return decisions;
  }

  private _decideService(
    service: string,
    profile: EngineProfile,
    { zones, ownZone, nowMs }: ZoneFigures,
    elapsedMs: number,
  ): routing.FlowShares {
    const current = this._structure.figures.getAgeMs() > maxAgeMs ? new Map() : this._getShares(service);
    if (nowMs - this._decidingSinceMs < warmUpMs) return current;
    const capacities = this._capacities.get(service, profile);
    const balances = new Map(
      [...zones].map(([zone, figures]) => {
        const demand = figures.get(getDemandKey(service)) ?? 0;
        return [zone, { demand, capacity: capacities.get(zone) ?? 0 }];
      }),
    );
    const target =
      routing.computeFlows(balances, targetUtilization).get(ownZone) ?? new Map<string, number>();
    const others = [...balances].filter(([zone, { capacity }]) => zone !== ownZone && capacity > 0);
    const takers = new Set(others.map(([zone]) => zone));
    const shares = routing.approachShares(current, target, takers, elapsedMs);
    this._noteTakers(service, shares, balances);
    return shares;
  }

  /** Logs and counts a change of the zones to which requests go. */
  private _noteTakers(
    service: string,
    shares: routing.FlowShares,
    balances: ReadonlyMap<string, routing.ZoneBalance>,
  ): void {
    const takers = [...shares.keys()].sort().join(",");
    if (takers === (this._takers.get(service) ?? "")) return;
    this._takers.set(service, takers);
    this._structure.count(service);
    const inputs = [...balances].map(
      ([zone, { demand, capacity }]) => `${zone}: ${demand} of ${Math.round(capacity)} tokens/s`,
    );
    const described = [...shares].map(([zone, share]) => `${zone}: ${share.toFixed(2)}`);
    const { availabilityZone, figures, log } = this._structure;
    const ageMs = getFiniteAgeMs(figures.getAgeMs());
    log.info("zone-flows-changed", { service, availabilityZone, shares: described, inputs, ageMs });
  }
}

function getDemandKey(service: string): string {
  return `flows/${service}`;
}

function getSharePrefix(service: string): string {
  return `flows/${service}/`;
}

/** Returns a share that is short in messages. */
function roundShare(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
