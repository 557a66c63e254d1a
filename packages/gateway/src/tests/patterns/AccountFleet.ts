/**
 * Simulation of the requests of client accounts at instances before a service with too little capacity, in simulated time. Urgency is a
 * stand-in that rejects a share of the requests, which rises while more than the capacity is admitted.
 */
import { utils } from "@shedtiller/common";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import { AccountRates } from "../../loadcontrol/AccountRates.js";
import { AccountShares } from "../../loadcontrol/AccountShares.js";
import { AdmissionGate, type GateQuery, type GateRefusal } from "../../loadcontrol/AdmissionGate.js";
import { ReturningCallers } from "../../loadcontrol/ReturningCallers.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { subtractFigures, sumFigures, type Figures } from "../../peers/figures.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createConfiguration } from "../testData.js";

const service = "engines";
const tickMs = 10;
const reportIntervalMs = 200;
const levelStep = 0.02;
const maxLevel = 0.9;
const maxReturns = 1;
const targetLatencyMs = 500;

/** Options of an {@link AccountFleet}. */
export interface AccountFleetOptions {
  readonly instances: number;
  /** Requests per second by account. */
  readonly accounts: Readonly<Record<string, number>>;
  readonly capacityPerSecond: number;
  readonly seed: number;
  /** Whether accounts have fair shares; otherwise urgency alone decides. */
  readonly isShared: boolean;
  /** The account whose callers come back at once. */
  readonly impatient?: string;
}

/** Counts of the requests of one account. */
export interface AccountCounts {
  requests: number;
  admitted: number;
  /** Requests that came back in time, and those of them that were rejected again. */
  returns: number;
  returnsRejected: number;
  /** Rejections of first attempts. */
  rejected: number;
}

interface Attempt {
  readonly account: string;
  readonly digest: string;
  readonly count: number;
}

interface Instance {
  readonly figures: SharedFigures;
  readonly gate: AdmissionGate;
  reported: Figures;
}

/** Rejects a share of all requests, as a stand-in for the decision by urgency. */
class UrgencyStandIn extends AdmissionGate {
  share = 0;

  constructor(private readonly _random: utils.RandomSource) {
    super();
  }

  override getRefusal(_query: GateQuery): GateRefusal | undefined {
    if (this._random.nextUnit() >= this.share) return undefined;
    return { reason: "less-urgent", retryAfterMs: targetLatencyMs, inputs: {} };
  }
}

/** Simulates the requests of all accounts. */
export class AccountFleet {
  readonly counts = new Map<string, AccountCounts>();
  /** Instances of this and higher indexes have no link to the others. */
  cutFrom = Number.POSITIVE_INFINITY;
  private _nowMs = 0;
  private _next = 0;
  private _admittedSinceReport = 0;
  private readonly _random: utils.RandomSource;
  private readonly _urgency: UrgencyStandIn;
  private readonly _waiting: { readonly atMs: number; readonly attempt: Attempt }[] = [];
  private _instances: Instance[];

  constructor(private readonly _options: AccountFleetOptions) {
    this._random = new utils.RandomSource(_options.seed);
    this._urgency = new UrgencyStandIn(this._random);
    this._instances = this._createInstances();
  }

  /** Replaces all instances by new ones, which know nothing. */
  restart(): void {
    this._instances = this._createInstances();
  }

  /** Runs for a time, and counts anew. */
  run(durationMs: number): void {
    this.counts.clear();
    for (const endMs = this._nowMs + durationMs; this._nowMs < endMs; this._nowMs += tickMs) {
      if (this._nowMs % reportIntervalMs === 0) this._report();
      for (const [account, perSecond] of Object.entries(this._options.accounts))
        this._arrive(account, perSecond);
      const due = this._waiting.filter(({ atMs }) => atMs <= this._nowMs);
      for (const item of due) this._waiting.splice(this._waiting.indexOf(item), 1);
      for (const { attempt } of due) this._attempt(attempt);
    }
  }

