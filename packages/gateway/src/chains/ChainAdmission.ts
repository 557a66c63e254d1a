/** Admission control for streamed requests: reserves chains with free capacity, and queues the requests that find none. */
import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { BeginningStreams } from "../loadcontrol/BeginningStreams.js";
import type { UrgencyLevels } from "../loadcontrol/UrgencyLevels.js";
import type { PermitForecast } from "../requests/PermitForecast.js";
import type { RequestDemand } from "../requests/RequestDemand.js";
import type { ChainChooser } from "./ChainChooser.js";
import { ChainReservation } from "./ChainReservation.js";
import type { ChainDemand } from "./findCheapestChain.js";

/** Interval at which waiting requests are retried, since capacity also becomes free when streams of peers end. */
const pollIntervalMs = 50;

/** Maximum number of waiting requests that find no chain in one pass over the queue; each of them costs a search. */
const maxMisses = 3;
/** Weight of past releases in the moving average of the time between two released chains. */
const releaseSmoothing = 16;
/** Interval before any chain has been released: a stream takes about a second, and an instance runs about ten streams at a time. */
const initialReleaseIntervalMs = 100;
/** Maximum Retry-After time. Callers respect a time of up to one third of their remaining deadline. */
const longestRetryAfterMs = 4_000;
const shortestRetryAfterMs = 500;

/** What the caller of a stream that has not begun expects. */
export interface FirstEventTarget {
  readonly targetLatencyMs: number;
  /** Monotonic time by which the first event is due. */
  readonly dueAtMs: number;
  readonly accountName: string | undefined;
  /** Whether the level of its service does not apply, since the request comes back after a rejection or has been sent before. */
  readonly passesLevel: boolean;
}

/** Decisions under load that take part in the admission; those that are switched off are undefined. */
export interface AdmissionControls {
  readonly streams?: BeginningStreams | undefined;
  readonly levels?: Pick<UrgencyLevels, "isBehind"> | undefined;
}

/**
 * Share of its target latency for which a request behind the level of its service waits. The level and the accounts behind it change every
 * few hundred milliseconds, and a caller that is rejected this early can be served in time by its next attempt.
 */
const behindLevelWaitShare = 0.125;

/** A request for a reserved chain. */
export interface ChainAcquisition {
  readonly service: string;
  readonly demand: ChainDemand;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  readonly maxWaitMs: number;
  /** Latest monotonic time of a start that meets the target latency; infinite if the stream has begun. */
  readonly latestStartAtMs: number;
  /** Undefined if the stream has begun. */
  readonly target?: FirstEventTarget | undefined;
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly acquisition: ChainAcquisition;
  readonly done: utils.Deferred<ChainReservation | undefined>;
  /** Monotonic time at which the maximum wait ends. */
  readonly timeoutAtMs: number;
  readonly cancel: () => void;
}

/**
 * Reserves chains for requests. Requests that find none wait in order of priority, among equals those that can still meet their target
 * latency first, then in order of arrival. A request is rejected as soon as its turn is expected after its maximum wait.
 */
export class ChainAdmission {
  /** The waiting requests in order of arrival. */
  private readonly _waiters: Waiter[] = [];
  /** The timer of the polling, which runs while requests wait. */
  private _pollTimer: NodeJS.Timeout | undefined;
  private _lastReleaseAtMs = utils.monotonicMs();
  private _releaseIntervalMs = initialReleaseIntervalMs;

  constructor(
    private readonly _activeConfiguration: ActiveConfiguration,
    private readonly _endpoints: EndpointTable,
    private readonly _chooser: ChainChooser,
    private readonly _demand: RequestDemand,
    private readonly _forecast: Pick<PermitForecast, "isBlocked" | "getWaitMs" | "getRetryAfterMs">,
    private readonly _controls: AdmissionControls = {},
  ) {
    _demand.addQueue((service) => this._getWaiting(service));
    _demand.onPermits((service) => {
      if (this._getWaiting(service) > 0) this._serveWaiters();
    });
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this._waiters.length;
  }

