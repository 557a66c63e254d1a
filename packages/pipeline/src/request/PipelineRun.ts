/** Execution of one request over the stages of a chain, token by token, with recovery of lost stages. */
import { results, utils } from "@shedtiller/common";
import { isSameRange, type EngineCandidate } from "@shedtiller/routing";
import type { AppliedFrame, ApplyFrame } from "../engine/engineFrames.js";
import { BoundaryHistory } from "./BoundaryHistory.js";
import type { PipelineContext } from "./PipelineContext.js";
import * as requests from "./PipelineRequest.js";
import { Stage, type StageError } from "./Stage.js";

const chainRetryIntervalMs = 20;
/**
 * Every this many tokens, a step is added to the time line; steps with a replaced stage are always added. All steps would
 * flood the time line.
 */
const tokensPerEvent = 32;

/** Receives each token once, in order, as soon as it is generated. */
export type TokenSink = (token: number, isEnd: boolean) => void;

type Outcome<T> = results.Result<T, requests.PipelineError>;
/** Marks that a new chain was chosen, which must run from its first layer. */
const restarted = Symbol("restarted");

/**
 * Runs one request. A lost stage is replaced by a replica and rebuilt from the stored activations; if that is not possible,
 * the request restarts on another chain. Each `PipelineRun` object runs a single request.
 */
export class PipelineRun {
  private readonly _tokens: number[];
  private _stages: Stage[] = [];
  /** `_boundaries[i]` stores the inputs of stage i; that of stage 0 stays empty, since its inputs are tokens. */
  private _boundaries: BoundaryHistory[] = [];
  private _nextAttempt = 1;
  private _replacements = 0;
  private _isWritten = false;
  private _version: string;
  private readonly _lostEndpoints = new Set<string>();

  constructor(
    private readonly _context: PipelineContext,
    private readonly _request: requests.PipelineRequest,
    private readonly _signal: AbortSignal,
  ) {
    this._tokens = [..._request.promptTokens];
    this._version = _request.version;
  }

  /** Runs the request to its end, and passes each token to `sink`. */
  async run(sink: TokenSink): Promise<Outcome<requests.PipelineAnswer>> {
    try {
      const quarantined = this._getQuarantineError();
      if (quarantined !== undefined) return results.Err(quarantined);
      const chosen = await this._chooseChain();
      if (chosen.err) return chosen;
      return await this._generate(sink);
    } finally {
      this._releaseAll();
    }
  }

  private async _generate(sink: TokenSink): Promise<Outcome<requests.PipelineAnswer>> {
    const answer: number[] = [];
    let isEnd = false;
    while (answer.length < this._request.maxTokens && !isEnd) {
      const startMs = utils.monotonicMs();
      const replacementsBefore = this._replacements;
      const next = await this._forward();
      if (next.err) return next;
      const isRecorded = answer.length % tokensPerEvent === 0 || this._replacements > replacementsBefore;
      const token = next.val.token ?? 0;
      if (answer.length === 0 && this._request.traits !== undefined)
        this._context.crashes.noteSurvived(this._request.traits);
      isEnd = next.val.isEnd === true;
      this._tokens.push(token);
      answer.push(token);
      this._context.counters.tokens += 1;
      if (isRecorded)
        this._addEvent("step", undefined, `token ${answer.length}`, utils.monotonicMs() - startMs);
      sink(token, isEnd);
    }
    return results.Ok({ tokens: answer, isEnd, replacements: this._replacements });
  }

  /** Applies all stages to the positions that they lack, and returns the last stage's outcome. */
  private async _forward(): Promise<Outcome<AppliedFrame>> {
    let index = 0;
    for (;;) {
      const stage = this._stages[index];
      if (stage === undefined) return results.Err(new requests.NoChainError(this._request.model, this._ran));
      const applied = await this._applyStage(index);
      if (applied.err) return applied;
      if (applied.val === restarted) {
        index = 0;
        continue;
      }
      if (index === this._stages.length - 1) return results.Ok(applied.val);
      this._storeOutput(index, applied.val);
      index += 1;
    }
  }

  /** Stores a stage's output. A rebuilt stage repeats positions that are stored already; only the new ones are added. */
  private _storeOutput(index: number, applied: AppliedFrame): void {
    const boundary = this._boundaries[index + 1];
    if (boundary === undefined || applied.activations === undefined) return;
    const end = applied.position + applied.count;
    const newCount = end - boundary.length;
    if (newCount <= 0) return;
    const positionBytes = applied.activations.byteLength / applied.count;
    boundary.add(applied.activations.subarray((applied.count - newCount) * positionBytes), newCount);
  }

