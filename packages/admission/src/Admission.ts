/** What a queue in front of a pipeline is asked for, and the base of all queues. */
import type { results } from "@shedtiller/common";
import type { AdmissionRefusedError } from "./refusals.js";

/** What a request asks the queue for. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly account: string;
  /** Rank of its class; 1 is the highest. */
  readonly rank: number;
  /** Share of the grants that its class gets even while higher ones wait. */
  readonly floorShare: number;
  /** Prompt and longest answer. */
  readonly tokens: number;
  /** Monotonic milliseconds after which nobody wants the answer. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** The right to run, given back with `release`. */
export interface AdmissionPermit {
  readonly waitedMs: number;
  release(): void;
}

/** The base of queues, so that the bench can put another one in its place. */
export abstract class Admission {
  /** Waits for the right to run. */
  abstract acquire(
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>>;
  /** Streams under way. */
  abstract readonly active: number;
  /** Requests that wait. */
  abstract readonly waiting: number;
}
