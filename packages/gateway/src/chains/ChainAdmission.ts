/** Gives requests chains with room; those that find none wait, the most urgent first, and first those that can still be in time. */
import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { PermitForecast } from "../requests/PermitForecast.js";
import type { RequestDemand } from "../requests/RequestDemand.js";
import type { ChainChooser } from "./ChainChooser.js";
import { ChainReservation } from "./ChainReservation.js";
import type { ChainDemand } from "./findCheapestChain.js";

/** Room may also come free at peers, which tell of it; this is how often waiting requests look again. */
const lookAgainMs = 50;

/** Requests that fit nowhere are passed over in one look, up to this many; each costs a search. */
const mostMisses = 3;
/** The rate at which chains come free is smoothed over about this many. */
const smoothedReleases = 16;
/** Before any chain has come free: a stream lives for about a second, and an instance has some ten. */
const initialReleaseIntervalMs = 100;
/** Longest time to come back that a refusal names; callers heed it up to a third of what they have left. */
const longestRetryAfterMs = 4_000;
const shortestRetryAfterMs = 500;

/** Who waits for a chain. */
export interface ChainAcquisition {
  readonly service: string;
  readonly demand: ChainDemand;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxWaitMs: number;
  /** Monotonic time until which a chain still lets the answer be in time; infinite where it is late or begun already. */
  readonly latestStartAtMs: number;
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly applicant: ChainAcquisition;
  readonly done: utils.Deferred<ChainReservation | undefined>;
  /** Monotonic time at which its patience ends. */
  readonly giveUpAtMs: number;
  readonly giveUp: () => void;
}

/** Queues by priority, then by arrival. */
export class ChainAdmission {
  private readonly _waiters: Waiter[] = [];
  /** Runs while somebody waits. */
  private _lookAgainTimer: NodeJS.Timeout | undefined;
  private _lastReleaseAtMs = utils.monotonicMs();
  private _releaseIntervalMs = initialReleaseIntervalMs;

  constructor(
    private readonly _keeper: ActiveConfiguration,
    private readonly _endpoints: EndpointTable,
    private readonly _chooser: ChainChooser,
    private readonly _demand: RequestDemand,
    private readonly _forecast: Pick<PermitForecast, "isHeldUp" | "getWaitMs" | "getRetryAfterMs">,
  ) {
    _demand.addQueue((service) => this._getWaiting(service));
    _demand.onPermits((service) => {
      if (this._getWaiting(service) > 0) this._lookAgain();
    });
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this._waiters.length;
  }

  /** Reserves a chain, waiting for room; undefined once the patience is over or the caller has left. */
  async acquire(applicant: ChainAcquisition): Promise<ChainReservation | undefined> {
    if (!this.hasEndpoints(applicant.service)) return undefined;
    const ahead = this._countAhead(applicant);
    const reservation = ahead === 0 ? this._tryReserve(applicant) : undefined;
    if (reservation !== undefined) return reservation;
    // An engine that another one stands in for comes with a load of layers, which takes seconds.
    if (applicant.demand.redundantFirstEngine === "only") return undefined;
    // A refusal at once lets the caller come back in time; one after a wait in vain does not.
    if (this._getWaitMs(applicant.service, ahead) > applicant.maxWaitMs) return undefined;
    return this._wait(applicant);
  }

  /** Whether any endpoint of the service may get new work; a list that was never read tells nothing. */
  hasEndpoints(service: string): boolean {
    return !this._endpoints.isKnown || this._endpoints.getUsable(service).length > 0;
  }