  private async _applyStage(index: number): Promise<Outcome<AppliedFrame | typeof restarted>> {
    for (;;) {
      const stopped = this._getStopError();
      if (stopped !== undefined) return results.Err(stopped);
      const stage = this._stages[index];
      if (stage === undefined) return results.Ok(restarted);
      const frame = this._createFrame(stage, index);
      if (frame === undefined) return this._restart();
      const applied = await this._raceWithStop(stage.apply(frame));
      if (stage.isWritten) this._isWritten = true;
      if (applied === undefined) continue;
      if (applied.ok) return applied;
      const replaced = await this._replaceStage(index, applied.val);
      if (replaced.err) return replaced;
      if (replaced.val === restarted) return results.Ok(restarted);
    }
  }

  /** Creates the call for all positions that a stage lacks; returns undefined if their inputs are no longer stored. */
  private _createFrame(stage: Stage, index: number): ApplyFrame | undefined {
    const position = stage.appliedTo;
    const count = this._tokens.length - position;
    const base = {
      kind: "apply" as const,
      ...stage.key,
      layers: stage.candidate.layers,
      position,
      count,
      priority: this._request.priority,
      remainingMs: this._request.deadlineMs - utils.monotonicMs(),
    };
    if (index === 0) return { ...base, tokens: this._tokens.slice(position) };
    const boundary = this._boundaries[index];
    if (boundary?.hasFrom(position) !== true) return undefined;
    return { ...base, activations: boundary.getFrom(position) };
  }

  private async _replaceStage(index: number, cause: StageError): Promise<Outcome<void | typeof restarted>> {
    const lost = this._stages[index];
    if (lost === undefined) return results.Ok(restarted);
    this._recordLoss(lost, cause);
    await this._reportEngineLoss(lost, cause);
    // A request that has just been quarantined would crash the next replica as well.
    const quarantined = this._getQuarantineError();
    if (quarantined !== undefined) return results.Err(quarantined);
    const startMs = utils.monotonicMs();
    const replica = this._findReplica(lost.candidate);
    if (replica === undefined) return this._restart();
    lost.release();
    this._stages[index] = this._createStage(replica);
    this._replacements += 1;
    this._context.counters.stagesRebuilt += 1;
    this._addEvent(
      "rebuilt",
      replica.entry.name,
      `instead of ${lost.endpoint}`,
      utils.monotonicMs() - startMs,
    );
    return results.Ok(undefined);
  }

  /** Reports an engine that closed its connection before the first token, since the request may have crashed it. */
  private async _reportEngineLoss({ candidate }: Stage, cause: StageError): Promise<void> {
    const { traits, promptTokens } = this._request;
    const hasTokens = this._tokens.length > promptTokens.length;
    if (traits === undefined || hasTokens || cause.code !== "connection_lost") return;
    await this._context.crashes.noteLost(traits, candidate.entry);
  }

  private _getQuarantineError(): requests.RequestQuarantinedError | undefined {
    const { traits } = this._request;
    const leftMs = traits === undefined ? undefined : this._context.crashes.getQuarantineMs(traits);
    return leftMs === undefined ? undefined : new requests.RequestQuarantinedError(this._ran, leftMs);
  }

  private _recordLoss(lost: Stage, cause: StageError): void {
    const { directory, counters } = this._context;
    counters.stagesLost += 1;
    this._lostEndpoints.add(lost.endpoint);
    directory.outliers.recordFailure(lost.endpoint);
    if (cause.code === "stage_silent" || cause.code === "not_reached")
      directory.markUnreachable(lost.endpoint);
    this._addEvent("stage-lost", lost.endpoint, cause.message);
  }

  /** Returns the endpoint with the same layers and the least expected time. */
  private _findReplica(lost: EngineCandidate): EngineCandidate | undefined {
    const { directory, chooser } = this._context;
    const replicas = directory
      .getEngines(this._request.model, this._version)
      .filter((candidate) => isSameRange(candidate.layers, lost.layers));
    const shifted = replicas.map((candidate) => shiftToZero(candidate));
    const chosen = chooser.choose(shifted, {
      layerCount: lost.layers[1] - lost.layers[0],
      availabilityZone: this._context.availabilityZone,
      excluded: this._lostEndpoints,
    });
    return replicas.find((candidate) => candidate.entry === chosen?.[0]?.entry);
  }

  /** Releases the whole chain and chooses a new one, which starts with the prompt and the tokens generated so far. */
  private async _restart(): Promise<Outcome<typeof restarted>> {
    this._releaseAll();
    this._context.counters.chainsRestarted += 1;
    const chosen = await this._chooseChain();
    if (chosen.err) return chosen;
    this._replacements += 1;
    return results.Ok(restarted);
  }

