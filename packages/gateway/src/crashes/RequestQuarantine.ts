/** Wires the parts that find requests which crash endpoints, tell the peers, and keep what must outlast all instances. */
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { logInvalidPeerMessage } from "../peers/logInvalidPeerMessage.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  CrashReportBroadcast,
  getTrialRank,
  noCrashReports,
  type CrashReportBroadcastStructure,
  type ToldHold,
} from "@shedtiller/crashes";
import { CrashDetector, type CrashWatchStructure } from "./CrashDetector.js";
import type { QuarantineStore } from "./QuarantineStore.js";
import { HoldKeeper } from "./HoldKeeper.js";

/** What a guard is made of. */
export interface RequestQuarantineStructure extends Pick<
  CrashWatchStructure,
  "probe" | "count" | "onCrash" | "nowMs" | "pause"
> {
  readonly membership: CrashReportBroadcastStructure["membership"];
  readonly endpoints: EndpointTable;
  readonly store: QuarantineStore;
  readonly log: DecisionLog;
  /** Whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  /** Names of all instances that are known, this one included, whether or not they are reached. */
  readonly getInstanceNames: () => readonly string[];
}

/** One guard an instance. */
export class RequestQuarantine {
  readonly detector: CrashDetector;
  private readonly _exchange: CrashReportBroadcast;
  private readonly _keeper: HoldKeeper;

  constructor(private readonly _structure: RequestQuarantineStructure) {
    const { membership, log, store, isReader } = _structure;
    this.detector = new CrashDetector({
      ..._structure,
      broadcast: (news) => this._exchange.broadcast(news),
      getTrialRank: (digest) => getTrialRank(digest, membership.self.name, _structure.getInstanceNames()),
      persist: (digest, hold) => this._keeper.keep(digest, hold),
    });
    this._exchange = new CrashReportBroadcast({
      membership,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      take: (told) => this.detector.take(told),
      tellAll: () => this.detector.ledger.getAllReports(),
    });
    this._keeper = new HoldKeeper({
      store,
      log,
      isReader,
      take: (holds) => this._takeRead(holds),
      getHeldFor: (durationMs) => this.detector.ledger.getHeldFor(durationMs),
      release: (digest) => this.detector.release(digest),
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this._keeper.run(signal);
  }

  /** Lets go what an operator has dropped from the store; resolves once it was read, or could not be. */
  reconcileWithStore(): Promise<void> {
    return this._keeper.compare();
  }

  private _takeRead(holds: readonly ToldHold[]): void {
    const news = this.detector.take({ ...noCrashReports, holds: [...holds] });
    if (news.holds.length > 0) this._exchange.broadcast(news);
  }
}
