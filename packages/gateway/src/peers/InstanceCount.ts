/** The number of instances among which allowances of the deployment are divided. */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";

/** Time after its first registration until an instance knows all others that were started together with it. */
export const settlingMs = 10_000;
/** Field of heartbeats with the number of instances that the sender knows; 0 while it may not know all. */
const heartbeatField = "instances";
const countSchema = zod.number().int().nonnegative();

/** The instances that divide an allowance. */
export interface SharingInstances {
  /** Number of instances, including this one. */
  readonly count: number;
  /** Monotonic time since which this instance has known all of them. */
  readonly sinceMs: number;
}

/** Dependencies of {@link InstanceCount}. */
export interface InstanceCountStructure {
  readonly membership: Pick<Membership, "self" | "getMembers" | "getLinked" | "addHeartbeatField">;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Counts the instances. Too low a number would let all instances together exceed an allowance, so there is none until the others are known:
 * an instance that registers for the first time may be the first of many that start, and the registry lists only those that have registered
 * before it. An instance of which an earlier process is listed already finds all others there.
 */
export class InstanceCount {
  private readonly _listed = new Set<string>();
  private readonly _nowMs: () => number;
  private _registeredAtMs: number | undefined;
  private _sinceMs: number | undefined;

  constructor(private readonly _structure: InstanceCountStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    const { membership } = _structure;
    this._listed.add(membership.self.name);
    membership.addHeartbeatField(heartbeatField, () => this.get()?.count ?? 0);
  }

  /** Time until a read of the registry completes the count; undefined if the count is complete or this instance is not registered. */
  get settlesInMs(): number | undefined {
    if (this._sinceMs !== undefined || this._registeredAtMs === undefined) return undefined;
    return Math.max(0, this._registeredAtMs + settlingMs - this._nowMs());
  }

  /** Notes the list that was read before this instance registered. */
  noteFormerList(names: readonly string[]): void {
    if (names.includes(this._structure.membership.self.name)) this._sinceMs ??= this._nowMs();
    this._add(names);
  }

  noteRegistered(): void {
    this._registeredAtMs ??= this._nowMs();
  }

  /** Notes a list that was read from the registry after {@link noteRegistered}. */
  noteList(names: readonly string[]): void {
    this._add(names);
    if (this.settlesInMs === 0) this._sinceMs = this._nowMs();
  }

  /** Returns the instances; undefined while there may be others that this instance does not know. */
  get(): SharingInstances | undefined {
    if (this._sinceMs === undefined) return undefined;
    const { membership } = this._structure;
    const names = new Set([...this._listed, ...membership.getMembers().map(({ name }) => name)]);
    const told = membership.getLinked().map(({ heartbeat }) => {
      const count = countSchema.safeParse(heartbeat[heartbeatField]);
      return count.success ? count.data : 0;
    });
    return { count: Math.max(names.size, ...told), sinceMs: this._sinceMs };
  }

  private _add(names: readonly string[]): void {
    for (const name of names) this._listed.add(name);
  }
}
