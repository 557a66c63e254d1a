/** Acquisition and renewal of a lease, and the time for which its holder may act under it. */
import { utils } from "@shedtiller/common";
import type { LogFollower, LogService } from "@shedtiller/logservice";
import type { Timeline } from "@shedtiller/timeline";
import {
  leaseRecordVersion,
  leasesStream,
  type LeaseProjection,
  type LeaseRecord,
} from "./LeaseProjection.js";

/** Fraction of the lease duration for which the holder may act, counted from just before the holder sent the append. */
const usableFraction = 0.5;
/** Fraction of the lease duration after which the holder renews the lease, counted from the same time. */
const renewalFraction = 0.3;

/** Dependencies of {@link LeaseHolder}. */
export interface LeaseHolderStructure {
  readonly lease: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly log: LogService;
  readonly projection: LeaseProjection;
  readonly follower: LogFollower;
  readonly timeline: Timeline;
}

/** Acquires and renews a lease for an instance and provides the fencing token while the lease is safe to use. */
export class LeaseHolder {
  private readonly _holderId = utils.newId();
  private _fencingToken: number | undefined;
  private _usableUntilMs = Number.NEGATIVE_INFINITY;
  private _renewAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: LeaseHolderStructure) {}

  /**
   * Returns the fencing token to act under; undefined if the lease may have expired. Call it again after every await and directly before
   * each order, since the process may have been suspended in between.
   */
  getToken(): number | undefined {
    if (utils.monotonicMs() < this._usableUntilMs) return this._fencingToken;
    if (this._fencingToken !== undefined) this._clearToken();
    return undefined;
  }

  /** Acquires or renews the lease if that is due; returns whether the holder may act under it. */
  async acquireOrRenew(): Promise<boolean> {
    if (utils.monotonicMs() < this._renewAtMs) return this.getToken() !== undefined;
    const { projection, lease, durationMs, log, follower, timeline } = this._structure;
    const startMs = utils.monotonicMs();
    const current = projection.getLease(lease);
    if (current !== undefined && current.holderId !== this._holderId && current.expiresAtMs > utils.wallMs())
      return false;
    const appended = await log.append(leasesStream, utils.newId(), this._createRecord("take"));
    if (appended.err) return this.getToken() !== undefined;
    await utils
      .withDeadline(follower.waitFor(appended.val.offset), durationMs, "The read of a lease record")
      .catch(() => undefined);
    const granted = projection.getLease(lease);
    if (granted?.holderId !== this._holderId || granted.fencingToken !== appended.val.offset) return false;
    if (this._fencingToken === undefined)
      timeline.add("lease-taken", { subject: lease, detail: `token ${granted.fencingToken}` });
    this._fencingToken = granted.fencingToken;
    this._usableUntilMs = startMs + durationMs * usableFraction;
    this._renewAtMs = startMs + durationMs * renewalFraction;
    return this.getToken() !== undefined;
  }

  /** Releases the lease, so that the next holder does not have to wait for its expiry. */
  async release(): Promise<void> {
    if (this._fencingToken === undefined) return;
    this._clearToken();
    await this._structure.log.append(leasesStream, utils.newId(), this._createRecord("release"));
  }

  /** Clears the token after the lease was released or may have expired. */
  private _clearToken(): void {
    this._fencingToken = undefined;
    this._usableUntilMs = Number.NEGATIVE_INFINITY;
    this._renewAtMs = Number.NEGATIVE_INFINITY;
    this._structure.timeline.add("lease-lapsed", { subject: this._structure.lease });
  }

  private _createRecord(type: LeaseRecord["type"]): LeaseRecord {
    const { lease, holder, durationMs } = this._structure;
    return { version: leaseRecordVersion, type, lease, holder, holderId: this._holderId, durationMs };
  }
}
