/** Quarantine of requests that crash engines, shared with all instances. The crash ledger evaluates the evidence. */
import { utils } from "@shedtiller/common";
import {
  CrashReportBroadcast,
  CrashLedger,
  getTrialRank,
  noCrashReports,
  sameEventMs,
  SurvivedTraits,
  trialElsewhereRetryAfterMs,
  type CrashReportBroadcastStructure,
  type ProbeResult,
  type RequestTraits,
} from "@shedtiller/crashes";
import { CrashQuarantine, type LostEngine } from "@shedtiller/pipeline";

const probeTimeoutMs = 300;
/**
 * Losses of the same engine within this time count as one crash. The engine's name doesn't distinguish two crashes, since a
 * restarted engine is listed under the same name.
 */
const crashWindowMs = 2_000;

/** Dependencies of {@link PeerCrashQuarantine}. */
export interface PeerCrashQuarantineStructure {
  readonly membership: CrashReportBroadcastStructure["membership"];
  readonly getInstanceNames: () => readonly string[];
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  readonly warn: (message: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/** Quarantines requests that crash engines, based on the crash reports of this instance and its peers. */
export class PeerCrashQuarantine extends CrashQuarantine {
  readonly ledger: CrashLedger;
  private readonly _reportBroadcast: CrashReportBroadcast;
  private readonly _survived = new SurvivedTraits();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: PeerCrashQuarantineStructure) {
    super();
    const { membership, warn } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this.ledger = new CrashLedger(this._nowMs);
    this.ledger.onQuarantineChanged((trait, quarantine) =>
      warn(
        `Requests with the trait ${trait} are ${quarantine === undefined ? "released from quarantine" : `quarantined for ${Math.round(quarantine.leftMs)} ms`}.`,
      ),
    );
    this._reportBroadcast = new CrashReportBroadcast({
      membership,
      onInvalid: (topic, from) =>
        warn(`Ignored a message from ${from.name} on ${topic} that does not match its schema.`),
      applyUpdate: (reports) => this.ledger.mergeReports(reports),
      getFullState: () => this.ledger.getAllReports(),
    });
  }

  override getQuarantineMs(traits: RequestTraits): number | undefined {
    if (this.ledger.isEmpty) return undefined;
    const quarantined = this.ledger.getQuarantined(traits);
    if (quarantined.length === 0) return undefined;
    const leftMs = this.ledger.getDueAtMs(quarantined) - this._nowMs();
    if (leftMs > 0) return leftMs;
    if (!this._mayRunTrial(quarantined)) return trialElsewhereRetryAfterMs;
    const trials = this.ledger.startTrial(quarantined);
    if (trials.length > 0) this._reportBroadcast.broadcast({ ...noCrashReports, trials });
    return undefined;
  }

  /**
   * Records a crash of the lost engine if it refuses connections while its machine is live. An engine that accepts them has
   * only closed its connection. Crashes that follow at once would count as one, so the run waits before it goes on.
   */
  override async noteLost(traits: RequestTraits, { name, address }: LostEngine): Promise<void> {
    if ((await this._structure.probe(address, probeTimeoutMs)) !== "refused") return;
    const atMs = this._nowMs();
    for (const trait of traits) {
      const survivedAtMs = this._survived.get(trait);
      if (survivedAtMs !== undefined) this.ledger.noteHarmless(trait, survivedAtMs);
    }
    const suspects = new Map(traits.map((trait) => [trait, 1]));
    const crashes = this.ledger.noteCrash(this._getCrashId(name), atMs, suspects);
    if (crashes.length === 0) return;
    this._structure.warn(`The engine ${name} crashed at the beginning of request ${traits[0] ?? ""}.`);
    this._reportBroadcast.broadcast({ ...noCrashReports, crashes });
    await (this._structure.pause ?? utils.sleep)(sameEventMs);
  }

  override noteSurvived(traits: RequestTraits): void {
    this._survived.add(traits, this._nowMs());
    if (this.ledger.isEmpty) return;
    const clearings = traits.flatMap((trait) => this.ledger.noteSurvived(trait, this._nowMs()) ?? []);
    if (clearings.length > 0) this._reportBroadcast.broadcast({ ...noCrashReports, clearings });
  }

  private _mayRunTrial(quarantined: RequestTraits): boolean {
    const { membership, getInstanceNames } = this._structure;
    const rank = getTrialRank(quarantined[0] ?? "", membership.self.name, getInstanceNames());
    return this.ledger.mayTry(quarantined, rank);
  }

  /** Returns the id of the crash of this engine in the previous window if there was one, else that of the current window. */
  private _getCrashId(engine: string): string {
    const window = Math.floor(utils.wallMs() / crashWindowMs);
    const previousId = `${engine}@${window - 1}`;
    return this.ledger.hasCrash(previousId) ? previousId : `${engine}@${window}`;
  }
}
