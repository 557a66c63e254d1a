/** Refusals by which the listener of callers ends requests that it does not pass on. */
import type { Refusal } from "./admitCaller.js";

/** Retry-After of an instance that can't take the request: the caller should retry at once, over a new connection to another instance. */
const elsewhereRetryAfterMs = 20;

export const stopping: Refusal = { status: 503, reason: "stopping", retryAfterMs: elsewhereRetryAfterMs };
/** This instance is overloaded, and another one has room. */
export const overloaded = {
  status: 503,
  reason: "overloaded",
  retryAfterMs: elsewhereRetryAfterMs,
} as const satisfies Refusal;
export const bodyTooLarge: Refusal = { status: 413, reason: "body-too-large" };
export const headTooLarge: Refusal = { status: 431, reason: "head-too-large" };
/** An error of this instance before the request was passed to a forwarder. */
export const failedBeforeRun: Refusal = {
  status: 503,
  reason: "failed",
  retryAfterMs: elsewhereRetryAfterMs,
};
/** Status after an error of this instance if the request may have run, or may still run. */
export const failedStatus = 502;

/** Whether the connection ends after the refusal, since there may be no end to what the caller sends. */
export function isLastRefusal(refusal: Refusal): boolean {
  return refusal === bodyTooLarge || refusal === headTooLarge;
}
