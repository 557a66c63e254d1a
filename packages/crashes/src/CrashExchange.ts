import { NewsExchange, type NewsExchangeStructure } from "@shedtiller/membership";
import { hasCrashReports, crashReportsMessageSchema, type CrashReportsMessage } from "./crashMessages.js";

const crashTopic = "crashes";

/** Dependencies of {@link CrashReportBroadcast}. */
export interface CrashExchangeStructure extends Pick<
  NewsExchangeStructure<CrashReportsMessage>,
  "membership" | "onInvalid" | "random"
> {
  /** Merges crash reports from a peer, and returns the parts that were new. */
  readonly take: (reports: CrashReportsMessage) => CrashReportsMessage;
  /** Returns all crash reports that this instance has. */
  readonly tellAll: () => CrashReportsMessage;
}

/** Exchanges crash reports with the other instances; one per instance. */
export class CrashExchange {
  private readonly _broadcast: NewsExchange<CrashReportsMessage>;

  constructor(structure: CrashExchangeStructure) {
    this._broadcast = new NewsExchange({
      ...structure,
      topic: crashTopic,
      schema: crashReportsMessageSchema,
      take: (reports) => toUndefinedIfEmpty(structure.take(reports)),
      tellAll: () => toUndefinedIfEmpty(structure.tellAll()),
    });
  }

  /** Broadcasts crash reports of this instance. */
  tell(reports: CrashReportsMessage): void {
    this._broadcast.tell(reports);
  }
}

function toUndefinedIfEmpty(reports: CrashReportsMessage): CrashReportsMessage | undefined {
  return hasCrashReports(reports) ? reports : undefined;
}
