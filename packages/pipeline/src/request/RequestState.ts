/** State of one request that all of its chains share. */
import type { EngineCandidate } from "@shedtiller/routing";
import type { PipelineContext } from "./PipelineContext.js";
import * as requests from "./PipelineRequest.js";
import { Stage, StageSilentError, type StageError } from "./Stage.js";

/** Kinds of events that a request adds to the time line. */
export type RequestEventKind = "step" | "stage-lost" | "rebuilt" | "chosen";

/** Tracks the tokens, the stages and the lost endpoints of one request, and records the losses for the whole instance. */
export class RequestState {
  /** Tokens of the prompt and of the answer so far. */
  readonly tokens: number[];
  version: string;
  /** Endpoints that were lost or fell silent in this request, and have not answered since. */
  readonly lostEndpoints = new Set<string>();
  /** Number of lost stages and chains that have been replaced. */
  replacements = 0;
  private readonly _stages: Stage[] = [];

  constructor(
    readonly context: PipelineContext,
    readonly request: requests.PipelineRequest,
  ) {
    this.tokens = [...request.promptTokens];
    this.version = request.version;
  }

  /** Whether a call of the request may have run. */
  get ran(): "no" | "unknown" {
    return this._stages.some((stage) => stage.isWritten) ? "unknown" : "no";
  }

  /** Whether the caller has received tokens. */
  get hasAnswerTokens(): boolean {
    return this.tokens.length > this.request.promptTokens.length;
  }

  /** Creates a stage as the next attempt of the request. */
  createStage(candidate: EngineCandidate): Stage {
    const { requestId } = this.request;
    const attempt = this._stages.length + 1;
    const stage = new Stage(this.context, candidate, {
      requestId,
      attempt,
      firstLayer: candidate.layers[0],
    });
    this._stages.push(stage);
    return stage;
  }

  /** Records the certain loss of a stage. */
  async recordLoss(stage: Stage, cause: StageError): Promise<void> {
    this.context.counters.stagesLost += 1;
    if (cause.code === "not_reached") this.context.directory.markUnreachable(stage.endpoint);
    this._avoid(stage, cause);
    await this._reportEngineLoss(stage, cause);
  }

  /** Records that the engine of a stage is silent: other work avoids the engine, but the stage may still go on. */
  recordSilence(stage: Stage, silentMs: number): void {
    this.context.counters.stagesSilent += 1;
    this.context.directory.markUnreachable(stage.endpoint);
    this._avoid(stage, new StageSilentError(stage.endpoint, silentMs));
  }

  /** Records that the engine of a silent stage has answered. */
  recordAnswer(stage: Stage): void {
    this.context.counters.stagesResumed += 1;
    this.lostEndpoints.delete(stage.endpoint);
    this.context.directory.markReachable(stage.endpoint);
  }

  /** Returns the error of a request that has been quarantined, since it would crash the next engine as well. */
  getQuarantineError(): requests.RequestQuarantinedError | undefined {
    const { traits } = this.request;
    const leftMs = traits === undefined ? undefined : this.context.crashes.getQuarantineMs(traits);
    return leftMs === undefined ? undefined : new requests.RequestQuarantinedError(this.ran, leftMs);
  }

  addEvent(kind: RequestEventKind, subject: string | undefined, detail: string, durationMs?: number): void {
    this.context.timeline.add(kind, { requestId: this.request.requestId, subject, detail, durationMs });
  }

  private _avoid(stage: Stage, cause: StageError | StageSilentError): void {
    this.lostEndpoints.add(stage.endpoint);
    this.context.directory.outliers.recordFailure(stage.endpoint);
    this.addEvent("stage-lost", stage.endpoint, cause.message);
  }

  /** Reports an engine that closed its connection before the first token, since the request may have crashed it. */
  private async _reportEngineLoss({ candidate }: Stage, cause: StageError): Promise<void> {
    const { traits } = this.request;
    if (traits === undefined || this.hasAnswerTokens || cause.code !== "connection_lost") return;
    await this.context.crashes.noteLost(traits, candidate.entry);
  }
}
