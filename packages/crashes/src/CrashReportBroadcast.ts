import { PeerBroadcast, type MessageClocks, type PeerBroadcastStructure } from "@shedtiller/membership";
import {
  addDelay,
  crashReportsMessageSchema,
  hasCrashReports,
  type CrashReportsMessage,
} from "./crashMessages.js";

const crashTopic = "crashes";

/** Dependencies of {@link CrashReportBroadcast}. */
export interface CrashReportBroadcastStructure extends Pick<
  PeerBroadcastStructure<CrashReportsMessage>,
  "membership" | "onInvalid" | "random"
> {
  /** Dates the reports of peers; undefined if links hold up no messages. */
  readonly clocks?: MessageClocks | undefined;
  /** Merges crash reports from a peer, and returns the parts that were new. */
  readonly applyUpdate: (reports: CrashReportsMessage) => CrashReportsMessage;
  /** Returns all crash reports that this instance has. */
  readonly getFullState: () => CrashReportsMessage;
}

/** Exchanges crash reports with the other instances. Each instance has one such broadcast. */
export class CrashReportBroadcast {
  private readonly _broadcast: PeerBroadcast<CrashReportsMessage>;

  constructor(private readonly _structure: CrashReportBroadcastStructure) {
    const { clocks, applyUpdate, getFullState } = _structure;
    this._broadcast = new PeerBroadcast({
      ..._structure,
      topic: crashTopic,
      schema: crashReportsMessageSchema,
      applyUpdate: (reports, from) =>
        this._toMessage(applyUpdate(addDelay(reports, clocks?.getDelayMs(from.name, reports.sent) ?? 0))),
      getFullState: () => this._toMessage(getFullState()),
    });
  }

  /** Broadcasts crash reports of this instance. */
  broadcast(reports: CrashReportsMessage): void {
    const message = this._toMessage(reports);
    if (message !== undefined) this._broadcast.broadcast(message);
  }

  /** Returns reports with the time of their send, or undefined if there are none. */
  private _toMessage(reports: CrashReportsMessage): CrashReportsMessage | undefined {
    return hasCrashReports(reports) ? { ...reports, sent: this._structure.clocks?.read() } : undefined;
  }
}