  /** Chooses a chain. If there is none, a request that may have run already waits until its deadline. */
  private async _chooseChain(): Promise<Outcome<void>> {
    for (;;) {
      const stopped = this._getStopError();
      if (stopped !== undefined) return results.Err(stopped);
      const chain = this._tryChoose();
      if (chain !== undefined) {
        this._useChain(chain);
        return results.Ok(undefined);
      }
      const isGone = this._isVersionGone();
      if (isGone && this._changeVersion()) continue;
      if (isGone || !this._isWritten)
        return results.Err(new requests.NoChainError(this._request.model, this._ran));
      await utils.sleep(chainRetryIntervalMs, this._signal).catch(() => undefined);
    }
  }

  /**
   * Returns whether no chain of the version will become available again: the configuration has replaced the version, and by
   * their last reports the engines don't make up a chain of it, whatever their state. Waiting for a chain would delay the
   * caller until its deadline, which is two minutes unless the caller sets another.
   */
  private _isVersionGone(): boolean {
    const { model, layerCount, versions } = this._request;
    if (versions?.isReplaced(this._version) !== true) return false;
    return !this._context.directory.mayHaveChain(model, this._version, layerCount);
  }

  /**
   * Switches to the version that is served now, unless the caller has received tokens of the previous one: an answer must
   * not mix two versions. Returns whether the version was switched.
   */
  private _changeVersion(): boolean {
    const { versions, promptTokens } = this._request;
    if (versions === undefined || this._tokens.length > promptTokens.length) return false;
    this._version = versions.changeVersion();
    return true;
  }

  /**
   * Chooses a chain without engines that were lost in this run or are about to load other layers. If there is none, engines
   * that are about to load other layers are allowed, and if there is still none, lost engines as well.
   */
  private _tryChoose(): EngineCandidate[] | undefined {
    const all = this._context.directory.getEngines(this._request.model, this._version);
    const notRetiring = all.filter((candidate) => !candidate.entry.isRetiring);
    const { chooser, availabilityZone, getInstanceCount } = this._context;
    const options = {
      layerCount: this._request.layerCount,
      availabilityZone,
      instanceCount: getInstanceCount(),
    };
    return (
      chooser.choose(notRetiring, { ...options, excluded: this._lostEndpoints }) ??
      chooser.choose(all, { ...options, excluded: this._lostEndpoints }) ??
      chooser.choose(all, options)
    );
  }

  private _useChain(chain: readonly EngineCandidate[]): void {
    this._stages = chain.map((candidate) => this._createStage(candidate));
    this._boundaries = chain.map(() => new BoundaryHistory(this._context.historyBudget));
    this._addEvent(
      "chosen",
      undefined,
      chain.map((c) => `${c.entry.name}[${c.layers.join(",")})`).join(" → "),
    );
  }

  private _createStage(candidate: EngineCandidate): Stage {
    const attempt = this._nextAttempt;
    this._nextAttempt += 1;
    const { requestId } = this._request;
    return new Stage(this._context, candidate, { requestId, attempt, firstLayer: candidate.layers[0] });
  }

  private _releaseAll(): void {
    for (const stage of this._stages) stage.release();
    for (const boundary of this._boundaries) boundary.release();
    this._stages = [];
    this._boundaries = [];
  }

  private get _ran(): "no" | "unknown" {
    return this._isWritten ? "unknown" : "no";
  }

  private _getStopError(): requests.PipelineError | undefined {
    if (this._signal.aborted) return new requests.RequestCancelledError(this._ran);
    if (utils.monotonicMs() >= this._request.deadlineMs) return new requests.RequestDeadlineError(this._ran);
    return undefined;
  }

  /** Settles like `work`, or resolves with undefined once the request is cancelled or its deadline has passed. */
  private async _raceWithStop<T>(work: Promise<T>): Promise<T | undefined> {
    const stop = new utils.Deferred<undefined>();
    const onAbort = (): void => stop.resolve(undefined);
    this._signal.addEventListener("abort", onAbort, { once: true });
    const timer = setTimeout(onAbort, Math.max(0, this._request.deadlineMs - utils.monotonicMs()));
    try {
      return await Promise.race([work, stop.promise]);
    } finally {
      clearTimeout(timer);
      this._signal.removeEventListener("abort", onAbort);
    }
  }

  private _addEvent(
    kind: "step" | "stage-lost" | "rebuilt" | "chosen",
    subject: string | undefined,
    detail: string,
    durationMs?: number,
  ): void {
    this._context.timeline.add(kind, { requestId: this._request.requestId, subject, detail, durationMs });
  }
}

/** Shifts a candidate's layers to 0: a replica is chosen like a chain for a model with only the lost stage's layers. */
function shiftToZero(candidate: EngineCandidate): EngineCandidate {
  const [first, end] = candidate.layers;
  return { ...candidate, layers: [0, end - first] };
}
