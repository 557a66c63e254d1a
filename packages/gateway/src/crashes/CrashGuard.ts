import type { EndpointTable } from "../discovery/EndpointTable.js";
import { notePeerMessageInvalid } from "../peers/notePeerMessageInvalid.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  CrashExchange,
  getTrialRank,
  nothingTold,
  type CrashExchangeStructure,
  type QuarantineMessage,
} from "@shedtiller/crashes";
import { CrashWatch, type CrashWatchStructure } from "./CrashWatch.js";
import type { HeldRequestStore } from "./HeldRequestStore.js";
import { QuarantineReconciler } from "./QuarantineReconciler.js";

/** Dependencies of {@link CrashQuarantine}. */
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
  /** Returns the names of all known instances, including this one, whether or not they can be reached. */
  readonly getInstanceNames: () => readonly string[];
}

/**
 * Connects the parts that quarantine requests which crash endpoints: detection, reports to the peers, and the store in which quarantines
 * outlast a restart of all instances. One per instance.
 */
export class CrashGuard {
  readonly watch: CrashWatch;
  private readonly _exchange: CrashExchange;
  private readonly _reconciler: QuarantineReconciler;

  constructor(private readonly _structure: CrashGuardStructure) {
    const { membership, log, store, isReader } = _structure;
    this.watch = new CrashWatch({
      ..._structure,
      tell: (added) => this._exchange.tell(added),
      getTrialRank: (digest) => getTrialRank(digest, membership.self.name, _structure.getInstanceNames()),
      keep: (digest, quarantine) => this._reconciler.persist(digest, quarantine),
    });
    this._exchange = new CrashExchange({
      membership,
      onInvalid: (topic, from) => notePeerMessageInvalid(log, topic, from),
      take: (reports) => this.watch.take(reports),
      tellAll: () => this.watch.ledger.tellAll(),
    });
    this._reconciler = new QuarantineReconciler({
      store,
      log,
      isReader,
      merge: (holds) => this._mergeStored(holds),
      getQuarantinedFor: (durationMs) => this.watch.ledger.getQuarantinedFor(durationMs),
      release: (digest) => this.watch.release(digest),
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this._reconciler.run(signal);
  }

  /** Releases requests whose quarantine an operator has removed from the store; resolves once the store was read or could not be read. */
  compareWithStore(): Promise<void> {
    return this._reconciler.reconcile();
  }

  private _mergeStored(holds: readonly QuarantineMessage[]): void {
    const added = this.watch.take({ ...nothingTold, holds: [...holds] });
    if (added.holds.length > 0) this._exchange.tell(added);
  }
}
