/** Admission of callers who come back after a rejection. */
import { getReturnTime, ReturnLedger, type ReturnStatus } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { Figures } from "../peers/figures.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import type { AccountRates } from "./AccountRates.js";
import { AdmissionGate, type GateQuery, type GateRefusal } from "./AdmissionGate.js";

/** Rejected requests that an instance remembers: over a hundred a second, for the few seconds of their return. */
const maxExpected = 512;
/** Expected returns of an instance that it tells the others, the newest ones. */
const maxShared = 32;
/** Digits of a digest in figures: 48 bits, so that two digests of the same few seconds hardly have the same. */
const shortLength = 8;
/** Unit of the remaining times in figures. */
const figureUnitMs = 100;
/** Value of a promised return whose time has come. */
const dueValue = 1_000;
/** Values from which a return is due, and up to which it was taken by another instance. */
const dueThreshold = dueValue / 2;
/** Added to the remaining time of a return that is not promised; remaining times are below it. */
const unpromisedValue = 100;
/** Maximum age of figures at their arrival: a return may come this long after its time before it is known to be due. */
const figuresAgeMs = 400;
/** A return that another instance remembers is marked as taken for this time, in which that instance learns of it. */
const takenMs = 2_000;
const range32 = 2 ** 32;

const getReturnKey = (service: string, short: string): string => `returns/${service}/${short}`;
const getWaitingKey = (service: string, priority: number): string => `returns/${service}/p${priority}`;

/** Dependencies of {@link ReturningCallers}. */
export interface ReturningCallersStructure {
  /** The gates that decide on first attempts, one after the other. */
  readonly gates: readonly AdmissionGate[];
  readonly rates: AccountRates;
  readonly figures: SharedFigures;
  readonly metrics: Pick<GatewayMetrics, "returns">;
  /** Whether the configuration has accounts to share between. */
  readonly isInEffect: () => boolean;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs: () => number;
}

/** A return that another instance remembers and this one has admitted. */
interface TakenReturn {
  readonly key: string;
  readonly untilMs: number;
}

/**
 * Admits callers who come back when they were told to, and rejects those who come back before for the rest of their time. All other requests
 * pass the gates, which a request that was back too early passes again when its time has come. Each instance has one such gate.
 */
export class ReturningCallers extends AdmissionGate {
  private readonly _ledger = new ReturnLedger(maxExpected);
  private _taken: TakenReturn[] = [];

  constructor(private readonly _structure: ReturningCallersStructure) {
    super();
    _structure.figures.addSource(() => this._getFigures());
  }

  override getRefusal(query: GateQuery): GateRefusal | undefined {
    const { rates, metrics, isInEffect } = this._structure;
    if (!isInEffect()) return this._passGates(query);
    const { service } = query;
    const status = this._getStatus(query);
    if (status.kind !== "returned") rates.noteArrival(service, query.accountName);
    this._noteArrival(query, status);
    if (status.kind !== "first") metrics.returns.inc({ service, kind: status.kind });
    if (status.kind === "early")
      return { reason: "less-urgent", retryAfterMs: status.remainingMs, inputs: { returned: "early" } };
    const refusal = status.kind === "returned" ? undefined : this._passGates(query);
    if (refusal === undefined) {
      rates.noteAdmitted(service);
      return undefined;
    }
    return { ...refusal, retryAfterMs: this._expect(query, refusal) };
  }

  override isReturn(query: GateQuery): boolean {
    return this._structure.isInEffect() && this._getStatus(query).kind === "returned";
  }

  override noteRefused(query: GateQuery, retryAfterMs: number): void {
    if (!this._structure.isInEffect()) return;
    this._structure.rates.noteRefused(query.service);
    this._noteExpected(query, retryAfterMs, true);
  }

  private _passGates(query: GateQuery): GateRefusal | undefined {
    for (const gate of this._structure.gates) {
      const refusal = gate.getRefusal(query);
      if (refusal !== undefined) return refusal;
    }
    return undefined;
  }

  /** Returns whether the request is a return that this or another instance expects. Reads its digest only while there are such returns. */
  private _getStatus({ service, digest }: GateQuery): ReturnStatus {
    if (this._ledger.size === 0 && !this._hasPeerReturns(service)) return { kind: "first" };
    const text = digest();
    this._dropTakenElsewhere(service, text);
    const own = this._ledger.getStatus(text, this._structure.nowMs());
    return own.kind === "first" ? this._getPeerStatus(service, text) : own;
  }

