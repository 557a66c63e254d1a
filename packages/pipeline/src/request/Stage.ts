/** Stages of a running request. */
import { errors, results, utils } from "@shedtiller/common";
import type { EngineCandidate } from "@shedtiller/routing";
import type { AppliedFrame, ApplyFrame, StageKey, StageStatusFrame } from "../engine/engineFrames.js";
import type { EngineError, EngineLink } from "../engine/EngineLink.js";
import type { PipelineContext } from "./PipelineContext.js";

/** The engine has answered neither the call nor a probe in time, and may still go on. */
export class StageSilentError extends errors.ShedtillerError {
  readonly code = "stage_silent";

  constructor(
    readonly endpoint: string,
    readonly silentMs: number,
  ) {
    super(`The endpoint ${endpoint} did not respond for ${Math.round(silentMs)} ms.`);
  }
}

/** The engine answers, but has lost the stream's KV cache or expects another position. */
export class StageStateLostError extends errors.ShedtillerError {
  readonly code = "stage_forgotten";

  constructor(readonly endpoint: string) {
    super(`The endpoint ${endpoint} no longer has the stream's KV cache.`);
  }
}

/** Error of a call to a stage that is certainly lost. */
export type StageError = EngineError | StageStateLostError;
type Applied = results.Result<AppliedFrame, StageError>;

/**
 * Receives the time for which the engine has answered neither the call nor a probe, or undefined once a silent engine has
 * answered a probe. Silence is no loss: the engine may be suspended for a moment, and go on.
 */
export type SilenceListener = (silentMs: number | undefined) => void;

const waitGrowthFactor = 2;
/** Maximum time between two looks at a silent engine; its reply to the call itself is noticed at once. */
const maxSilentWaitMs = 100;

/** Runs the calls of one stage attempt on an endpoint, and distinguishes a lost reply from a lost endpoint. */
export class Stage {
  /** Positions [0, appliedTo) are in the endpoint's KV cache. */
  appliedTo = 0;
  /** Whether a call may have been sent to the endpoint for this stage. */
  isWritten = false;
  private _isReleased = false;

  constructor(
    private readonly _context: PipelineContext,
    readonly candidate: EngineCandidate,
    readonly key: StageKey,
  ) {
    candidate.entry.ownStreams += 1;
  }

  /** Name of the endpoint. */
  get endpoint(): string {
    return this.candidate.entry.name;
  }

  /** Applies the stage to the positions in `frame`, and waits until it has the outcome, is lost or has been released. */
  async apply(frame: ApplyFrame, onSilence: SilenceListener): Promise<Applied> {
    const link = await this._context.connector.getLink(this.endpoint, this.candidate.entry.address);
    if (link.err) return link;
    if (this._isReleased) return results.Err(new StageStateLostError(this.endpoint));
    this.isWritten = true;
    const startMs = utils.monotonicMs();
    const expectedMs = this._getExpectedMs(frame.count);
    const outcome = await this._waitForOutcome(link.val, frame, expectedMs, onSilence);
    if (outcome.ok) this._recordSuccess(frame, expectedMs, utils.monotonicMs() - startMs);
    return outcome;
  }

  /** Frees the engine's memory for this stage; later replies to it are dropped. */
  release(): void {
    if (this._isReleased) return;
    this._isReleased = true;
    this.candidate.entry.ownStreams -= 1;
    if (!this.isWritten) return;
    void this._context.connector.getLink(this.endpoint, this.candidate.entry.address).then((link) => {
      if (link.ok) link.val.release(this.key);
    });
  }

  private async _waitForOutcome(
    link: EngineLink,
    frame: ApplyFrame,
    expectedMs: number,
    onSilence: SilenceListener,
  ): Promise<Applied> {
    const reply = link.apply(frame);
    const detector = this._context.getDetector(this.endpoint);
    if (detector.isProbeDue()) void this._sampleProbeTime(link);
    const startMs = utils.monotonicMs();
    let waitMs = detector.getCallDeadlineMs(expectedMs);
    let isSilent = false;
    for (;;) {
      const first = await settleWithin(reply, waitMs);
      if (first !== undefined) return first;
      if (this._isReleased) return results.Err(new StageStateLostError(this.endpoint));
      const status = await this._probe(link);
      // The reply to the call may have come during the probe.
      const late = status === undefined ? await Promise.race([reply, undefined]) : undefined;
      if (late !== undefined) return late;
      const wasSilent: boolean = isSilent;
      isSilent = status === undefined;
      if (isSilent !== wasSilent) onSilence(isSilent ? utils.monotonicMs() - startMs : undefined);
      if (status?.err === true) return status;
      const resolved = status === undefined ? undefined : this._resolveStatus(status.val, frame);
      if (resolved !== undefined) return resolved;
      waitMs = isSilent ? Math.min(maxSilentWaitMs, waitMs * waitGrowthFactor) : waitMs * waitGrowthFactor;
    }
  }

  /** Measures the probe time of an engine that is not suspected. */
  private async _sampleProbeTime(link: EngineLink): Promise<void> {
    const startMs = utils.monotonicMs();
    const status = await link.probe(this.key);
    if (status.ok) this._context.getDetector(this.endpoint).recordProbe(utils.monotonicMs() - startMs);
  }

  private async _probe(link: EngineLink): Promise<results.Result<StageStatusFrame, EngineError> | undefined> {
    const detector = this._context.getDetector(this.endpoint);
    const startMs = utils.monotonicMs();
    const answer = link.probe(this.key);
    const status = await settleWithin(answer, detector.getProbeDeadlineMs());
    this._context.counters.probes += 1;
    // An answer that is too late for this stage still proves that the endpoint is live.
    if (status === undefined)
      void answer.then((late) => late.ok && this._context.directory.markReachable(this.endpoint));
    if (status?.ok === true) detector.recordProbe(utils.monotonicMs() - startMs);
    return status;
  }

  /** Returns the outcome if the reply was lost, an error if the KV cache was lost, or undefined while the stage is busy. */
  private _resolveStatus(status: StageStatusFrame, frame: ApplyFrame): Applied | undefined {
    const end = frame.position + frame.count;
    if (status.position === end && status.last?.position === frame.position) return results.Ok(status.last);
    if (status.isBusy) return undefined;
    return results.Err(new StageStateLostError(this.endpoint));
  }

  private _getExpectedMs(count: number): number {
    const { stepMs, prefillMsPerToken } = this.candidate.report;
    return count === 1 ? stepMs : stepMs + count * prefillMsPerToken;
  }

  private _recordSuccess(frame: ApplyFrame, expectedMs: number, tookMs: number): void {
    this.appliedTo = frame.position + frame.count;
    this._context.getDetector(this.endpoint).recordCall(expectedMs, tookMs);
    this._context.directory.outliers.recordSuccess(this.endpoint);
  }
}

/**
 * Returns the outcome of `work`, or undefined after `durationMs`. If the timer fires late because this process was
 * suspended, a reply that is already in the socket's buffer still counts: one turn of the event loop reads it.
 */
async function settleWithin<T>(work: Promise<T>, durationMs: number): Promise<T | undefined> {
  const timer = new utils.Deferred<undefined>();
  const handle = setTimeout(() => void utils.readArrived().then(() => timer.resolve(undefined)), durationMs);
  try {
    return await Promise.race([work, timer.promise]);
  } finally {
    clearTimeout(handle);
  }
}
