/** One stage of a running request: an endpoint, the attempt that runs there, and how far it is. */
import { errors, results, utils } from "@shedtiller/common";
import type { EngineCandidate } from "@shedtiller/routing";
import type { AppliedFrame, ApplyFrame, StageKey, StageStatusFrame } from "../engine/engineFrames.js";
import type { EngineError, EngineLink } from "../engine/EngineLink.js";
import type { PipelineContext } from "./PipelineContext.js";

/** The engine is silent: it answered neither the call nor a probe in time. */
export class StageSilentError extends errors.ShedtillerError {
  readonly code = "stage_silent";

  constructor(
    readonly endpoint: string,
    readonly silentMs: number,
  ) {
    super(`The endpoint ${endpoint} was silent for ${Math.round(silentMs)} ms.`);
  }
}

/** The engine answers, but has lost the stream's KV cache or stands at another position. */
export class StageStateLostError extends errors.ShedtillerError {
  readonly code = "stage_forgotten";

  constructor(readonly endpoint: string) {
    super(`The endpoint ${endpoint} no longer holds the stream.`);
  }
}

export type StageError = EngineError | StageSilentError | StageStateLostError;
type Applied = results.Result<AppliedFrame, StageError>;

const probeAgainFactor = 2;

/** Runs calls on one endpoint and tells a lost reply from a lost endpoint. */
export class Stage {
  /** Positions [0, appliedTo) are in the endpoint's KV cache. */
  appliedTo = 0;
  /** Whether anything was ever written to the endpoint for this stage. */
  isWritten = false;

  constructor(
    private readonly _context: PipelineContext,
    readonly candidate: EngineCandidate,
    readonly key: StageKey,
  ) {
    candidate.entry.ownStreams += 1;
  }

  get endpoint(): string {
    return this.candidate.entry.name;
  }

  /** Applies the stage to positions from `appliedTo` on, waiting as long as the engine shows signs of life. */
  async apply(frame: ApplyFrame): Promise<Applied> {
    const link = await this._context.connector.getLink(this.endpoint, this.candidate.entry.address);
    if (link.err) return link;
    this.isWritten = true;
    const startMs = utils.monotonicMs();
    const expectedMs = this._getExpectedMs(frame.count);
    const outcome = await this._waitForOutcome(link.val, frame, expectedMs);
    if (outcome.ok) this._recordSuccess(frame, expectedMs, utils.monotonicMs() - startMs);
    return outcome;
  }

  /** Frees the engine's memory and drops what it may still say. */
  release(): void {
    this.candidate.entry.ownStreams -= 1;
    if (!this.isWritten) return;
    void this._context.connector.getLink(this.endpoint, this.candidate.entry.address).then((link) => {
      if (link.ok) link.val.release(this.key);
    });
  }

  private async _waitForOutcome(link: EngineLink, frame: ApplyFrame, expectedMs: number): Promise<Applied> {
    const reply = link.apply(frame);
    const detector = this._context.getDetector(this.endpoint);
    if (detector.isProbeDue()) void this._learnProbeTime(link);
    const startMs = utils.monotonicMs();
    let waitMs = detector.getStepDeadlineMs(expectedMs);
    for (;;) {
      const first = await settleWithin(reply, waitMs);
      if (first !== undefined) return first;
      const standing = await this._probe(link);
      if (standing === undefined)
        return results.Err(new StageSilentError(this.endpoint, utils.monotonicMs() - startMs));
      if (standing.err) return standing;
      const resolved = this._resolve(standing.val, frame);
      if (resolved !== undefined) return resolved;
      waitMs *= probeAgainFactor;
    }
  }

  /** Probes an engine that is not silent, to know how soon it answers. */
  private async _learnProbeTime(link: EngineLink): Promise<void> {
    const startMs = utils.monotonicMs();
    const standing = await link.probe(this.key);
    if (standing.ok) this._context.getDetector(this.endpoint).recordProbe(utils.monotonicMs() - startMs);
  }

  private async _probe(link: EngineLink): Promise<results.Result<StageStatusFrame, EngineError> | undefined> {
    const detector = this._context.getDetector(this.endpoint);
    const startMs = utils.monotonicMs();
    const answer = link.probe(this.key);
    const standing = await settleWithin(answer, detector.getProbeDeadlineMs());
    this._context.counters.probes += 1;
    // An answer that comes too late for this stage still shows that the endpoint lives.
    if (standing === undefined)
      void answer.then((late) => late.ok && this._context.directory.markReachable(this.endpoint));
    if (standing?.ok === true) detector.recordProbe(utils.monotonicMs() - startMs);
    return standing;
  }

  /** Reads a standing: the outcome whose reply was lost, a lost cache, or undefined while the engine is at work. */
  private _resolve(standing: StageStatusFrame, frame: ApplyFrame): Applied | undefined {
    const end = frame.position + frame.count;
    if (standing.position === end && standing.last?.position === frame.position)
      return results.Ok(standing.last);
    if (standing.isBusy) return undefined;
    return results.Err(new StageStateLostError(this.endpoint));
  }

  private _getExpectedMs(count: number): number {
    const { stepMs, prefillMsPerToken } = this.candidate.report;
    return count === 1 ? stepMs : stepMs + count * prefillMsPerToken;
  }

  private _recordSuccess(frame: ApplyFrame, expectedMs: number, tookMs: number): void {
    this.appliedTo = frame.position + frame.count;
    this._context.getDetector(this.endpoint).recordStep(expectedMs, tookMs);
    this._context.directory.outliers.recordSuccess(this.endpoint);
  }
}

/**
 * Gives the outcome of `work`, or undefined after `durationMs`. A reply that already lies in the socket when the
 * timer fires late, because this process itself stood still, still counts: one turn of the event loop reads it.
 */
async function settleWithin<T>(work: Promise<T>, durationMs: number): Promise<T | undefined> {
  const timer = new utils.Deferred<undefined>();
  const handle = setTimeout(
    () => setImmediate(() => setImmediate(() => timer.resolve(undefined))),
    durationMs,
  );
  try {
    return await Promise.race([work, timer.promise]);
  } finally {
    clearTimeout(handle);
  }
}
