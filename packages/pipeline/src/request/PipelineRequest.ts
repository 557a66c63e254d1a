/** Requests to a pipeline, their answers and their errors. */
import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Switches a request to another version of the model if no chain of its own version is left. */
export interface VersionChoice {
  /** Returns whether the configuration has replaced a version by another one. */
  isReplaced(version: string): boolean;
  /** Releases the request's version, and returns the one on which the request restarts from the first layer. */
  changeVersion(): string;
}

/** A validated and admitted model request. */
export interface PipelineRequest {
  readonly requestId: string;
  /** Properties that other requests may share and that may crash engines; absent for requests that are never quarantined. */
  readonly traits?: readonly string[];
  readonly model: string;
  readonly version: string;
  /** Switch to another version; absent if versions don't change. */
  readonly versions?: VersionChoice;
  /** Number of layers of the model. */
  readonly layerCount: number;
  readonly promptTokens: readonly number[];
  readonly maxTokens: number;
  /** Rank of the priority class; 1 is the highest. */
  readonly priority: number;
  /** Monotonic milliseconds after which the answer is no longer needed. */
  readonly deadlineMs: number;
}

/** A complete answer. */
export interface PipelineAnswer {
  readonly tokens: readonly number[];
  /** Whether the model ended the answer; otherwise the maximum length was reached. */
  readonly isEnd: boolean;
  /** Number of lost stages and chains that were replaced during the run. */
  readonly replacements: number;
}

/** Error of a request that ended without a complete answer; `ran` states whether the request may have run. */
export abstract class PipelineError extends errors.ShedtillerError {
  abstract readonly ran: ExecutionStatus;
}

/** No chain of live endpoints covers all layers of the model. */
export class NoChainError extends PipelineError {
  readonly code = "no_endpoints";

  constructor(
    readonly model: string,
    readonly ran: ExecutionStatus,
  ) {
    super(`No live endpoints cover all layers of the model ${model}.`);
  }
}

/** The request is quarantined, since equal requests have crashed several engines. */
export class RequestQuarantinedError extends PipelineError {
  readonly code = "held_back";

  constructor(
    readonly ran: ExecutionStatus,
    readonly retryAfterMs: number,
  ) {
    super("The request is quarantined: equal requests have crashed the engines that started to run them.");
  }
}

/** The request's deadline passed. */
export class RequestDeadlineError extends PipelineError {
  readonly code = "deadline_passed";

  constructor(readonly ran: ExecutionStatus) {
    super("The request's deadline passed before its answer was complete.");
  }
}

/** The caller disconnected, or the instance aborted the request. */
export class RequestCancelledError extends PipelineError {
  readonly code = "cancelled";

  constructor(readonly ran: ExecutionStatus) {
    super("The request was cancelled before its answer was complete.");
  }
}
