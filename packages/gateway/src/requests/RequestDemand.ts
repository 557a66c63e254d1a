/** This instance's demand for each service: the rate of arriving requests and the number that wait for a permit. */
import { RateMeter } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";

/** Time constant of the exponentially decaying rates. */
const timeConstantMs = 2_000;

/** Called when permits for a service are granted. */
export type PermitListener = (service: string, count: number) => void;

interface ServiceDemand {
  readonly arrivals: RateMeter;
  /** Rate of granted permits, from which the expected wait for a permit is derived. */
  readonly permits: RateMeter;
}

/** Measures arrivals and granted permits, and notifies listeners of waiting requests and of permits. Each instance has one such meter. */
export class RequestDemand {
  private readonly _services = new Map<string, ServiceDemand>();
  /** For each queue, a function that returns the number of requests of a service that wait there. */
  private readonly _waitingCounters: ((service: string) => number)[] = [];
  private readonly _listeners: PermitListener[] = [];
  private readonly _waitListeners: (() => void)[] = [];

  /** @param _nowMs - Monotonic clock; replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Adds a queue of requests that wait for permits. */
  addQueue(countWaiting: (service: string) => number): void {
    this._waitingCounters.push(countWaiting);
  }

  /** Calls `listener` when permits for a service are granted. */
  onPermits(listener: PermitListener): void {
    this._listeners.push(listener);
  }

  /** Calls `listener` when a request begins to wait. */
  onWaiting(listener: () => void): void {
    this._waitListeners.push(listener);
  }

  noteArrival(service: string): void {
    this._get(service).arrivals.add(1);
  }

  noteWaiting(): void {
    for (const listener of this._waitListeners) listener();
  }

  notePermits(service: string, count: number): void {
    this._get(service).permits.add(count);
    for (const listener of this._listeners) listener(service, count);
  }

  getArrivalsPerSecond(service: string): number {
    return this._get(service).arrivals.getPerSecond();
  }

  getPermitsPerSecond(service: string): number {
    return this._get(service).permits.getPerSecond();
  }

  getWaiting(service: string): number {
    return utils.getSum(this._waitingCounters.map((count) => count(service)));
  }

  private _get(service: string): ServiceDemand {
    const existing = this._services.get(service);
    if (existing !== undefined) return existing;
    const created = {
      arrivals: new RateMeter(timeConstantMs, this._nowMs),
      permits: new RateMeter(timeConstantMs, this._nowMs),
    };
    this._services.set(service, created);
    return created;
  }
}
