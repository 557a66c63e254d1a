/** Holds back requests that crash engines, at all instances; what counts is decided by the ledger. */
import { utils } from "@shedtiller/common";
import {
  CrashReportBroadcast,
  CrashLedger,
  getTrialRank,
  noCrashReports,
  trialElsewhereRetryAfterMs,
  type CrashReportBroadcastStructure,
  type ProbeResult,
} from "@shedtiller/crashes";
import { CrashQuarantine, type LostEngine } from "@shedtiller/pipeline";

const probeTimeoutMs = 300;
/** Two words of one engine within this are of one crash: engines are listed under one name through all their lives. */
const oneCrashMs = 2_000;
/** What the guard works with. */
export interface PeerCrashQuarantineStructure {
  readonly membership: CrashReportBroadcastStructure["membership"];
  readonly getInstanceNames: () => readonly string[];
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  readonly warn: (message: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** One guard an instance. */
export class PeerCrashQuarantine extends CrashQuarantine {
  readonly ledger: CrashLedger;
  private readonly _exchange: CrashReportBroadcast;
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: PeerCrashQuarantineStructure) {
    super();
    const { membership, warn } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this.ledger = new CrashLedger(this._nowMs);
    this.ledger.onQuarantineChanged((digest, hold) =>
      warn(
        `Request ${digest} is ${hold === undefined ? "let go" : `held back for ${Math.round(hold.leftMs)} ms`}.`,
      ),
    );
    this._exchange = new CrashReportBroadcast({
      membership,
      onInvalid: (topic, from) => warn(`A message of ${from.name} on ${topic} is not in its form.`),
      take: (told) => this.ledger.mergeReports(told),
      tellAll: () => this.ledger.getAllReports(),
    });
  }

  override getQuarantineMs(digest: string): number | undefined {
    if (this.ledger.isEmpty) return undefined;
    const standing = this.ledger.getStanding(digest);
    if (standing === "held") return this.ledger.getQuarantineLeftMs(digest);
    if (standing !== "due-for-trial") return undefined;
    if (!this._isOurTurn(digest)) return trialElsewhereRetryAfterMs;
    const trial = this.ledger.noteTrial({ digest, ageMs: 0 });
    if (trial !== undefined) this._exchange.broadcast({ ...noCrashReports, trials: [trial] });
    return undefined;
  }

  /** An engine on a live machine that refuses connections has crashed; one that takes them has only ended one. */
  override async noteLost(digest: string, { name, address }: LostEngine): Promise<void> {
    if ((await this._structure.probe(address, probeTimeoutMs)) !== "refused") return;
    const atMs = this._nowMs();
    const crash = this.ledger.noteCrash(this._getCrashName(name), atMs, new Map([[digest, 1]]));
    if (crash === undefined) return;
    this._structure.warn(`The engine ${name} crashed at the beginning of request ${digest}.`);
    this._exchange.broadcast({ ...noCrashReports, crashes: [crash] });
  }

  override noteSurvived(digest: string): void {
    if (this.ledger.isEmpty) return;
    const cleared = this.ledger.noteSurvived(digest, this._nowMs());
    if (cleared !== undefined) this._exchange.broadcast({ ...noCrashReports, clearings: [cleared] });
  }

  private _isOurTurn(digest: string): boolean {
    const { membership, getInstanceNames } = this._structure;
    return this.ledger.mayTry(digest, getTrialRank(digest, membership.self.name, getInstanceNames()));
  }

  /** The crash of this engine that is known from a moment ago, or a new one. */
  private _getCrashName(engine: string): string {
    const span = Math.floor(utils.wallMs() / oneCrashMs);
    const before = `${engine}@${span - 1}`;
    return this.ledger.hasCrash(before) ? before : `${engine}@${span}`;
  }
}
