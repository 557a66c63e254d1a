/** Takes and renews one lease, and tells from moment to moment whether it may still be acted upon. */
import { utils } from "@shedtiller/common";
import type { LogFollower, LogService } from "@shedtiller/logservice";
import type { Timeline } from "@shedtiller/timeline";
import {
  leaseRecordVersion,
  leasesStream,
  type LeaseProjection,
  type LeaseRecord,
} from "./LeaseProjection.js";

/** The holder acts only in this part of the lease, counted from before its append was sent. */
const usablePart = 0.5;
/** It renews when this part has gone. */
const renewPart = 0.3;

/** What a holder is made of. */
export interface LeaseHolderStructure {
  readonly lease: string;
  readonly holder: string;
  readonly durationMs: number;
  readonly log: LogService;
  readonly projection: LeaseProjection;
  readonly follower: LogFollower;
  readonly timeline: Timeline;
}

/** One instance's hold on one lease. */
export class LeaseHolder {
  private readonly _holderId = utils.newId();
  private _fencingToken: number | undefined;
  private _usableUntilMs = Number.NEGATIVE_INFINITY;
  private _renewAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: LeaseHolderStructure) {}

  /**
   * The fencing token to act under, or undefined where the lease may have lapsed. To be asked again after every await
   * and just before each order: this process may have stood still meanwhile.
   */
  getToken(): number | undefined {
    if (utils.monotonicMs() < this._usableUntilMs) return this._fencingToken;
    if (this._fencingToken !== undefined) this._lapse();
    return undefined;
  }

  /** Takes or renews the lease where that is due. Tells whether it may be acted upon. */
  async acquireOrRenew(): Promise<boolean> {
    if (utils.monotonicMs() < this._renewAtMs) return this.getToken() !== undefined;
    const { projection: fold, lease, durationMs, log, follower, timeline } = this._structure;
    const startMs = utils.monotonicMs();
    const held = fold.getLease(lease);
    if (held !== undefined && held.holderId !== this._holderId && held.lapsesAtMs > utils.wallMs())
      return false;
    const appended = await log.append(leasesStream, utils.newId(), this._createRecord("take"));
    if (appended.err) return this.getToken() !== undefined;
    await utils
      .withDeadline(follower.waitFor(appended.val.offset), durationMs, "A lease")
      .catch(() => undefined);
    const now = fold.getLease(lease);
    if (now?.holderId !== this._holderId || now.fencingToken !== appended.val.offset) return false;
    if (this._fencingToken === undefined)
      timeline.add("lease-taken", { subject: lease, detail: `token ${now.fencingToken}` });
    this._fencingToken = now.fencingToken;
    this._usableUntilMs = startMs + durationMs * usablePart;
    this._renewAtMs = startMs + durationMs * renewPart;
    return this.getToken() !== undefined;
  }

  /** Gives the lease back, so that the next holder need not wait. */
  async release(): Promise<void> {
    if (this._fencingToken === undefined) return;
    this._lapse();
    await this._structure.log.append(leasesStream, utils.newId(), this._createRecord("release"));
  }

  private _lapse(): void {
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
