/** Queue of plain (not streamed) requests that wait for a permit. */
import { utils } from "@shedtiller/common";
import type { PermitForecast } from "./PermitForecast.js";
import type { RequestDemand } from "./RequestDemand.js";

/** Granted permits trigger a check of the queue at once; polling covers a new endpoint without a limit and the end of a limit. */
const pollIntervalMs = 50;
/** Waiting requests keep their bodies in memory; a request beyond this number is rejected. */
const maxWaiters = 512;

/** The parameters of the wait for a permit, which is the right to send one request to an endpoint. */
export interface PermitAcquisition<T> {
  readonly service: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  readonly accountName: string | undefined;
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
  /** Returns the expected wait for another reason than permits behind `ahead` other requests. */
  readonly getWaitMs?: ((ahead: number) => number) | undefined;
  /** Acquires a permit and returns it with its endpoint, or returns undefined if no permit is available. */
  readonly tryAcquire: () => T | undefined;
}

interface Waiter {
  readonly service: string;
  readonly priority: number;
  readonly accountName: string | undefined;
  /** Number of requests of the same account that waited when this one arrived; orders the round robin over the accounts. */
  readonly turn: number;
  /** Tries to acquire a permit; returns whether it has acquired one. */
  readonly tryComplete: () => boolean;
  /** Returns the expected wait behind `ahead` other requests. */
  readonly getWaitMs: (ahead: number) => number;
  /** Monotonic time at which the maximum wait ends. */
  readonly timeoutAtMs: number;
  readonly cancel: () => void;
}

/**
 * Queues requests by priority, then round robin over the client accounts, then by arrival. Rejects a request as soon as its turn is
 * expected after its maximum wait. Each instance has one queue.
 */
export class PermitQueue {
  /** The waiting requests in queue order. */
  private readonly _waiters: Waiter[] = [];
  /** The timer of the polling, which runs while requests wait. */
  private _pollTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _demand: RequestDemand,
    private readonly _forecast: Pick<PermitForecast, "getWaitMs">,
  ) {
    _demand.addQueue((service) => this.getWaiting(service));
    _demand.onPermits((service) => this._serveWaiters(service));
  }

  getWaiting(service: string): number {
    return this._waiters.filter((waiter) => waiter.service === service).length;
  }

  /** Acquires a permit when the request's turn comes; returns undefined if the turn would come too late or the caller disconnects. */
  async acquire<T>(acquisition: PermitAcquisition<T>): Promise<T | undefined> {
    const { service, priority, maxWaitMs, tryAcquire } = acquisition;
    const getWaitMs = this._createForecast(acquisition);
    const turn = this._countWaitingOfAccount(acquisition);
    const ahead = this._waiters.filter(
      (waiter) => waiter.service === service && !isBefore({ priority, turn }, waiter),
    ).length;
    const acquired = ahead === 0 ? tryAcquire() : undefined;
    if (acquired !== undefined) return acquired;
    if (getWaitMs(ahead) > maxWaitMs || this._waiters.length >= maxWaiters) return undefined;
    return this._wait(acquisition, turn, getWaitMs);
  }

  /** Serves the waiting requests of a service, since one of its endpoints may have room. */
  serve(service: string): void {
    if (this._waiters.length > 0) this._serveWaiters(service);
  }

  private _createForecast({ service, getWaitMs }: PermitAcquisition<unknown>): (ahead: number) => number {
    return (ahead) => Math.max(this._forecast.getWaitMs(service, ahead), getWaitMs?.(ahead) ?? 0);
  }

  private async _wait<T>(
    acquisition: PermitAcquisition<T>,
    turn: number,
    getWaitMs: (ahead: number) => number,
  ): Promise<T | undefined> {
    const done = new utils.Deferred<T | undefined>();
    const { service, priority, maxWaitMs, signal, tryAcquire, accountName } = acquisition;
    const cancel = (): void => done.resolve(undefined);
    const waiter: Waiter = {
      service,
      timeoutAtMs: utils.monotonicMs() + maxWaitMs,
      getWaitMs,
      cancel,
      priority,
      turn,
      accountName,
      tryComplete: () => {
        const acquired = tryAcquire();
        if (acquired !== undefined) done.resolve(acquired);
        return acquired !== undefined;
      },
    };
    const timer = setTimeout(cancel, maxWaitMs);
    signal.addEventListener("abort", cancel, { once: true });
    this._add(waiter);
    const acquired = await done.promise;
    clearTimeout(timer);
    signal.removeEventListener("abort", cancel);
    this._remove(waiter);
    return acquired;
  }

  private _add(waiter: Waiter): void {
    const at = this._waiters.findIndex((other) => isBefore(waiter, other));
    this._waiters.splice(at < 0 ? this._waiters.length : at, 0, waiter);
    this._pollTimer ??= setInterval(() => this._serveWaiters(), pollIntervalMs);
    this._demand.noteWaiting();
  }

  private _remove(waiter: Waiter): void {
    const at = this._waiters.indexOf(waiter);
    if (at >= 0) this._waiters.splice(at, 1);
    if (this._waiters.length > 0) return;
    clearInterval(this._pollTimer);
    this._pollTimer = undefined;
  }

  /**
   * Serves waiting requests in queue order, of one service if it is given. If the first request of a service gets no permit, the requests
   * behind it are not tried. Cancels the requests whose turn is expected after their maximum wait.
   */
  private _serveWaiters(onlyService?: string): void {
    const nowMs = utils.monotonicMs();
    /** By service: number of requests, so far in this pass, that stay in the queue. */
    const remaining = new Map<string, number>();
    for (const waiter of [...this._waiters]) {
      const { service } = waiter;
      if (onlyService !== undefined && service !== onlyService) continue;
      const ahead = remaining.get(service) ?? 0;
      if (ahead === 0 && waiter.tryComplete()) {
        this._remove(waiter);
        continue;
      }
      remaining.set(service, ahead + 1);
      if (nowMs + waiter.getWaitMs(ahead) > waiter.timeoutAtMs) waiter.cancel();
    }
  }

  private _countWaitingOfAccount({ service, accountName }: Pick<Waiter, "service" | "accountName">): number {
    return this._waiters.filter((waiter) => waiter.service === service && waiter.accountName === accountName)
      .length;
  }
}

/** Returns whether `one` goes before `other` regardless of their arrival; if neither does, they keep their order of arrival. */
function isBefore(one: Pick<Waiter, "priority" | "turn">, other: Pick<Waiter, "priority" | "turn">): boolean {
  return one.priority - other.priority < 0 || (one.priority === other.priority && one.turn < other.turn);
}
