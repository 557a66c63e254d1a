import { LentQuotas, type LentQuotasStructure } from "./LentQuotas.js";
import type { GrantedPermits, PermitRequest, LimitDemand } from "./permitMessages.js";
import { PermitPool } from "./PermitPool.js";

/** Requests that were sent before a limit was known are charged only beyond what the limit allows in this time. */
const chargedSeconds = 1;
/** Minimum rate of permits, so that an endpoint whose limit is 0 still receives requests that show whether the limit holds. */
const minPerSecond = 0.1;

/** A limit in force, and the availability zone of its endpoint. */
export interface ZonedLimit {
  readonly perSecond: number;
  readonly availabilityZone: string;
}

/** Dependencies of {@link PermitCoordinator}. */
export interface PermitCoordinatorStructure extends LentQuotasStructure {
  readonly availabilityZone: string;
  readonly getLimit: (key: string) => ZonedLimit | undefined;
  /** Returns the zones of all endpoints with a limit in force. */
  readonly getLimitedZones: () => ReadonlySet<string>;
  /** Returns the reachable coordinators of other zones, by zone. */
  readonly getCoordinators: () => ReadonlyMap<string, string>;
}

/** Numbers of permits that were used or returned, and of requests that were sent without one. */
type PermitUsage = Pick<LimitDemand, "used" | "returned" | "charged">;

const noUsage: PermitUsage = { used: 0, returned: 0, charged: 0 };

/**
 * Grants the permits of rate limits that many instances share. Each instance owns an equal quota share of every limit and lends it to the
 * coordinator of its availability zone, which grants permits by demand. In the same way, the coordinators of the zones lend their shares to
 * the coordinator of the endpoint's zone. Only one coordinator has a share at a time, so all grants together stay within the limit even if
 * instances disagree on which of them are coordinators.
 *
 * Every instance has a coordinator, which receives requests only while other instances use it.
 */
export class PermitCoordinator {
  private readonly _quotas: LentQuotas;
  private readonly _pools = new Map<string, PermitPool>();
  /** Usage that is not yet reported to the coordinator of the endpoint's zone, by limit. */
  private readonly _usages = new Map<string, PermitUsage>();
  /** Groups of the limits, by limit. */
  private readonly _groups = new Map<string, string>();
  /** Number of permit requests to the coordinators of other zones so far. */
  private _requests = 0;

  constructor(private readonly _structure: PermitCoordinatorStructure) {
    this._quotas = new LentQuotas(_structure);
  }

  /** Responds to a permit request of an instance of this zone, or of the coordinator of another zone. */
  respond(name: string, request: PermitRequest): GrantedPermits {
    this._removeEnded();
    this._quotas.addLoan(name, request);
    const demandedKeys = new Set(request.wants.map(({ key }) => key));
    for (const [key, pool] of this._pools) if (!demandedKeys.has(key)) pool.removeParticipant(name);
    const granted: GrantedPermits = [];
    const grantedByGroup = new Map<string, number>();
    for (const demand of request.wants) {
      const pool = this._getPool(demand.key);
      if (pool === undefined) continue;
      this._applyDemand(name, demand, pool, request.lending / this._quotas.countInstances());
      const before = grantedByGroup.get(demand.group) ?? 0;
      const count = pool.grant(name, Math.max(0, demand.count - before));
      grantedByGroup.set(demand.group, before + count);
      if (count > 0) granted.push({ key: demand.key, count });
    }
    return granted;
  }

  /** Adds permits that another coordinator has granted to this zone. */
  deposit(granted: GrantedPermits): void {
    for (const { key, count } of granted) this._getPool(key)?.deposit(count);
  }

  /** Returns the permit requests that are due to the coordinators of other zones, by the name of the coordinator. */
  getOutgoingRequests(): Map<string, PermitRequest> {
    this._removeEnded();
    const requests = new Map<string, PermitRequest>();
    for (const [zone, name] of this._structure.getCoordinators()) {
      const zones = this._getZonesGrantedBy(zone);
      if (zones.length === 0) continue;
      requests.set(name, { ...this._quotas.lend(zones), zones, wants: this._getDemands(zones) });
    }
    return requests;
  }

