/** Gives requests chains with room; those that find none wait, the most urgent first. */
import { utils } from "@shedtiller/common";
import type { ConfigurationKeeper } from "../configuration/ConfigurationKeeper.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainChooser, ChainDemand } from "./ChainChooser.js";
import { ChainReservation } from "./ChainReservation.js";

/** Room may also come free at peers, which tell of it; this is how often waiting requests look again. */
const lookAgainMs = 50;

/** Who waits for a chain. */
export interface ChainApplicant {
  readonly service: string;
  readonly demand: ChainDemand;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly patienceMs: number;
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly applicant: ChainApplicant;
  readonly done: utils.Deferred<ChainReservation | undefined>;
}

/** Queues by priority, then by arrival. */
export class ChainAdmission {
  private readonly _waiters: Waiter[] = [];

  constructor(
    private readonly _keeper: ConfigurationKeeper,
    private readonly _endpoints: EndpointTable,
    private readonly _chooser: ChainChooser,
  ) {}

  /** Requests that wait now. */
  get waiting(): number {
    return this._waiters.length;
  }

  /** Reserves a chain, waiting for room; undefined once the patience is over or the caller has left. */
  async acquire(applicant: ChainApplicant): Promise<ChainReservation | undefined> {
    const isNext = !this._waiters.some((waiter) => waiter.applicant.priority <= applicant.priority);
    const reservation = isNext ? this._tryReserve(applicant) : undefined;
    if (reservation !== undefined) return reservation;
    return this._wait(applicant);
  }

  /** Looks again for all that wait. */
  pump(): void {
    for (const waiter of [...this._waiters]) {
      const reservation = this._tryReserve(waiter.applicant);
      if (reservation === undefined) continue;
      this._remove(waiter);
      waiter.done.resolve(reservation);
    }
  }

  /** Looks again from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      lookAgainMs,
      signal,
      () => this.pump(),
      () => undefined,
    );
  }

  private async _wait(applicant: ChainApplicant): Promise<ChainReservation | undefined> {
    const waiter: Waiter = { applicant, done: new utils.Deferred() };
    const giveUp = (): void => {
      this._remove(waiter);
      waiter.done.resolve(undefined);
    };
    const timer = setTimeout(giveUp, applicant.patienceMs);
    applicant.signal.addEventListener("abort", giveUp, { once: true });
    this._insert(waiter);
    const reservation = await waiter.done.promise;
    clearTimeout(timer);
    applicant.signal.removeEventListener("abort", giveUp);
    return reservation;
  }

  private _insert(waiter: Waiter): void {
    const at = this._waiters.findIndex((other) => other.applicant.priority > waiter.applicant.priority);
    if (at < 0) this._waiters.push(waiter);
    else this._waiters.splice(at, 0, waiter);
  }

  private _remove(waiter: Waiter): void {
    const at = this._waiters.indexOf(waiter);
    if (at >= 0) this._waiters.splice(at, 1);
  }

  private _tryReserve(applicant: ChainApplicant): ChainReservation | undefined {
    const profile = this._keeper.table?.getEngineProfile(applicant.service);
    if (profile === undefined) return undefined;
    const endpoints = this._endpoints.getUsable(applicant.service);
    const stages = this._chooser.choose(endpoints, profile, applicant.demand);
    if (stages === undefined) return undefined;
    const { promptTokens, answerTokens } = applicant.demand;
    return new ChainReservation(this._endpoints, stages, promptTokens + answerTokens);
  }
}
