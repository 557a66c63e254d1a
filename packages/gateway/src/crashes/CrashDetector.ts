/**
 * Finds the requests that crash endpoints, and holds them back. A run that loses its connection before it has shown that it outlives its
 * beginning makes its request a suspect, if the endpoint turns out to have crashed.
 */
import { utils } from "@shedtiller/common";
import {
  CompletedRequests,
  CrashLedger,
  heldFromWeight,
  trialElsewhereRetryAfterMs,
  noCrashReports,
  type ToldCrashes,
  type ToldHold,
  type RequestIdentity,
  type ProbeResult,
} from "@shedtiller/crashes";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** A run that goes on for this long after its first event has outlived its beginning. */
export const beginningMs = 250;
/** A run that the endpoint had not shown to have begun says half as much: it may have waited there. */
const unbegunWeight = 0.5;
/** An endpoint on a live machine refuses or takes a connection within milliseconds. */
const probeTimeoutMs = 300;
/** Without an answer to the probe the endpoint's entry or its next start tells, within three heartbeats and a read. */
const undecidedMs = 6_000;
/** While another run of a suspect is at its beginning here, the next one waits for what becomes of it, this long at most. */
const longestTurnMs = 600;
/** Runs that are lost together are often sent on together, so that two crashes may still be chance; a third one should not cost a zone its service. */
const highRiskWeight = 2;
const turnPollMs = 10;

/** One run of a request, as long as it is in hand. */
export interface TrackedRun {
  readonly request: { readonly digest: string };
  /** The endpoint that it was sent to. */
  readonly endpointId: string;
  /** Whether the endpoint showed that it runs it. */
  readonly hasBegun: boolean;
  /** Monotonic time of its first event; undefined before it. */
  readonly firstEventAtMs: number | undefined;
}

/** How likely a request is to crash the engine that it begins at. */
export type CrashRisk = "none" | "some" | "high";

/** What the watch works with. */
export interface CrashWatchStructure {
  readonly endpoints: Pick<EndpointTable, "get" | "onChanged">;
  readonly log: DecisionLog;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  /** Tells the peers. */
  readonly broadcast: (news: ToldCrashes) => void;
  /** How many other instances may try a request before this one after its hold. */
  readonly getTrialRank: (digest: string) => number;
  readonly count?: (what: "crash" | "held-back") => void;
  /** Told of each endpoint that turned out to have crashed. */
  readonly onCrash?: ((endpoint: Endpoint) => void) | undefined;
  /** Keeps a hold beyond the end of all instances; undefined drops it. */
  readonly persist?: (digest: string, hold: ToldHold | undefined) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

interface AskedRequest {
  readonly digest: string;
  readonly identity: RequestIdentity;
}

/** A run that ended well, until its endpoint has outlived it. */
interface EndedRun {
  readonly kind: string;
  readonly request: AskedRequest;
  readonly endpoint: Endpoint;
  readonly endedAtMs: number;
}

/** An endpoint that cut connections, until it is known whether it crashed. */
interface OpenCase {
  readonly endpoint: Endpoint;
  readonly lifeId: string;
  readonly atMs: number;
  readonly suspects: Map<string, number>;
  readonly decided: Promise<void>;
}

/** One watch an instance. */
export class CrashDetector {
  readonly ledger: CrashLedger;
  private readonly _runs = new Set<TrackedRun>();
  private readonly _open = new Map<string, OpenCase>();
  /** Lives of endpoints whose crash this instance found. */
  private readonly _foundHere = new Set<string>();
  private readonly _ended = new Set<EndedRun>();
  private readonly _completed = new CompletedRequests();
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;

