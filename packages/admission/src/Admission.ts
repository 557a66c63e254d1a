import type { results } from "@shedtiller/common";
import type { AdmissionRefusedError } from "./AdmissionRefusedError.js";

/** A request for admission to a pipeline. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly account: string;
  /** Rank of the priority class; 1 is the highest. */
  readonly rank: number;
  /** Minimum share of the grants that the class receives even while higher classes wait. */
  readonly floorShare: number;
  /** Tokens of the prompt and the maximum response. */
  readonly tokens: number;
  /** Monotonic time after which the response is no longer needed. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Permission to run, returned with `release`. */
export interface AdmissionPermit {
  readonly waitedMs: number;
  release(): void;
}

/** Admission control in front of a pipeline. The class is abstract so that benchmarks can replace the queue. */
export abstract class Admission {
  /** Waits until the request may run, or rejects it. */
  abstract acquire(
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>>;
  /** Number of active streams. */
  abstract readonly active: number;
  /** Number of waiting requests. */
  abstract readonly waiting: number;
}