  /** Returns the share of an account's requests that were admitted, at once or after returns. */
  getAdmittedShare(account: string): number {
    const { admitted, requests } = this._getCounts(account);
    return admitted / requests;
  }

  getTotal(field: keyof AccountCounts): number {
    return utils.getSum([...this.counts.values()].map((counts) => counts[field]));
  }

  private _createInstances(): Instance[] {
    return Array.from({ length: this._options.instances }, () => this._createInstance());
  }

  private _createInstance(): Instance {
    const nowMs = (): number => this._nowMs;
    const figures = new SharedFigures(nowMs);
    if (!this._options.isShared) return { figures, gate: this._urgency, reported: new Map() };
    const activeConfiguration = new ActiveConfiguration(nowMs);
    const accounts = Object.keys(this._options.accounts).map((name) => ({ name, apiKeys: [] }));
    activeConfiguration.accept({ ...createConfiguration(1), accounts });
    const metrics = new GatewayMetrics();
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const rates = new AccountRates(figures, nowMs);
    const random = (): number => this._random.nextUnit();
    const shares = new AccountShares({ activeConfiguration, rates, metrics, log, nowMs, random });
    const gates = [shares, this._urgency];
    const gate = new ReturningCallers({ gates, rates, figures, metrics, isInEffect: () => true, nowMs });
    return { figures, gate, reported: new Map() };
  }

  /** Delivers the figures of one interval ago, collects the current ones, and moves the level. */
  private _report(): void {
    const capacity = (this._options.capacityPerSecond * reportIntervalMs) / utils.msPerSecond;
    const step = this._admittedSinceReport > capacity ? levelStep : -levelStep;
    this._urgency.share = Math.min(maxLevel, Math.max(0, this._urgency.share + step));
    this._admittedSinceReport = 0;
    const parts = [this._instances.slice(0, this.cutFrom), this._instances.slice(this.cutFrom)];
    const decisions = new Map([[`levels/${service}`, this._urgency.share]]);
    for (const part of parts) {
      const sum = sumFigures(part.map(({ reported }) => reported));
      for (const instance of part) {
        instance.figures.update(subtractFigures(sum, instance.reported), decisions);
        instance.reported = instance.figures.getOwn();
      }
    }
  }

  private _arrive(account: string, perSecond: number): void {
    const mean = (perSecond * tickMs) / utils.msPerSecond;
    for (
      let atMs = this._random.nextExponential(1 / mean);
      atMs < 1;
      atMs += this._random.nextExponential(1 / mean)
    ) {
      this._getCounts(account).requests += 1;
      this._attempt({
        account,
        digest: utils.hash32(String(this._next++)).toString(36).padEnd(8, "."),
        count: 0,
      });
    }
  }

  private _attempt(attempt: Attempt): void {
    const { account, digest, count } = attempt;
    const instance = this._random.pick(this._instances);
    const counts = this._getCounts(account);
    const isImpatient = account === this._options.impatient;
    if (count > 0 && !isImpatient) counts.returns += 1;
    const refusal = instance?.gate.getRefusal({
      service,
      priority: 1,
      accountName: account,
      targetLatencyMs,
      promptTokens: 100,
      digest: () => digest,
    });
    if (refusal === undefined) {
      counts.admitted += 1;
      this._admittedSinceReport += 1;
      return;
    }
    if (count === 0) counts.rejected += 1;
    else if (!isImpatient) counts.returnsRejected += 1;
    if (count >= maxReturns) return;
    const afterMs = isImpatient ? tickMs : refusal.retryAfterMs;
    this._waiting.push({ atMs: this._nowMs + afterMs, attempt: { account, digest, count: count + 1 } });
  }

  private _getCounts(account: string): AccountCounts {
    const known = this.counts.get(account);
    if (known !== undefined) return known;
    const created = { requests: 0, admitted: 0, returns: 0, returnsRejected: 0, rejected: 0 };
    this.counts.set(account, created);
    return created;
  }
}
