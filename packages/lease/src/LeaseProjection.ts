/** Projection of the leases stream. Leases expire by the timestamps of the log, so that all instances agree on the holder. */
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import * as zod from "zod";

/** Name of the log stream with the lease records. */
export const leasesStream = "leases";
export const leaseRecordVersion = 1;

export const leaseRecordSchema = zod.object({
  version: zod.literal(leaseRecordVersion),
  type: zod.enum(["take", "release"]),
  lease: zod.string(),
  holder: zod.string(),
  /** Id of the holder's process, so that a replacement instance with the same name is a different holder. */
  holderId: zod.string(),
  durationMs: zod.number().positive(),
});

export type LeaseRecord = zod.infer<typeof leaseRecordSchema>;

/** Current state of a lease. */
export interface LeaseState {
  readonly holder: string;
  readonly holderId: string;
  /** The fencing token: offset of the record that granted or last renewed the lease. */
  readonly fencingToken: number;
  /** Time by the clock of the log (`LogRecord.atMs`) at which the lease expires. */
  readonly expiresAtMs: number;
}

/** Derives the current leases from the records of the stream. */
export class LeaseProjection implements LogSink {
  unknownRecords = 0;
  private readonly _leases = new Map<string, LeaseState>();

  acceptRecord(record: LogRecord): void {
    const parsed = leaseRecordSchema.safeParse(record.payload);
    if (!parsed.success) {
      this.unknownRecords += 1;
      return;
    }
    const current = this._leases.get(parsed.data.lease);
    if (parsed.data.type === "release") this._release(parsed.data, current);
    else this._grant(record, parsed.data, current);
  }

  /** Clears all leases: those of removed records have expired, since no lease lasts nearly as long as the log retains records. */
  skipTo(): void {
    this._leases.clear();
  }

  getLease(lease: string): LeaseState | undefined {
    return this._leases.get(lease);
  }

  private _grant(record: LogRecord, request: LeaseRecord, current: LeaseState | undefined): void {
    const isAvailable =
      current === undefined || current.holderId === request.holderId || current.expiresAtMs <= record.atMs;
    if (!isAvailable) return;
    this._leases.set(request.lease, {
      holder: request.holder,
      holderId: request.holderId,
      fencingToken: record.offset,
      expiresAtMs: record.atMs + request.durationMs,
    });
  }

  private _release(release: LeaseRecord, current: LeaseState | undefined): void {
    if (current?.holderId === release.holderId) this._leases.delete(release.lease);
  }
}
