import { estimateTokens } from "../../chains/estimateTokens.js";
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import type { StreamAttempt } from "../StreamAttempt.js";

/**
 * Returns how long a stream is expected to run on, by its pace so far and the estimated length of its answer. Infinite before the first
 * event, and for an answer that is longer than estimated.
 */
export function getRemainingMs(attempt: StreamAttempt, profile: EngineProfile, nowMs: number): number {
  const { progress, request } = attempt;
  if (progress.events === 0 || progress.firstEventMs === undefined) return Number.POSITIVE_INFINITY;
  const { answerTokens } = estimateTokens(request.fields);
  const expectedEvents = answerTokens / profile.stepsPerPass;
  if (progress.events >= expectedEvents) return Number.POSITIVE_INFINITY;
  const elapsedMs = nowMs - request.arrivedAtMs - progress.firstEventMs;
  return ((expectedEvents - progress.events) * elapsedMs) / progress.events;
}