  constructor(private readonly _structure: CrashWatchStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._pause = _structure.pause ?? utils.sleep;
    this.ledger = new CrashLedger(this._nowMs);
    this.ledger.onQuarantineChanged((digest, hold) => this._noteHold(digest, hold));
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "gone" || event === "restarted") this._endLife(endpoint);
    });
  }

  /** Whether no request need be looked up. */
  get isQuiet(): boolean {
    return this.ledger.isEmpty && this._open.size === 0;
  }

  /** Notes that a run is sent now. */
  begin(run: TrackedRun): void {
    this._runs.add(run);
    if (this.isQuiet || this.ledger.getStanding(run.request.digest) !== "due-for-trial") return;
    const trial = this.ledger.noteTrial({ digest: run.request.digest, ageMs: 0 });
    if (trial !== undefined) this._structure.broadcast({ ...noCrashReports, trials: [trial] });
  }

  /** Notes that a run is over. */
  end(run: TrackedRun): void {
    this._runs.delete(run);
  }

  /** Lets a request go by an operator's word, here and at all peers. */
  release(digest: string): void {
    const cleared = this.ledger.release(digest);
    if (cleared !== undefined) this._structure.broadcast({ ...noCrashReports, clearings: [cleared] });
  }

  /**
   * Notes that an endpoint ran a request to a good end. It says something of the request once the endpoint has outlived it for as long as
   * a beginning lasts: a short run, or one that went on near the end of its stream, may end before its endpoint crashes.
   */
  noteCompleted(kind: string, request: AskedRequest, run: TrackedRun, endpoint: Endpoint): void {
    const ended: EndedRun = { kind, request, endpoint, endedAtMs: this._nowMs() };
    if (this._hasOutlived(run)) return this._noteSoundEnd(ended);
    this._ended.add(ended);
    void this._pause(beginningMs).then(() => this._settle(ended));
  }

  /** Notes that a run of a request outlived its beginning. */
  noteSurvived(request: { readonly digest: string }): void {
    if (this.isQuiet) return;
    const { digest } = request;
    for (const open of this._open.values()) open.suspects.delete(digest);
    const wasHeld = this.ledger.getHoldTimes(digest) > 0;
    const cleared = this.ledger.noteSurvived(digest, this._nowMs());
    if (cleared === undefined) return;
    this._structure.broadcast({ ...noCrashReports, clearings: [cleared] });
    if (wasHeld) this._structure.persist?.(digest, undefined);
  }

  /**
   * Notes that the endpoint ended the connection of a run; resolves once it is known whether it crashed.
   * @param endpoint - The one that ended, which may be another one of the chain than the first.
   */
  async noteLost(run: TrackedRun, endpoint: Endpoint): Promise<void> {
    if (this._hasOutlived(run)) return this.noteSurvived(run.request);
    // An endpoint that leaves as planned ends what it still has.
    const listed = this._structure.endpoints.get(endpoint.id);
    if (listed === undefined || endpoint.listed.isDraining) return;
    const open = this._open.get(endpoint.lifeId) ?? this._openCase(endpoint);
    const { digest } = run.request;
    const weight = run.hasBegun ? 1 : unbegunWeight;
    open.suspects.set(digest, Math.max(weight, open.suspects.get(digest) ?? 0));
    if (listed !== endpoint) return this._close(open, true);
    await open.decided;
  }

  /**
   * Whether a request is held back now: the look right before each sending.
   * @returns The time after which it may come back, or undefined where it may be sent.
   */
  getQuarantineMs(request: { readonly digest: string }): number | undefined {
    if (this.isQuiet) return undefined;
    const { digest } = request;
    const standing = this.ledger.getStanding(digest);
    if (standing === "held") return this._noteHeldBack(this.ledger.getQuarantineLeftMs(digest));
    if (standing !== "due-for-trial" || this._isOurTurn(digest)) return undefined;
    return this._noteHeldBack(trialElsewhereRetryAfterMs);
  }

  /** What there is against a request right before it is sent. */
  getRisk(request: { readonly digest: string }): CrashRisk {
    if (this.isQuiet) return "none";
    const weight = this._getWeight(request.digest);
    if (weight >= highRiskWeight || this.ledger.getStanding(request.digest) === "due-for-trial")
      return "high";
    return weight > 0 ? "some" : "none";
  }

  /** Waits until a request may be judged: a suspect has one run at its beginning at a time here. */
  async waitForTurn(request: { readonly digest: string }): Promise<void> {
    if (this.isQuiet) return;
    const { digest } = request;
    const untilMs = this._nowMs() + longestTurnMs;
    while (this._mustWait(digest) && this._nowMs() < untilMs) await this._pause(turnPollMs);
  }

  /** Endpoints at which other suspects are at their beginning: two that crash together can't be told apart. */
  getAvoidedEndpointIds(request: { readonly digest: string }): string[] {
    if (this.isQuiet || this._getWeight(request.digest) === 0) return [];
    return [...this._runs].flatMap((run) => {
      const isOther = run.request.digest !== request.digest && !this._hasOutlived(run);
      return isOther && this._getWeight(run.request.digest) > 0 ? [run.endpointId] : [];
    });
  }

  /** Takes what a peer told; gives what of it was news. */
  take(told: ToldCrashes): ToldCrashes {
    this._noteSound(told.crashes.flatMap(({ suspects }) => suspects.map(([digest]) => digest)));
    const news = this.ledger.mergeReports(told);
    for (const { lifeId } of told.crashes) this._countEnded(lifeId);
    for (const { suspects } of news.crashes) this._clearByOwnRuns(suspects.map(([digest]) => digest));
    return news;
  }

  private _mustWait(digest: string): boolean {
    const weight = this._getWeight(digest);
    if (weight === 0) return false;
    return this._isAtBeginning(digest) || (weight >= heldFromWeight && this._isOpen(digest));
  }

  /** Whether it is not decided yet that an endpoint crashed which the request was at; it may be the one that counts. */
  private _isOpen(digest: string): boolean {
    return [...this._open.values()].some((open) => open.suspects.has(digest));
  }

  private _isAtBeginning(digest: string): boolean {
    for (const { request } of this._ended) if (request.digest === digest) return true;
    for (const run of this._runs) {
      if (run.request.digest === digest && !this._hasOutlived(run)) return true;
    }
    return false;
  }

  /** What speaks against a request, with what is not decided yet. */
  private _getWeight(digest: string): number {
    let weight = this.ledger.getWeight(digest);
    for (const open of this._open.values()) weight += open.suspects.get(digest) ?? 0;
    return weight;
  }

  private _hasOutlived({ firstEventAtMs }: TrackedRun): boolean {
    return firstEventAtMs !== undefined && this._nowMs() - firstEventAtMs >= beginningMs;
  }

  private _openCase(endpoint: Endpoint): OpenCase {
    const { lifeId } = endpoint;
    const probed = this._structure.probe(endpoint.listed.address, probeTimeoutMs);
    const open: OpenCase = {
      endpoint,
      lifeId,
      atMs: this._nowMs(),
      suspects: new Map(),
      decided: probed.then((result) => this._decide(open, result)),
    };
    this._open.set(lifeId, open);
    return open;
  }

  private _decide(open: OpenCase, result: ProbeResult): void {
    const isCrashed = result === "refused" || this.ledger.hasCrash(open.lifeId);
    if (isCrashed) return this._close(open, true);
    if (result === "open") return this._close(open, false);
    void this._pause(undecidedMs).then(() => this._close(open, false));
  }

  /** The entry of an endpoint that has crashed goes, or another start of its process shows. */
  private _endLife(endpoint: Endpoint): void {
    const open = this._open.get(endpoint.lifeId);
    if (open !== undefined && !endpoint.listed.isDraining) this._close(open, true);
  }

  private async _settle(ended: EndedRun): Promise<void> {
    const { endpoint, request } = ended;
    const { lifeId } = endpoint;
    let open = this._open.get(lifeId);
    // Of a suspect it is asked whether its endpoint lives, since nobody else may have had a run there.
    if (open === undefined && this._getWeight(request.digest) > 0) open = this._openCase(endpoint);
    await open?.decided;
    this._ended.delete(ended);
    if (!this.ledger.hasCrash(lifeId)) this._noteSoundEnd(ended);
  }

  private _noteSoundEnd({ kind, request, endedAtMs }: EndedRun): void {
    this._completed.add(kind, request.identity, endedAtMs);
    this.noteSurvived(request);
  }

  /** Requests whose runs ended well at an endpoint just before it crashed. */
  private _getEndedAt(lifeId: string): string[] {
    const ended = [...this._ended].filter(({ endpoint }) => endpoint.lifeId === lifeId);
    return ended.map(({ request }) => request.digest);
  }

  /** Counts runs that had ended well here at an endpoint whose crash a peer found. */
  private _countEnded(lifeId: string): void {
    const suspects = new Map(this._getEndedAt(lifeId).map((digest) => [digest, 1]));
    if (suspects.size === 0) return;
    const crash = this.ledger.noteCrash(lifeId, this._nowMs(), suspects);
    if (crash !== undefined) this._structure.broadcast({ ...noCrashReports, crashes: [crash] });
  }

  private _close(open: OpenCase, isCrashed: boolean): void {
    if (this._open.get(open.lifeId) !== open) return;
    this._open.delete(open.lifeId);
    for (const digest of this._getEndedAt(open.lifeId)) open.suspects.set(digest, 1);
    if (isCrashed) this._structure.onCrash?.(open.endpoint);
    if (!isCrashed || open.suspects.size === 0) return;
    const { endpoint, lifeId, suspects } = open;
    for (const found of this._foundHere) if (!this.ledger.hasCrash(found)) this._foundHere.delete(found);
    this._foundHere.add(lifeId);
    this._noteSound([...suspects.keys()]);
    const crash = this.ledger.noteCrash(lifeId, open.atMs, suspects);
    if (crash === undefined) return;
    this._structure.count?.("crash");
    for (const [digest, weight] of suspects) {
      this._structure.log.warn("crash-counted", {
        digest,
        endpointId: endpoint.id,
        address: endpoint.listed.address,
        weight,
        against: this.ledger.getWeight(digest),
      });
    }
    this._structure.broadcast({ ...noCrashReports, crashes: [crash] });
    this._clearByOwnRuns([...suspects.keys()]);
  }

  private _noteHold(digest: string, hold: ToldHold | undefined): void {
    const { log, persist: keep } = this._structure;
    if (hold === undefined) return log.info("request-released", { digest });
    log.warn("request-held", { digest, times: hold.times, leftMs: Math.round(hold.leftMs) });
    // One of all instances keeps it: the one that found the crash that came last.
    const newest = this.ledger.getNewestCrash(digest);
    if (newest !== undefined && this._foundHere.has(newest)) keep?.(digest, hold);
  }

  /** An equal request that runs here and has outlived its beginning clears the suspects. */
  private _clearByOwnRuns(digests: readonly string[]): void {
    for (const run of this._runs) {
      if (this._hasOutlived(run) && digests.includes(run.request.digest)) this.noteSurvived(run.request);
    }
  }

  /** Suspects that are equal to requests that ended well here are told to be sound, before they are counted. */
  private _noteSound(digests: readonly string[]): void {
    if (digests.length === 0) return;
    const found = this._completed.find(new Set(digests));
    const clearings = [...found].flatMap(([digest, atMs]) => this.ledger.noteSound(digest, atMs) ?? []);
    if (clearings.length > 0) this._structure.broadcast({ ...noCrashReports, clearings });
  }

  private _isOurTurn(digest: string): boolean {
    return !this._isAtBeginning(digest) && this.ledger.mayTry(digest, this._structure.getTrialRank(digest));
  }

  private _noteHeldBack(leftMs: number): number {
    this._structure.count?.("held-back");
    return leftMs;
  }
}