  private _applyDemand(name: string, demand: LimitDemand, pool: PermitPool, weight: number): void {
    const limit = this._structure.getLimit(demand.key);
    if (limit === undefined) return;
    pool.retainParticipants((participant) => this._quotas.has(participant));
    this._fill(pool, limit);
    this._groups.set(demand.key, demand.group);
    this._settle(demand, pool, limit, weight);
    pool.setDemand(name, { count: demand.count, waiting: demand.waiting });
  }

  /** Settles usage with the pool that granted the permits: the local one, or that of the coordinator of the endpoint's zone. */
  private _settle(demand: LimitDemand, pool: PermitPool, limit: ZonedLimit, weight: number): void {
    const { key, used, returned, charged } = demand;
    if (this._isGrantedHere(limit.availabilityZone)) {
      pool.settle(used, returned);
      return pool.charge(Math.max(0, charged - limit.perSecond * chargedSeconds * weight));
    }
    const usage = this._usages.get(key) ?? noUsage;
    this._usages.set(key, {
      used: usage.used + used,
      returned: usage.returned + returned,
      charged: usage.charged + charged,
    });
  }

  private _fill(pool: PermitPool, { availabilityZone }: ZonedLimit): void {
    pool.fill(this._isGrantedHere(availabilityZone) ? this._quotas.getShare(availabilityZone) : 0);
  }

  /** Removes the state of limits that have ended. */
  private _removeEnded(): void {
    for (const key of this._pools.keys()) {
      if (this._structure.getLimit(key) !== undefined) continue;
      this._pools.delete(key);
      this._usages.delete(key);
      this._groups.delete(key);
    }
  }

  private _getPool(key: string): PermitPool | undefined {
    const limit = this._structure.getLimit(key);
    if (limit === undefined) return undefined;
    const perSecond = Math.max(minPerSecond, limit.perSecond);
    const pool = this._pools.get(key) ?? new PermitPool(perSecond, this._structure.nowMs);
    this._pools.set(key, pool);
    pool.setPerSecond(perSecond);
    return pool;
  }

  private _getDemands(zones: readonly string[]): LimitDemand[] {
    const demands: LimitDemand[] = [];
    for (const [key, pool] of this._pools) {
      const zone = this._structure.getLimit(key)?.availabilityZone;
      if (zone === undefined || !zones.includes(zone)) continue;
      pool.retainParticipants((participant) => this._quotas.has(participant));
      const usage = this._usages.get(key) ?? noUsage;
      this._usages.delete(key);
      const returned = usage.returned + pool.withdraw();
      demands.push({
        key,
        group: this._groups.get(key) ?? key,
        ...pool.getUnmetDemand(),
        ...usage,
        returned,
      });
    }
    // The first demand of a group is granted first, so the order rotates.
    this._requests += 1;
    const first = demands.length === 0 ? 0 : this._requests % demands.length;
    return [...demands.slice(first), ...demands.slice(0, first)];
  }

  private _isGrantedHere(zone: string): boolean {
    return this._getHomeZone(zone) === this._structure.availabilityZone;
  }

  /**
   * Returns the zone whose coordinator grants permits for the endpoints of a zone: the same zone, or, if that has no reachable coordinator,
   * the first zone by name that has one.
   */
  private _getHomeZone(zone: string): string {
    const { availabilityZone, getCoordinators } = this._structure;
    const coordinators = getCoordinators();
    if (zone === availabilityZone || coordinators.has(zone)) return zone;
    return [availabilityZone, ...coordinators.keys()].sort()[0] ?? availabilityZone;
  }

  /** Returns the zones of limited endpoints for which the coordinator of the zone `home` grants permits. */
  private _getZonesGrantedBy(home: string): string[] {
    return [...this._structure.getLimitedZones()].filter((zone) => this._getHomeZone(zone) === home);
  }
}
