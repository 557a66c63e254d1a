/**
 * Hands out the permits of rate limits that many instances keep together. Each instance has an equal part of every limit and lends it to
 * the coordinator of its availability zone, which hands the parts out again by demand; the coordinators of the zones lend what they have to
 * that of the endpoint's own zone in the same way. A part is with one of them at a time, so that what all hand out sums to the limit
 * whatever they believe of each other.
 */
import { LentQuotas, type LentQuotasStructure } from "./LentQuotas.js";
import type { GrantedPermits, PermitRequest, LimitDemand } from "./permitMessages.js";
import { PermitPool } from "./PermitPool.js";

/** Requests before a limit was known count against it only beyond what the limit allows in this time. */
const chargedSeconds = 1;
/** An endpoint that takes nothing is asked this often whether that still holds. */
const leastPerSecond = 0.1;

/** A limit in force, and the availability zone of its endpoint. */
export interface ZonedLimit {
  readonly perSecond: number;
  readonly availabilityZone: string;
}

/** What a coordinator works with. */
export interface PermitCoordinatorStructure extends LentQuotasStructure {
  readonly availabilityZone: string;
  readonly getLimit: (key: string) => ZonedLimit | undefined;
  /** Zones of all endpoints with a limit in force. */
  readonly getLimitedZones: () => ReadonlySet<string>;
  /** Coordinators of other zones that are heard now, by zone. */
  readonly getCoordinators: () => ReadonlyMap<string, string>;
}

/** What became of permits, and of sends without one. */
type PermitAccount = Pick<LimitDemand, "used" | "returned" | "charged">;

const emptyAccount: PermitAccount = { used: 0, returned: 0, charged: 0 };

/** One an instance; it is asked only while others take it for their coordinator. */
export class PermitCoordinator {
  private readonly _parts: LentQuotas;
  private readonly _pools = new Map<string, PermitPool>();
  /** What the coordinator of the endpoint's zone is still to be told of, by limit. */
  private readonly _accounts = new Map<string, PermitAccount>();
  private readonly _groups = new Map<string, string>();
  /** Asks of the coordinators of other zones so far. */
  private _asks = 0;

  constructor(private readonly _structure: PermitCoordinatorStructure) {
    this._parts = new LentQuotas(_structure);
  }

  /** Answers an instance of this zone, or the coordinator of another one. */
  answer(name: string, ask: PermitRequest): GrantedPermits {
    this._forgetEnded();
    this._parts.note(name, ask);
    const wantedKeys = new Set(ask.wants.map(({ key }) => key));
    for (const [key, pool] of this._pools) if (!wantedKeys.has(key)) pool.drop(name);
    const granted: GrantedPermits = [];
    const grantedByGroup = new Map<string, number>();
    for (const wanted of ask.wants) {
      const pool = this._getPool(wanted.key);
      if (pool === undefined) continue;
      this._take(name, wanted, pool, ask.lending / this._parts.countInstances());
      const before = grantedByGroup.get(wanted.group) ?? 0;
      const count = pool.take(name, Math.max(0, wanted.count - before));
      grantedByGroup.set(wanted.group, before + count);
      if (count > 0) granted.push({ key: wanted.key, count });
    }
    return granted;
  }

  /** Takes permits that another coordinator handed out to this zone. */
  deposit(granted: GrantedPermits): void {
    for (const { key, count } of granted) this._getPool(key)?.deposit(count);
  }

  /** What is due from the coordinators of other zones, by their names. */
  getOutgoingAsks(): Map<string, PermitRequest> {
    this._forgetEnded();
    const asks = new Map<string, PermitRequest>();
    for (const [zone, name] of this._structure.getCoordinators()) {
      const zones = this._getZonesHandedOutBy(zone);
      if (zones.length === 0) continue;
      asks.set(name, { ...this._parts.lend(zones), zones, wants: this._getWants(zones) });
    }
    return asks;
  }

  private _take(name: string, wanted: LimitDemand, pool: PermitPool, weight: number): void {
    const limit = this._structure.getLimit(wanted.key);
    if (limit === undefined) return;
    pool.keep((participant) => this._parts.has(participant));
    this._fill(pool, limit);
    this._groups.set(wanted.key, wanted.group);
    this._settle(wanted, pool, limit, weight);
    pool.setWant(name, { count: wanted.count, waiting: wanted.waiting });
  }

  /** Permits are accounted for where they were handed out first. */
  private _settle(wanted: LimitDemand, pool: PermitPool, limit: ZonedLimit, weight: number): void {
    const { key, used, returned, charged } = wanted;
    if (this._isHandedOutHere(limit.availabilityZone)) {
      pool.settle(used, returned);
      return pool.charge(Math.max(0, charged - limit.perSecond * chargedSeconds * weight));
    }
    const account = this._accounts.get(key) ?? emptyAccount;
    this._accounts.set(key, {
      used: account.used + used,
      returned: account.returned + returned,
      charged: account.charged + charged,
    });
  }

  private _fill(pool: PermitPool, { availabilityZone }: ZonedLimit): void {
    pool.fill(this._isHandedOutHere(availabilityZone) ? this._parts.getPart(availabilityZone) : 0);
  }

  /** Forgets limits that have ended. */
  private _forgetEnded(): void {
    for (const key of this._pools.keys()) {
      if (this._structure.getLimit(key) !== undefined) continue;
      this._pools.delete(key);
      this._accounts.delete(key);
      this._groups.delete(key);
    }
  }

  private _getPool(key: string): PermitPool | undefined {
    const limit = this._structure.getLimit(key);
    if (limit === undefined) return undefined;
    const perSecond = Math.max(leastPerSecond, limit.perSecond);
    const pool = this._pools.get(key) ?? new PermitPool(perSecond, this._structure.nowMs);
    this._pools.set(key, pool);
    pool.setPerSecond(perSecond);
    return pool;
  }

  private _getWants(zones: readonly string[]): LimitDemand[] {
    const wants: LimitDemand[] = [];
    for (const [key, pool] of this._pools) {
      const zone = this._structure.getLimit(key)?.availabilityZone;
      if (zone === undefined || !zones.includes(zone)) continue;
      pool.keep((participant) => this._parts.has(participant));
      const account = this._accounts.get(key) ?? emptyAccount;
      this._accounts.delete(key);
      const returned = account.returned + pool.withdraw();
      wants.push({ key, group: this._groups.get(key) ?? key, ...pool.getUnfilled(), ...account, returned });
    }
    // Limits of one group are asked for in turn.
    this._asks += 1;
    const first = wants.length === 0 ? 0 : this._asks % wants.length;
    return [...wants.slice(first), ...wants.slice(0, first)];
  }

  private _isHandedOutHere(zone: string): boolean {
    return this._getHomeZone(zone) === this._structure.availabilityZone;
  }

  /** The zone whose coordinator hands out for endpoints of a zone: that one, or the first that is heard where nobody is there. */
  private _getHomeZone(zone: string): string {
    const { availabilityZone, getCoordinators } = this._structure;
    const heard = getCoordinators();
    if (zone === availabilityZone || heard.has(zone)) return zone;
    return [availabilityZone, ...heard.keys()].sort()[0] ?? availabilityZone;
  }

  /** Zones with limited endpoints for which the coordinator of another zone hands out. */
  private _getZonesHandedOutBy(home: string): string[] {
    return [...this._structure.getLimitedZones()].filter((zone) => this._getHomeZone(zone) === home);
  }
}
