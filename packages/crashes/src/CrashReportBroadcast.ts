/** What instances tell each other of crashes. */
import { PeerBroadcast, type PeerBroadcastStructure } from "@shedtiller/membership";
import { isAnythingTold, toldCrashesSchema, type ToldCrashes } from "./crashMessages.js";

const crashTopic = "crashes";

/** What an exchange works with. */
export interface CrashReportBroadcastStructure extends Pick<
  PeerBroadcastStructure<ToldCrashes>,
  "membership" | "onInvalid" | "random"
> {
  /** Takes what a peer told; gives what of it was news. */
  readonly take: (told: ToldCrashes) => ToldCrashes;
  /** All that is known here. */
  readonly tellAll: () => ToldCrashes;
}

/** One exchange an instance. */
export class CrashReportBroadcast {
  private readonly _news: PeerBroadcast<ToldCrashes>;

  constructor(structure: CrashReportBroadcastStructure) {
    this._news = new PeerBroadcast({
      ...structure,
      topic: crashTopic,
      schema: toldCrashesSchema,
      applyUpdate: (told) => getAnything(structure.take(told)),
      getFullState: () => getAnything(structure.tellAll()),
    });
  }

  /** Tells what was found here. */
  broadcast(news: ToldCrashes): void {
    this._news.broadcast(news);
  }
}

function getAnything(told: ToldCrashes): ToldCrashes | undefined {
  return isAnythingTold(told) ? told : undefined;
}
