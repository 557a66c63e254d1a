/** Rejections of streams that have not been executed. */
import { utils } from "@shedtiller/common";
import { trialElsewhereRetryAfterMs } from "@shedtiller/crashes";
import type { ChainAdmission } from "../chains/ChainAdmission.js";
import { describeFreeCapacity } from "../chains/describeFreeCapacity.js";
import type { CallerRequest } from "./CallerRequest.js";
import { noteRefusedAfterGates } from "./refuseAtGates.js";
import { noEndpointRetryAfterMs, type ForwardContext } from "./RequestForwarder.js";

/**
 * Retry-After of a request that engines rejected while others have capacity. Within 5 ms the instances of the zone are notified of the
 * full engine, so the retry chooses another one, and its answer can still arrive within a latency target of 500 ms. After a Retry-After
 * of 500 ms every answer would be late.
 */
const notRunRetryAfterMs = 50;

/** Reason for which the gateway rejects a stream. */
export type StreamRefusal =
  | "no-room"
  | "less-urgent"
  | "held-back"
  | "no-endpoint"
  | "limited"
  | "resting"
  | "not-run"
  | "outcome-unknown";

/** Rejects streams, with the time after which their callers should return. */
export class StreamRefusals {
  constructor(
    private readonly _context: ForwardContext,
    private readonly _admission: ChainAdmission,
  ) {}

  /** Rejects a stream that has not been executed. */
  refuse(request: CallerRequest, service: string, reason: StreamRefusal): void {
    const retryAfterMs = this._getRetryAfterMs(reason, request, service);
    const profile = this._context.activeConfiguration.table?.getEngineProfile(service);
    const endpoints = this._context.endpoints.getUsable(service);
    const nowMs = utils.monotonicMs();
    this._context.log.warn("stream-refused", {
      requestId: request.id,
      reason,
      waiting: this._admission.waiting,
      retryAfterMs: Math.round(retryAfterMs),
      limits:
        reason === "limited" || reason === "resting"
          ? this._context.forecast.describeBlocks(service)
          : undefined,
      suspected: endpoints.filter((endpoint) => endpoint.isSuspect(nowMs)).length,
      tried: endpoints.filter(({ trials }) => trials > 0).length,
      room: profile === undefined ? undefined : describeFreeCapacity(endpoints, profile, nowMs),
    });
    if (reason === "less-urgent") noteRefusedAfterGates(this._context, request, service, retryAfterMs);
    request.refuse(503, reason, retryAfterMs);
  }

  /**
   * Returns the Retry-After time of a rejection. The time is short for a request that engines rejected while this instance's queue is
   * empty, since other engines have capacity then.
   */
  private _getRetryAfterMs(reason: StreamRefusal, request: CallerRequest, service: string): number {
    const { levels } = this._context.controls;
    if (reason === "less-urgent" && levels !== undefined)
      return levels.getRetryAfterMs(service, request.priority, request.getRemainingMs());
    if (reason === "no-endpoint") return noEndpointRetryAfterMs;
    if (reason === "held-back") return trialElsewhereRetryAfterMs;
    if (reason === "not-run" && this._admission.waiting === 0) return notRunRetryAfterMs;
    return this._admission.getRetryAfterMs(service);
  }
}