  /** Reserves a chain, waiting for capacity; returns undefined after the maximum wait or if the caller has disconnected. */
  async acquire(acquisition: ChainAcquisition): Promise<ChainReservation | undefined> {
    if (!this.hasEndpoints(acquisition.service)) return undefined;
    if (this.isBehindLevel(acquisition)) return this._waitBehindLevel(acquisition);
    const ahead = this._countAhead(acquisition);
    const reservation = ahead === 0 ? this._tryReserve(acquisition) : undefined;
    if (reservation !== undefined) return reservation;
    // A second engine with the first layers appears only after a load of layers, which takes seconds, so the request does not wait.
    if (acquisition.demand.redundantFirstEngine === "required") return undefined;
    // An immediate rejection leaves the caller time for a retry; a rejection after the maximum wait does not.
    if (this._getWaitMs(acquisition.service, ahead) > acquisition.maxWaitMs) return undefined;
    return this._wait(acquisition);
  }

  /** Returns whether a request is behind the level of its service now. */
  isBehindLevel({
    service,
    priority,
    target,
  }: Pick<ChainAcquisition, "service" | "priority" | "target">): boolean {
    const { levels } = this._controls;
    if (levels === undefined || target === undefined || target.passesLevel) return false;
    return levels.isBehind({ service, priority, accountName: target.accountName });
  }

  /** Returns whether an endpoint of the service accepts new work; true while the list of endpoints has never been read. */
  hasEndpoints(service: string): boolean {
    return !this._endpoints.hasList || this._endpoints.getUsable(service).length > 0;
  }

