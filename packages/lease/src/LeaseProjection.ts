/** The fold of the leases stream. A lease lapses by the log's own times, so that every instance agrees. */
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import * as zod from "zod";

/** Name of the stream. */
export const leasesStream = "leases";
export const leaseRecordVersion = 1;

export const leaseRecordSchema = zod.object({
  version: zod.literal(leaseRecordVersion),
  type: zod.enum(["take", "release"]),
  lease: zod.string(),
  holder: zod.string(),
  /** Id of the holder's process, so that a replaced instance of the same name is another holder. */
  holderId: zod.string(),
  durationMs: zod.number().positive(),
});

export type LeaseRecord = zod.infer<typeof leaseRecordSchema>;

/** A lease as it stands. */
export interface LeaseState {
  readonly holder: string;
  readonly holderId: string;
  /** Offset of the record that gave it: the fencing token. */
  readonly fencingToken: number;
  /** Log time at which it lapses. */
  readonly lapsesAtMs: number;
}

/** Folds records into leases. */
export class LeaseProjection implements LogSink {
  unknownRecords = 0;
  private readonly _leases = new Map<string, LeaseState>();

  acceptRecord(record: LogRecord): void {
    const parsed = leaseRecordSchema.safeParse(record.payload);
    if (!parsed.success) {
      this.unknownRecords += 1;
      return;
    }
    const held = this._leases.get(parsed.data.lease);
    if (parsed.data.type === "release") this._release(parsed.data, held);
    else this._take(record, parsed.data, held);
  }

  /** Leases in records that aged out have lapsed: none lasts nearly as long as records are kept. */
  skipTo(): void {
    this._leases.clear();
  }

  getLease(lease: string): LeaseState | undefined {
    return this._leases.get(lease);
  }

  private _take(record: LogRecord, take: LeaseRecord, held: LeaseState | undefined): void {
    const isFree = held === undefined || held.holderId === take.holderId || held.lapsesAtMs <= record.atMs;
    if (!isFree) return;
    this._leases.set(take.lease, {
      holder: take.holder,
      holderId: take.holderId,
      fencingToken: record.offset,
      lapsesAtMs: record.atMs + take.durationMs,
    });
  }

  private _release(release: LeaseRecord, held: LeaseState | undefined): void {
    if (held?.holderId === release.holderId) this._leases.delete(release.lease);
  }
}
