/** Execution of one request on one chain of engines. */
import { results, utils } from "@shedtiller/common";
import { isSameRange, type EngineCandidate } from "@shedtiller/routing";
import type { AppliedFrame, ApplyFrame } from "../engine/engineFrames.js";
import { BoundaryHistory } from "./BoundaryHistory.js";
import { EventQueue } from "./EventQueue.js";
import type { RequestState } from "./RequestState.js";
import type { Stage, StageError } from "./Stage.js";

type StageEvent =
  | {
      readonly kind: "outcome";
      readonly stage: Stage;
      readonly outcome: results.Result<AppliedFrame, StageError>;
    }
  | { readonly kind: "silence"; readonly stage: Stage; readonly silentMs: number | undefined }
  | { readonly kind: "released" };

/**
 * Runs a request over the stages of a chain. A replica takes over a lost stage and is rebuilt from the stored activations. The
 * stage of a silent engine goes on beside its replica, and the first reply counts.
 */
export class ChainRun {
  private readonly _stages: Stage[];
  /** `_boundaries[i]` stores the inputs of stage i; that of stage 0 stays empty, since its inputs are tokens. */
  private readonly _boundaries: BoundaryHistory[];
  /** Stages with a call for the current step, and whether their engines are silent. */
  private readonly _calls = new Map<Stage, boolean>();
  private _events = new EventQueue<StageEvent>();
  private _isReleased = false;

  /** @param _onSilence - Called when all engines that the chain waits for have fallen silent. */
  constructor(
    private readonly _state: RequestState,
    chain: readonly EngineCandidate[],
    private readonly _onSilence: () => void,
  ) {
    this._stages = chain.map((candidate) => _state.createStage(candidate));
    this._boundaries = chain.map(() => new BoundaryHistory(_state.context.historyBudget));
    const names = chain.map((c) => `${c.entry.name}[${c.layers.join(",")})`);
    _state.addEvent("chosen", undefined, names.join(" → "));
  }

  /** Whether all engines that the chain waits for are silent. */
  get isSilent(): boolean {
    return this._calls.size > 0 && [...this._calls.values()].every((isSilent) => isSilent);
  }

  /** Names of the silent engines that the chain waits for. */
  get silentEndpoints(): string[] {
    return [...this._calls].flatMap(([stage, isSilent]) => (isSilent ? stage.endpoint : []));
  }

  /** Applies all stages to the positions that they lack. Returns the last stage's outcome, or undefined if the chain is lost. */
  async forward(): Promise<AppliedFrame | undefined> {
    for (const index of this._stages.keys()) {
      const applied = await this._applyStage(index);
      if (applied === undefined || index === this._stages.length - 1) return applied;
      this._storeOutput(index, applied);
    }
    return undefined;
  }

  /** Ends all calls and frees the memory of all engines. */
  release(): void {
    this._isReleased = true;
    for (const stage of new Set([...this._stages, ...this._calls.keys()])) stage.release();
    this._calls.clear();
    for (const boundary of this._boundaries) boundary.release();
    this._events.add({ kind: "released" });
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

  private async _applyStage(index: number): Promise<AppliedFrame | undefined> {
    const first = this._stages[index];
    this._events = new EventQueue<StageEvent>();
    if (this._isReleased || first === undefined || !this._begin(first, index)) return undefined;
    for (;;) {
      const event = await this._events.take();
      if (event.kind === "released") return undefined;
      if (!this._calls.has(event.stage)) continue;
      if (event.kind === "silence") this._noteSilence(event.stage, event.silentMs);
      else if (event.outcome.ok) return this._finish(index, event.stage, event.outcome.val);
      else await this._remove(event.stage, event.outcome.val);
      if (this._isReleased || this._state.getQuarantineError() !== undefined) return undefined;
      const isStuck = this._calls.size === 0 || this.isSilent;
      if (!isStuck || this._beginReplica(index, first)) continue;
      if (this._calls.size === 0) return undefined;
      this._onSilence();
    }
  }

  /** Begins the call of a stage. Returns false if the inputs that the stage lacks are no longer stored. */
  private _begin(stage: Stage, index: number): boolean {
    const frame = this._createFrame(stage, index);
    if (frame === undefined) return false;
    const events = this._events;
    this._calls.set(stage, false);
    void stage
      .apply(frame, (silentMs) => events.add({ kind: "silence", stage, silentMs }))
      .then((outcome) => events.add({ kind: "outcome", stage, outcome }));
    return true;
  }

  /** Begins the call at the endpoint with the same layers and the least expected time, if there is one. */
  private _beginReplica(index: number, { candidate, endpoint }: Stage): boolean {
    const { context, request, version, lostEndpoints } = this._state;
    const startMs = utils.monotonicMs();
    const replicas = context.directory
      .getEngines(request.model, version)
      .filter(({ layers }) => isSameRange(layers, candidate.layers));
    const chosen = context.chooser.choose(replicas.map(shiftToZero), {
      layerCount: candidate.layers[1] - candidate.layers[0],
      availabilityZone: context.availabilityZone,
      excluded: lostEndpoints,
    });
    const replica = replicas.find(({ entry }) => entry === chosen?.[0]?.entry);
    if (replica === undefined) return false;
    const stage = this._state.createStage(replica);
    if (!this._begin(stage, index)) {
      stage.release();
      return false;
    }
    context.counters.stagesRebuilt += 1;
    const durationMs = utils.monotonicMs() - startMs;
    this._state.addEvent("rebuilt", stage.endpoint, `instead of ${endpoint}`, durationMs);
    return true;
  }

  private _noteSilence(stage: Stage, silentMs: number | undefined): void {
    this._calls.set(stage, silentMs !== undefined);
    if (silentMs === undefined) this._state.recordAnswer(stage);
    else this._state.recordSilence(stage, silentMs);
  }

  private async _remove(stage: Stage, cause: StageError): Promise<void> {
    this._calls.delete(stage);
    stage.release();
    await this._state.recordLoss(stage, cause);
  }

  /** Continues with the stage that has replied first, and releases the others. */
  private _finish(index: number, winner: Stage, applied: AppliedFrame): AppliedFrame {
    if (this._calls.get(winner) === true) this._state.recordAnswer(winner);
    this._calls.delete(winner);
    for (const stage of this._calls.keys()) stage.release();
    this._state.context.counters.stagesLost += this.silentEndpoints.length;
    this._calls.clear();
    if (this._stages[index] !== winner) this._state.replacements += 1;
    this._stages[index] = winner;
    return applied;
  }

  /** Creates the call for all positions that a stage lacks; returns undefined if their inputs are no longer stored. */
  private _createFrame(stage: Stage, index: number): ApplyFrame | undefined {
    const { request, tokens } = this._state;
    const position = stage.appliedTo;
    const base = {
      kind: "apply" as const,
      ...stage.key,
      layers: stage.candidate.layers,
      position,
      count: tokens.length - position,
      priority: request.priority,
      remainingMs: request.deadlineMs - utils.monotonicMs(),
    };
    if (index === 0) return { ...base, tokens: tokens.slice(position) };
    const boundary = this._boundaries[index];
    if (boundary?.hasFrom(position) !== true) return undefined;
    return { ...base, activations: boundary.getFrom(position) };
  }
}

/** Shifts a candidate's layers to 0: a replica is chosen like a chain for a model with only the lost stage's layers. */
function shiftToZero(candidate: EngineCandidate): EngineCandidate {
  const [first, end] = candidate.layers;
  return { ...candidate, layers: [0, end - first] };
}
