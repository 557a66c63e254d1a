/** What the pipeline is asked for, and how it can fail. */
import { errors, type ExecutionStatus } from "@shedtiller/common";

/** How a request that has lost its version for good goes on. */
export interface VersionChoice {
  /** Whether engines are to hold another version of the model now. */
  isReplaced(version: string): boolean;
  /** Gives up the version that the request has, and gives the one that it goes on with from its first layer. */
  changeVersion(): string;
}

/** One model request, checked and admitted. */
export interface PipelineRequest {
  readonly requestId: string;
  /** Equal for equal requests; without one it is not known again. */
  readonly digest?: string;
  readonly model: string;
  readonly version: string;
  /** Absent where versions don't change. */
  readonly versions?: VersionChoice;
  /** Layers [0, layerCount) make the whole model. */
  readonly layerCount: number;
  readonly promptTokens: readonly number[];
  readonly maxTokens: number;
  /** 1 is the highest. */
  readonly priority: number;
  /** Monotonic milliseconds after which nobody wants the answer. */
  readonly deadlineMs: number;
}

/** How an answer ended. */
export interface PipelineAnswer {
  readonly tokens: readonly number[];
  readonly isEnd: boolean;
  /** Stages that were replaced on the way. */
  readonly replacements: number;
}

/** A request that did not get its whole answer, with what is known of its having run. */
export abstract class PipelineError extends errors.ShedtillerError {
  abstract readonly ran: ExecutionStatus;
}

/** No chain of live endpoints covers the model. */
export class NoChainError extends PipelineError {
  readonly code = "no_endpoints";

  constructor(
    readonly model: string,
    readonly ran: ExecutionStatus,
  ) {
    super(`No live endpoints cover all layers of the model ${model}.`);
  }
}

/** Equal requests have crashed several engines. */
export class RequestQuarantinedError extends PipelineError {
  readonly code = "held_back";

  constructor(
    readonly ran: ExecutionStatus,
    readonly retryAfterMs: number,
  ) {
    super("The request is held back: equal ones have crashed the engines that began to run them.");
  }
}

/** The request's deadline passed. */
export class RequestDeadlineError extends PipelineError {
  readonly code = "deadline_passed";

  constructor(readonly ran: ExecutionStatus) {
    super("The request's deadline passed before its answer was whole.");
  }
}

/** The caller went away or the instance cut the request short. */
export class RequestCancelledError extends PipelineError {
  readonly code = "cancelled";

  constructor(readonly ran: ExecutionStatus) {
    super("The request was cancelled before its answer was whole.");
  }
}