  /** Returns when a rejected caller should retry. */
  getRetryAfterMs(service: string): number {
    if (this._forecast.isBlocked(service))
      return this._forecast.getRetryAfterMs(service, this._getWaiting(service));
    const waitMs = this._waiters.length * this._releaseIntervalMs;
    return Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, waitMs));
  }

  /** Records that a chain was released, and serves waiting requests. */
  noteReleased(): void {
    const nowMs = utils.monotonicMs();
    const intervalMs = nowMs - this._lastReleaseAtMs;
    this._lastReleaseAtMs = nowMs;
    this._releaseIntervalMs += (intervalMs - this._releaseIntervalMs) / releaseSmoothing;
    this._serveWaiters();
  }

  /** Returns the expected wait: a chain must be released, and its first engine must have a permit. */
  private _getWaitMs(service: string, ahead: number): number {
    return Math.max((ahead + 1) * this._releaseIntervalMs, this._forecast.getWaitMs(service, ahead));
  }

  private _getWaiting(service: string): number {
    return this._waiters.filter(({ acquisition }) => acquisition.service === service).length;
  }

  /** Returns the number of waiting requests that go before one that arrives now. */
  private _countAhead(acquisition: ChainAcquisition): number {
    const nowMs = utils.monotonicMs();
    const ahead = this._waiters.filter((waiter) => compareTurns(waiter.acquisition, acquisition, nowMs) <= 0);
    return ahead.filter((waiter) => !this.isBehindLevel(waiter.acquisition)).length;
  }

  private _waitBehindLevel(acquisition: ChainAcquisition): Promise<ChainReservation | undefined> {
    const { maxWaitMs, target } = acquisition;
    const waitMs = (target?.targetLatencyMs ?? 0) * behindLevelWaitShare;
    return this._wait({ ...acquisition, maxWaitMs: Math.min(maxWaitMs, waitMs) });
  }

  /**
   * Serves waiting requests in queue order until `maxMisses` of them have found no chain. Cancels the requests whose turn is expected
   * after their maximum wait.
   */
  private _serveWaiters(): void {
    const nowMs = utils.monotonicMs();
    const inOrder = [...this._waiters].sort((a, b) => compareTurns(a.acquisition, b.acquisition, nowMs));
    let misses = 0;
    let ahead = 0;
    /** By service: the smallest number of tokens that found no capacity; requests with as many or more tokens are skipped. */
    const missedTokens = new Map<string, number>();
    /** By service: the wait that rate limits and back-offs impose even on the first request. */
    const minWaitsMs = new Map<string, number>();
    for (const waiter of inOrder) {
      if (this.isBehindLevel(waiter.acquisition)) continue;
      const { service } = waiter.acquisition;
      const tokens = countTokens(waiter.acquisition);
      const isTried = misses < maxMisses && tokens < (missedTokens.get(service) ?? Number.POSITIVE_INFINITY);
      const reservation = isTried ? this._tryReserve(waiter.acquisition) : undefined;
      if (reservation !== undefined) {
        this._remove(waiter);
        waiter.done.resolve(reservation);
        continue;
      }
      if (isTried) misses += 1;
      if (isTried) missedTokens.set(service, tokens);
      ahead += 1;
      const minWaitMs = minWaitsMs.get(service) ?? this._forecast.getWaitMs(service, 0);
      minWaitsMs.set(service, minWaitMs);
      // More urgent requests or back-offs of endpoints since the request's arrival may delay its turn beyond its maximum wait.
      const waitMs = Math.max(ahead * this._releaseIntervalMs, minWaitMs);
      if (nowMs + waitMs > waiter.timeoutAtMs) waiter.cancel();
    }
  }

  private async _wait(acquisition: ChainAcquisition): Promise<ChainReservation | undefined> {
    const done = new utils.Deferred<ChainReservation | undefined>();
    const cancel = (): void => {
      this._remove(waiter);
      done.resolve(undefined);
    };
    const timeoutAtMs = utils.monotonicMs() + acquisition.maxWaitMs;
    const waiter: Waiter = { acquisition, done, timeoutAtMs, cancel };
    const timer = setTimeout(cancel, acquisition.maxWaitMs);
    acquisition.signal.addEventListener("abort", cancel, { once: true });
    this._waiters.push(waiter);
    this._pollTimer ??= setInterval(() => this._serveWaiters(), pollIntervalMs);
    this._demand.noteWaiting();
    const reservation = await done.promise;
    clearTimeout(timer);
    acquisition.signal.removeEventListener("abort", cancel);
    return reservation;
  }

  private _remove(waiter: Waiter): void {
    const at = this._waiters.indexOf(waiter);
    if (at >= 0) this._waiters.splice(at, 1);
    if (this._waiters.length > 0) return;
    clearInterval(this._pollTimer);
    this._pollTimer = undefined;
  }

  /** Reserves a chain with free capacity whose first engine has a permit; returns undefined if there is none. */
  private _tryReserve(acquisition: ChainAcquisition): ChainReservation | undefined {
    const profile = this._activeConfiguration.table?.getEngineProfile(acquisition.service);
    if (profile === undefined) return undefined;
    const endpoints = this._endpoints.getUsable(acquisition.service);
    const stages = this._chooser.choose(endpoints, profile, acquisition.demand);
    const first = stages?.[0] && this._endpoints.get(stages[0].endpointId);
    const permit = first?.tryAcquirePermit(utils.monotonicMs());
    if (stages === undefined || permit === undefined) return undefined;
    if (first !== undefined) this._chooser.noteStart(first);
    const { promptTokens, answerTokens } = acquisition.demand;
    const tokens = promptTokens + answerTokens;
    const onPromptRead = this._noteBegun(acquisition, stages, profile);
    return new ChainReservation(this._endpoints, stages, tokens, promptTokens, permit, onPromptRead);
  }

  private _noteBegun(
    { service, priority, target, demand }: ChainAcquisition,
    stages: readonly ChainStage[],
    profile: EngineProfile,
  ): (() => void) | undefined {
    if (target === undefined) return undefined;
    const { promptTokens } = demand;
    return this._controls.streams?.noteBegun({ service, priority, stages, promptTokens, ...target }, profile);
  }
}

function countTokens({ demand }: ChainAcquisition): number {
  return demand.promptTokens + demand.answerTokens;
}

/**
 * Orders requests by priority, then those that can still meet their target latency before those that are late. Returns 0 for requests
 * that keep their order of arrival. Under overload an order by arrival alone would make all requests late.
 */
function compareTurns(a: ChainAcquisition, b: ChainAcquisition, nowMs: number): number {
  const isLate = (acquisition: ChainAcquisition): number => (nowMs > acquisition.latestStartAtMs ? 1 : 0);
  return a.priority - b.priority || isLate(a) - isLate(b);
}