  /** When a refused request should come back. */
  getRetryAfterMs(service: string): number {
    if (this._forecast.isHeldUp(service))
      return this._forecast.getRetryAfterMs(service, this._getWaiting(service));
    const waitMs = this._waiters.length * this._releaseIntervalMs;
    return Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, waitMs));
  }

  /** Notes that a chain came free, and looks for those that wait. */
  noteReleased(): void {
    const nowMs = utils.monotonicMs();
    const intervalMs = nowMs - this._lastReleaseAtMs;
    this._lastReleaseAtMs = nowMs;
    this._releaseIntervalMs += (intervalMs - this._releaseIntervalMs) / smoothedReleases;
    this._lookAgain();
  }

  /** Until a request may begin: a chain has to come free, and its first engine to have a permit. */
  private _getWaitMs(service: string, ahead: number): number {
    return Math.max((ahead + 1) * this._releaseIntervalMs, this._forecast.getWaitMs(service, ahead));
  }

  private _getWaiting(service: string): number {
    return this._waiters.filter(({ applicant }) => applicant.service === service).length;
  }

  /** Those that wait and go before one that comes now. */
  private _countAhead(applicant: ChainAcquisition): number {
    const nowMs = utils.monotonicMs();
    return this._waiters.filter((waiter) => compareTurns(waiter.applicant, applicant, nowMs) <= 0).length;
  }

  /** Looks for room for those that wait, in their order, until too many have found none. */
  private _lookAgain(): void {
    const nowMs = utils.monotonicMs();
    const inOrder = [...this._waiters].sort((a, b) => compareTurns(a.applicant, b.applicant, nowMs));
    let misses = 0;
    let ahead = 0;
    /** By service: where so many tokens found no room, as many or more find none either. */
    const missedTokens = new Map<string, number>();
    /** By service: what limits and rests make even the first one wait. */
    const heldUpMs = new Map<string, number>();
    for (const waiter of inOrder) {
      const { service } = waiter.applicant;
      const tokens = countTokens(waiter.applicant);
      const isTried = misses < mostMisses && tokens < (missedTokens.get(service) ?? Number.POSITIVE_INFINITY);
      const reservation = isTried ? this._tryReserve(waiter.applicant) : undefined;
      if (reservation !== undefined) {
        this._remove(waiter);
        waiter.done.resolve(reservation);
        continue;
      }
      if (isTried) misses += 1;
      if (isTried) missedTokens.set(service, tokens);
      ahead += 1;
      const leastMs = heldUpMs.get(service) ?? this._forecast.getWaitMs(service, 0);
      heldUpMs.set(service, leastMs);
      // Others came that go first, or more endpoints rest: what is left of the patience no longer lasts until its turn.
      const waitMs = Math.max(ahead * this._releaseIntervalMs, leastMs);
      if (nowMs + waitMs > waiter.giveUpAtMs) waiter.giveUp();
    }
  }

  private async _wait(applicant: ChainAcquisition): Promise<ChainReservation | undefined> {
    const done = new utils.Deferred<ChainReservation | undefined>();
    const giveUp = (): void => {
      this._remove(waiter);
      done.resolve(undefined);
    };
    const giveUpAtMs = utils.monotonicMs() + applicant.maxWaitMs;
    const waiter: Waiter = { applicant, done, giveUpAtMs, giveUp };
    const timer = setTimeout(giveUp, applicant.maxWaitMs);
    applicant.signal.addEventListener("abort", giveUp, { once: true });
    this._waiters.push(waiter);
    this._lookAgainTimer ??= setInterval(() => this._lookAgain(), lookAgainMs);
    this._demand.noteWaiting();
    const reservation = await done.promise;
    clearTimeout(timer);
    applicant.signal.removeEventListener("abort", giveUp);
    return reservation;
  }

  private _remove(waiter: Waiter): void {
    const at = this._waiters.indexOf(waiter);
    if (at >= 0) this._waiters.splice(at, 1);
    if (this._waiters.length > 0) return;
    clearInterval(this._lookAgainTimer);
    this._lookAgainTimer = undefined;
  }

  private _tryReserve(applicant: ChainAcquisition): ChainReservation | undefined {
    const profile = this._keeper.table?.getEngineProfile(applicant.service);
    if (profile === undefined) return undefined;
    const endpoints = this._endpoints.getUsable(applicant.service);
    const stages = this._chooser.choose(endpoints, profile, applicant.demand);
    const first = stages?.[0] && this._endpoints.get(stages[0].endpointId);
    const permit = first?.tryTakePermit(utils.monotonicMs());
    if (stages === undefined || permit === undefined) return undefined;
    const { promptTokens, answerTokens } = applicant.demand;
    return new ChainReservation(this._endpoints, stages, promptTokens + answerTokens, permit);
  }
}

function countTokens({ demand }: ChainAcquisition): number {
  return demand.promptTokens + demand.answerTokens;
}

/**
 * By priority; among equals those that can still be in time go first, and otherwise those that came first. Where more come than
 * can be served, an order by arrival alone makes all of them late.
 */
function compareTurns(a: ChainAcquisition, b: ChainAcquisition, nowMs: number): number {
  const isLate = (applicant: ChainAcquisition): number => (nowMs > applicant.latestStartAtMs ? 1 : 0);
  return a.priority - b.priority || isLate(a) - isLate(b);
}
