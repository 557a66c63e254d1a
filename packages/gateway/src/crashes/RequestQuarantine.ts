import type { EndpointTable } from "../discovery/EndpointTable.js";
import { logInvalidPeerMessage } from "../peers/logInvalidPeerMessage.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  CrashReportBroadcast,
  getTrialRank,
  noCrashReports,
  type CrashReportBroadcastStructure,
  type QuarantineMessage,
} from "@shedtiller/crashes";
import { CrashDetector, type CrashDetectorStructure } from "./CrashDetector.js";
import type { QuarantineStore } from "./QuarantineStore.js";
import { QuarantineReconciler } from "./QuarantineReconciler.js";

/** Dependencies of {@link RequestQuarantine}. */
export interface RequestQuarantineStructure extends Pick<
  CrashDetectorStructure,
  "probe" | "count" | "onCrash" | "nowMs" | "pause"
> {
  readonly membership: CrashReportBroadcastStructure["membership"];
  readonly clocks?: CrashReportBroadcastStructure["clocks"];
  readonly endpoints: EndpointTable;
  readonly store: QuarantineStore;
  readonly log: DecisionLog;
  /** Whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  /** Returns the names of all known instances, including this one, whether or not they can be reached. */
  readonly getInstanceNames: () => readonly string[];
}

/**
 * Connects the parts that quarantine requests which crash endpoints: detection, reports to the peers, and the store in which quarantines
 * outlast a restart of all instances. Each instance has one such quarantine.
 */
export class RequestQuarantine {
  readonly detector: CrashDetector;
  private readonly _broadcast: CrashReportBroadcast;
  private readonly _reconciler: QuarantineReconciler;

  constructor(private readonly _structure: RequestQuarantineStructure) {
    const { membership, clocks, log, store, isReader } = _structure;
    this.detector = new CrashDetector({
      ..._structure,
      broadcast: (added) => this._broadcast.broadcast(added),
      getTrialRank: (trait) => getTrialRank(trait, membership.self.name, _structure.getInstanceNames()),
      persist: (trait, quarantine) => this._reconciler.persist(trait, quarantine),
    });
    this._broadcast = new CrashReportBroadcast({
      membership,
      clocks,
      onInvalid: (topic, from) => logInvalidPeerMessage(log, topic, from),
      applyUpdate: (reports) => this.detector.mergeReports(reports),
      getFullState: () => this.detector.ledger.getAllReports(),
    });
    this._reconciler = new QuarantineReconciler({
      store,
      log,
      isReader,
      merge: (quarantines) => this._mergeStored(quarantines),
      getQuarantinedFor: (durationMs) => this.detector.ledger.getQuarantinedFor(durationMs),
      release: (trait) => this.detector.release(trait),
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this._reconciler.run(signal);
  }

  /** Releases requests whose quarantine an operator has removed from the store; resolves once the store was read or could not be read. */
  reconcileWithStore(): Promise<void> {
    return this._reconciler.reconcile();
  }

  private _mergeStored(quarantines: readonly QuarantineMessage[]): void {
    const added = this.detector.mergeReports({ ...noCrashReports, holds: [...quarantines] });
    if (added.holds.length > 0) this._broadcast.broadcast(added);
  }
}
