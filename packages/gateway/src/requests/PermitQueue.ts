/** Plain requests that wait for a permit: by priority, then in turn by client account, then by arrival. */
import { utils } from "@shedtiller/common";
import type { PermitForecast } from "./PermitForecast.js";
import type { RequestDemand } from "./RequestDemand.js";

/** Permits tell when they come; an endpoint without a limit may also appear, or a limit end. */
const lookAgainMs = 50;
/** Requests that wait hold their bodies; beyond this many the next one is refused. */
const mostWaiters = 512;

/** Who waits, and what it takes once it may. */
export interface PermitApplicant<T> {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly accountName: string | undefined;
  readonly patienceMs: number;
  readonly signal: AbortSignal;
  /** Takes an endpoint with a permit; undefined where there is none. */
  readonly tryTake: () => T | undefined;
}

interface Waiter {
  readonly service: string;
  readonly priority: number;
  readonly accountName: string | undefined;
  /** How many requests of its account waited when it came. */
  readonly turn: number;
  /** Tells whether it has taken what it waits for. */
  readonly tryEnd: () => boolean;
  /** Monotonic time at which its patience ends. */
  readonly giveUpAtMs: number;
  readonly giveUp: () => void;
}

/** One an instance. */
export class PermitQueue {
  /** In their order. */
  private readonly _waiters: Waiter[] = [];
  /** Runs while somebody waits. */
  private _lookAgainTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _demand: RequestDemand,
    private readonly _forecast: Pick<PermitForecast, "getWaitMs">,
  ) {
    _demand.addQueue((service) => this.getWaiting(service));
    _demand.onPermits((service) => this._lookAgain(service));
  }

  getWaiting(service: string): number {
    return this._waiters.filter((waiter) => waiter.service === service).length;
  }

  /** Takes what the applicant asks for in its turn; undefined where that would be too late, or its caller has left. */
  async acquire<T>(applicant: PermitApplicant<T>): Promise<T | undefined> {
    const { service, priority, patienceMs, tryTake } = applicant;
    const turn = this._countOfAccount(applicant);
    const ahead = this._waiters.filter(
      (waiter) => waiter.service === service && !isBefore({ priority, turn }, waiter),
    ).length;
    const taken = ahead === 0 ? tryTake() : undefined;
    if (taken !== undefined) return taken;
    const expectedMs = this._forecast.getWaitMs(service, ahead);
    if (expectedMs > patienceMs || this._waiters.length >= mostWaiters) return undefined;
    return this._wait(applicant, turn);
  }

  private async _wait<T>(applicant: PermitApplicant<T>, turn: number): Promise<T | undefined> {
    const done = new utils.Deferred<T | undefined>();
    const { service, priority, patienceMs, signal, tryTake, accountName } = applicant;
    const giveUp = (): void => done.resolve(undefined);
    const waiter: Waiter = {
      service,
      giveUpAtMs: utils.monotonicMs() + patienceMs,
      giveUp,
      priority,
      turn,
      accountName,
      tryEnd: () => {
        const taken = tryTake();
        if (taken !== undefined) done.resolve(taken);
        return taken !== undefined;
      },
    };
    const timer = setTimeout(giveUp, patienceMs);
    signal.addEventListener("abort", giveUp, { once: true });
    this._add(waiter);
    const taken = await done.promise;
    clearTimeout(timer);
    signal.removeEventListener("abort", giveUp);
    this._remove(waiter);
    return taken;
  }

  private _add(waiter: Waiter): void {
    const at = this._waiters.findIndex((other) => isBefore(waiter, other));
    this._waiters.splice(at < 0 ? this._waiters.length : at, 0, waiter);
    this._lookAgainTimer ??= setInterval(() => this._lookAgain(), lookAgainMs);
    this._demand.noteWaiting();
  }

  private _remove(waiter: Waiter): void {
    const at = this._waiters.indexOf(waiter);
    if (at >= 0) this._waiters.splice(at, 1);
    if (this._waiters.length > 0) return;
    clearInterval(this._lookAgainTimer);
    this._lookAgainTimer = undefined;
  }

  /** Where the first of a service finds nothing, those behind it don't either, and some may learn that their turn comes too late. */
  private _lookAgain(only?: string): void {
    const nowMs = utils.monotonicMs();
    /** By service: how many of those looked at go on waiting. */
    const left = new Map<string, number>();
    for (const waiter of [...this._waiters]) {
      const { service } = waiter;
      if (only !== undefined && service !== only) continue;
      const ahead = left.get(service) ?? 0;
      if (ahead === 0 && waiter.tryEnd()) {
        this._remove(waiter);
        continue;
      }
      left.set(service, ahead + 1);
      if (nowMs + this._forecast.getWaitMs(service, ahead) > waiter.giveUpAtMs) waiter.giveUp();
    }
  }

  private _countOfAccount({ service, accountName }: Pick<Waiter, "service" | "accountName">): number {
    return this._waiters.filter((waiter) => waiter.service === service && waiter.accountName === accountName)
      .length;
  }
}

/** Whether one goes before the other; where neither does, the one that came first. */
function isBefore(one: Pick<Waiter, "priority" | "turn">, other: Pick<Waiter, "priority" | "turn">): boolean {
  return one.priority - other.priority < 0 || (one.priority === other.priority && one.turn < other.turn);
}