  private _noteArrival({ service, digest }: GateQuery, status: ReturnStatus): void {
    if (this._ledger.size > 0 && this._ledger.has(digest()))
      return this._ledger.noteArrival(digest(), status);
    if (status.kind !== "returned") return;
    const untilMs = this._structure.nowMs() + takenMs;
    this._taken.push({ key: getReturnKey(service, toShort(digest())), untilMs });
  }

  private _getPeerStatus(service: string, digest: string): ReturnStatus {
    const { figures } = this._structure;
    const key = getReturnKey(service, toShort(digest));
    const value = this._hasPeers() ? figures.getPeers(key) : 0;
    if (value <= 0 || this._taken.some((taken) => taken.key === key)) return { kind: "first" };
    if (value >= dueThreshold) return { kind: "returned" };
    const remainingMs = (value % unpromisedValue) * figureUnitMs;
    if (remainingMs > figuresAgeMs) return { kind: "early", remainingMs };
    return { kind: value < unpromisedValue ? "returned" : "first" };
  }

  /** Returns the time after which the rejected request is expected back. */
  private _expect(query: GateQuery, { reason }: GateRefusal): number {
    const { service, priority, targetLatencyMs, digest } = query;
    const { rates } = this._structure;
    const { returnMs, isPromised } = getReturnTime({
      targetLatencyMs,
      returnsAhead: this._countReturnsAhead(service, priority),
      admittedPerSecond: rates.getAdmittedPerSecond(service),
      position: utils.hash32(digest()) / range32,
    });
    // A promise to an account that already has its share would give it more.
    this._noteExpected(query, returnMs, isPromised && reason !== "account-share");
    return returnMs;
  }

  private _noteExpected(
    { service, priority, digest }: GateQuery,
    returnMs: number,
    isPromised: boolean,
  ): void {
    const returnAtMs = this._structure.nowMs() + returnMs;
    this._ledger.noteRejected(digest(), { service, priority, returnAtMs }, isPromised);
  }

  /** Returns the number of expected returns at all instances that are at least as urgent. */
  private _countReturnsAhead(service: string, priority: number): number {
    let count = 0;
    for (const entry of this._ledger.getExpected(this._structure.nowMs()).values())
      if (entry.service === service && entry.priority <= priority) count += entry.returns;
    if (!this._hasPeers()) return count;
    for (let ahead = 0; ahead <= priority; ahead++)
      count += Math.max(0, this._structure.figures.getPeers(getWaitingKey(service, ahead)));
    return count;
  }

  private _hasPeerReturns(service: string): boolean {
    return this._hasPeers() && this._structure.rates.isRejecting(service);
  }

  private _hasPeers(): boolean {
    return (
      Number.isFinite(this._structure.figures.getAgeMs()) && this._structure.figures.getAgeMs() <= takenMs
    );
  }

  private _getFigures(): Figures {
    const figures = new Map<string, number>();
    const nowMs = this._structure.nowMs();
    for (const [digest, { service }] of [...this._ledger.getExpected(nowMs)])
      this._dropTakenElsewhere(service, digest);
    const expected = [...this._ledger.getExpected(nowMs)];
    for (const [, { service, priority, returns }] of expected) {
      const key = getWaitingKey(service, priority);
      figures.set(key, (figures.get(key) ?? 0) + returns);
    }
    for (const [digest, { service, returnAtMs, returns }] of expected.slice(-maxShared))
      figures.set(getReturnKey(service, toShort(digest)), toFigure(returnAtMs - nowMs, returns > 0));
    this._taken = this._taken.filter(({ untilMs }) => nowMs < untilMs);
    for (const { key } of this._taken) figures.set(key, -dueValue);
    return figures;
  }

  private _dropTakenElsewhere(service: string, digest: string): void {
    if (!this._hasPeers()) return;
    const value = this._structure.figures.getPeers(getReturnKey(service, toShort(digest)));
    if (value <= -dueThreshold) this._ledger.remove(digest);
  }
}

function toShort(digest: string): string {
  return digest.slice(0, shortLength);
}

/** Returns the figure of an expected return: its remaining time, a due promise, or nothing for another due one. */
function toFigure(remainingMs: number, isPromised: boolean): number {
  if (remainingMs <= 0) return isPromised ? dueValue : 0;
  const units = Math.min(unpromisedValue - 1, Math.ceil(remainingMs / figureUnitMs));
  return isPromised ? units : unpromisedValue + units;
}
