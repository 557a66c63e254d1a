/** Chains for the attempts of streams. */
import type { ChainAdmission, FirstEventTarget } from "../chains/ChainAdmission.js";
import type { ChainReservation } from "../chains/ChainReservation.js";
import { estimateTokens } from "../chains/estimateTokens.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { StreamAttempt } from "./StreamAttempt.js";
import type { StreamProgress } from "./StreamProgress.js";

/** Maximum time in the queue for capacity. Callers abandon a stream that is silent for two seconds. */
const maxQueueMs = 1_500;
/** Priority of a stream that has begun, ahead of the most urgent priority of a route or an account, which is 0. */
const resumedPriority = -1;
/** Weight of past attempts in the moving average of the time to the first event. */
const firstEventSmoothing = 16;
/** Time to the first event before any stream has run: the prefill time at a chain of medium accelerators. */
const initialFirstEventMs = 100;

/** By crash risk: whether the first engine must be redundant, so that its zone has the first layers at another engine after a crash. */
const redundancyByRisk = { none: undefined, some: "preferred", high: "required" } as const;

/** Reserves chains for the attempts of streams. */
export class StreamPlacement {
  /** Moving average of the time from the send to the first event. */
  private _meanFirstEventMs = initialFirstEventMs;
  /** Requests that have tested an engine in doubt. */
  private readonly _tried = new WeakSet<CallerRequest>();

  constructor(
    private readonly _context: ForwardContext,
    private readonly _admission: ChainAdmission,
  ) {}

  /**
   * Reserves a chain for a request, waiting for capacity; resolves with undefined if there is none in time.
   * @param options - Other engines to avoid if possible than those that rejected the request, and another signal that ends the wait.
   */
  async acquire(
    request: CallerRequest,
    service: string,
    { refusedBy, passesLevel }: StreamProgress,
    options: { readonly avoided?: ReadonlySet<string>; readonly signal?: AbortSignal } = {},
  ): Promise<ChainReservation | undefined> {
    const avoided = this._getAvoidedAddresses(request, options.avoided ?? refusedBy);
    const risk = this._context.crashes.getRisk(request);
    // A request that may have crashed an engine is not spread over others.
    const isRestart = request.attempts > 0 && risk === "none";
    const target = getFirstEventTarget(request, passesLevel);
    const reservation = await this._admission.acquire({
      service,
      demand: {
        ...estimateTokens(request.fields),
        availabilityZone: this._context.availabilityZone,
        targetLatencyMs: target?.targetLatencyMs,
        refusedBy: avoided,
        mayProbe: risk === "none" && options.avoided === undefined && this._mayProbe(request),
        isRandomized: isRestart,
        assumedRestarts: isRestart ? this._context.restarts.getAssumed() : undefined,
        redundantFirstEngine: redundancyByRisk[risk],
      },
      // A stream that has begun goes first, since its caller already waits for the next event.
      priority: request.isHeadSent ? resumedPriority : request.priority,
      maxWaitMs: Math.max(0, Math.min(maxQueueMs, request.getRemainingMs())),
      latestStartAtMs: this._getLatestStartAtMs(request),
      target,
      signal: options.signal ?? request.signal,
    });
    if (reservation?.isTrial === true) this._tried.add(request);
    return reservation;
  }

  /** Returns whether a request may test an engine in doubt: once, so that a request that reaches none is rejected in time. */
  private _mayProbe(request: CallerRequest): boolean {
    return request.isIdempotent && !this._tried.has(request);
  }

  /** Records the time to the first event of an attempt. */
  noteFirstEvent(attempt: StreamAttempt): void {
    if (attempt.firstEventMs === undefined) return;
    this._meanFirstEventMs += (attempt.firstEventMs - this._meanFirstEventMs) / firstEventSmoothing;
  }

  /**
   * Returns the addresses of the engines that the request avoids if possible: those that rejected the request and, for a request that may
   * have crashed an engine, those that run other such requests.
   */
  private _getAvoidedAddresses(request: CallerRequest, refusedBy: ReadonlySet<string>): ReadonlySet<string> {
    const { crashes, endpoints } = this._context;
    if (crashes.isQuiet) return refusedBy;
    const addresses = crashes
      .getAvoidedEndpointIds(request)
      .flatMap((id) => endpoints.get(id)?.listed.address ?? []);
    return addresses.length === 0 ? refusedBy : new Set([...refusedBy, ...addresses]);
  }

  /**
   * Returns the latest monotonic time of a start at which the first event is expected within the target latency; infinite for a stream
   * that has begun, since its first event has been forwarded.
   */
  private _getLatestStartAtMs(request: CallerRequest): number {
    if (request.isHeadSent) return Number.POSITIVE_INFINITY;
    return request.arrivedAtMs + request.route.targetLatencyMs - this._meanFirstEventMs;
  }
}

/** Returns when the first event is due; undefined for a stream that has begun, here or at another instance. */
export function getFirstEventTarget(
  request: CallerRequest,
  passesLevel: boolean,
): FirstEventTarget | undefined {
  if (request.isHeadSent || request.fields.lastEventId !== undefined) return undefined;
  const { targetLatencyMs } = request.route;
  const dueAtMs = request.arrivedAtMs + targetLatencyMs;
  return { targetLatencyMs, dueAtMs, accountName: request.account?.name, passesLevel };
}
