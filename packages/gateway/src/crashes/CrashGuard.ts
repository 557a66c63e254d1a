/** Wires the parts that find requests which crash endpoints, tell the peers, and keep what must outlast all instances. */
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { notePeerMessageInvalid } from "../peers/notePeerMessageInvalid.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  CrashExchange,
  getTrialRank,
  nothingTold,
  type CrashExchangeStructure,
  type ToldHold,
} from "@shedtiller/crashes";
import { CrashWatch, type CrashWatchStructure } from "./CrashWatch.js";
import type { HeldRequestStore } from "./HeldRequestStore.js";
import { HoldKeeper } from "./HoldKeeper.js";

/** What a guard is made of. */
export interface CrashGuardStructure extends Pick<
  CrashWatchStructure,
  "probe" | "count" | "onCrash" | "nowMs" | "pause"
> {
  readonly membership: CrashExchangeStructure["membership"];
  readonly endpoints: EndpointTable;
  readonly store: HeldRequestStore;
  readonly log: DecisionLog;
  /** Whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  /** Names of all instances that are known, this one included, whether or not they are reached. */
  readonly getInstanceNames: () => readonly string[];
}

/** One guard an instance. */
export class CrashGuard {
  readonly watch: CrashWatch;
  private readonly _exchange: CrashExchange;
  private readonly _keeper: HoldKeeper;

  constructor(private readonly _structure: CrashGuardStructure) {
    const { membership, log, store, isReader } = _structure;
    this.watch = new CrashWatch({
      ..._structure,
      tell: (news) => this._exchange.tell(news),
      getTrialRank: (digest) => getTrialRank(digest, membership.self.name, _structure.getInstanceNames()),
      keep: (digest, hold) => this._keeper.keep(digest, hold),
    });
    this._exchange = new CrashExchange({
      membership,
      onInvalid: (topic, from) => notePeerMessageInvalid(log, topic, from),
      take: (told) => this.watch.take(told),
      tellAll: () => this.watch.ledger.tellAll(),
    });
    this._keeper = new HoldKeeper({
      store,
      log,
      isReader,
      take: (holds) => this._takeRead(holds),
      getHeldFor: (durationMs) => this.watch.ledger.getHeldFor(durationMs),
      release: (digest) => this.watch.release(digest),
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this._keeper.run(signal);
  }

  /** Lets go what an operator has dropped from the store; resolves once it was read, or could not be. */
  compareWithStore(): Promise<void> {
    return this._keeper.compare();
  }

  private _takeRead(holds: readonly ToldHold[]): void {
    const news = this.watch.take({ ...nothingTold, holds: [...holds] });
    if (news.holds.length > 0) this._exchange.tell(news);
  }
}
