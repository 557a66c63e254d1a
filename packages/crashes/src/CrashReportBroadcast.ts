import { PeerBroadcast, type PeerBroadcastStructure } from "@shedtiller/membership";
import { hasCrashReports, crashReportsMessageSchema, type CrashReportsMessage } from "./crashMessages.js";

const crashTopic = "crashes";

/** Dependencies of {@link CrashReportBroadcast}. */
export interface CrashReportBroadcastStructure extends Pick<
  PeerBroadcastStructure<CrashReportsMessage>,
  "membership" | "onInvalid" | "random"
> {
  /** Merges crash reports from a peer, and returns the parts that were new. */
  readonly applyUpdate: (reports: CrashReportsMessage) => CrashReportsMessage;
  /** Returns all crash reports that this instance has. */
  readonly getFullState: () => CrashReportsMessage;
}

/** Exchanges crash reports with the other instances. Each instance has one such broadcast. */
export class CrashReportBroadcast {
  private readonly _broadcast: PeerBroadcast<CrashReportsMessage>;

  constructor(structure: CrashReportBroadcastStructure) {
    this._broadcast = new PeerBroadcast({
      ...structure,
      topic: crashTopic,
      schema: crashReportsMessageSchema,
      applyUpdate: (reports) => toUndefinedIfEmpty(structure.applyUpdate(reports)),
      getFullState: () => toUndefinedIfEmpty(structure.getFullState()),
    });
  }

  /** Broadcasts crash reports of this instance. */
  broadcast(reports: CrashReportsMessage): void {
    this._broadcast.broadcast(reports);
  }
}

function toUndefinedIfEmpty(reports: CrashReportsMessage): CrashReportsMessage | undefined {
  return hasCrashReports(reports) ? reports : undefined;
}
