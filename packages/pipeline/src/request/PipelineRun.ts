/** Execution of one request over the stages of a chain, token by token, with recovery of lost stages and chains. */
import { results, utils } from "@shedtiller/common";
import type { EngineCandidate } from "@shedtiller/routing";
import type { AppliedFrame } from "../engine/engineFrames.js";
import { ChainRun } from "./ChainRun.js";
import { EventQueue } from "./EventQueue.js";
import type { PipelineContext } from "./PipelineContext.js";
import * as requests from "./PipelineRequest.js";
import { RequestState } from "./RequestState.js";

const chainRetryIntervalMs = 20;
/**
 * Every this many tokens, a step is added to the time line; steps with a replaced stage are always added. All steps would
 * flood the time line.
 */
const tokensPerEvent = 32;

/** Receives each token once, in order, as soon as it is generated. */
export type TokenSink = (token: number, isEnd: boolean) => void;

type Outcome<T> = results.Result<T, requests.PipelineError>;
type RunEvent =
  | { readonly kind: "result"; readonly chain: ChainRun; readonly applied: AppliedFrame | undefined }
  | { readonly kind: "silence"; readonly chain: ChainRun }
  | { readonly kind: "retry" | "stop" };

/**
 * Runs one request. If a chain is lost, the request restarts on another one. A chain whose engines are silent goes on beside
 * the next one, and the first token counts. Each `PipelineRun` object runs a single request.
 */
export class PipelineRun {
  private readonly _state: RequestState;
  private readonly _events = new EventQueue<RunEvent>();
  /** Chains under way; more than one only while all but the last are silent. */
  private readonly _chains = new Set<ChainRun>();
  private _retryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly _context: PipelineContext,
    private readonly _request: requests.PipelineRequest,
    private readonly _signal: AbortSignal,
  ) {
    this._state = new RequestState(_context, _request);
  }

  /** Runs the request to its end, and passes each token to `sink`. */
  async run(sink: TokenSink): Promise<Outcome<requests.PipelineAnswer>> {
    const stop = (): void => this._events.add({ kind: "stop" });
    this._signal.addEventListener("abort", stop, { once: true });
    const deadlineTimer = setTimeout(stop, Math.max(0, this._request.deadlineMs - utils.monotonicMs()));
    try {
      const quarantined = this._state.getQuarantineError();
      if (quarantined !== undefined) return results.Err(quarantined);
      const chosen = await this._chooseChain();
      if (chosen.err) return chosen;
      return await this._generate(sink);
    } finally {
      clearTimeout(deadlineTimer);
      clearTimeout(this._retryTimer);
      this._signal.removeEventListener("abort", stop);
      for (const chain of this._chains) chain.release();
    }
  }

  private async _generate(sink: TokenSink): Promise<Outcome<requests.PipelineAnswer>> {
    const answer: number[] = [];
    let isEnd = false;
    while (answer.length < this._request.maxTokens && !isEnd) {
      const startMs = utils.monotonicMs();
      const replacementsBefore = this._state.replacements;
      const next = await this._forward();
      if (next.err) return next;
      const isRecorded =
        answer.length % tokensPerEvent === 0 || this._state.replacements > replacementsBefore;
      const token = next.val.token ?? 0;
      if (answer.length === 0 && this._request.traits !== undefined)
        this._context.crashes.noteSurvived(this._request.traits);
      isEnd = next.val.isEnd === true;
      this._state.tokens.push(token);
      answer.push(token);
      this._context.counters.tokens += 1;
      if (isRecorded)
        this._state.addEvent("step", undefined, `token ${answer.length}`, utils.monotonicMs() - startMs);
      sink(token, isEnd);
    }
    return results.Ok({ tokens: answer, isEnd, replacements: this._state.replacements });
  }

  /** Generates one token on the chain, or on the first one to do so if further chains have to begin. */
  private async _forward(): Promise<Outcome<AppliedFrame>> {
    const stopped = this._getStopError();
    if (stopped !== undefined) return results.Err(stopped);
    const [first] = this._chains;
    for (const chain of this._chains) this._start(chain);
    for (;;) {
      const event = await this._events.take();
      if (event.kind === "stop")
        return results.Err(this._getStopError() ?? new requests.RequestDeadlineError(this._state.ran));
      if (event.kind === "result" && this._chains.has(event.chain)) {
        if (event.applied !== undefined) {
          if (event.chain !== first) this._state.replacements += 1;
          this._keepOnly(event.chain);
          return results.Ok(event.applied);
        }
        this._chains.delete(event.chain);
        event.chain.release();
        const quarantined = this._state.getQuarantineError();
        if (quarantined !== undefined) return results.Err(quarantined);
      }
      const isRunning = await this._ensureChain(event.kind === "retry");
      if (isRunning.err) return isRunning;
    }
  }

  private _start(chain: ChainRun): void {
    void chain.forward().then((applied) => this._events.add({ kind: "result", chain, applied }));
  }

  private _keepOnly(winner: ChainRun): void {
    for (const chain of this._chains) {
      if (chain === winner) continue;
      this._context.counters.stagesLost += chain.silentEndpoints.length;
      chain.release();
      this._chains.delete(chain);
    }
  }

  /**
   * Begins a further chain if all chains under way are silent or lost. While silent ones are left, it looks for another one
   * again and again; otherwise it waits for one.
   * @param isRetry - Whether engines that were lost in this run may be chosen again beside a silent chain.
   */
  private async _ensureChain(isRetry: boolean): Promise<Outcome<void>> {
    const chains = [...this._chains];
    if (chains.some((chain) => !chain.isSilent)) return results.Ok(undefined);
    const silentEndpoints = new Set(chains.flatMap((chain) => chain.silentEndpoints));
    if (chains.length > 0) {
      const candidates = this._tryChoose(silentEndpoints, isRetry);
      if (candidates === undefined) this._scheduleRetry();
      else this._beginAnother(candidates);
      return results.Ok(undefined);
    }
    const chosen = await this._chooseChain();
    if (chosen.err) return chosen;
    this._context.counters.chainsRestarted += 1;
    for (const chain of this._chains) this._start(chain);
    return chosen;
  }

  private _beginAnother(candidates: readonly EngineCandidate[]): void {
    this._context.counters.chainsRestarted += 1;
    this._start(this._addChain(candidates));
  }

  private _scheduleRetry(): void {
    clearTimeout(this._retryTimer);
    this._retryTimer = setTimeout(() => this._events.add({ kind: "retry" }), chainRetryIntervalMs);
  }

  /** Chooses a chain. If there is none, a request that may have run already waits until its deadline. */
  private async _chooseChain(): Promise<Outcome<void>> {
    for (;;) {
      const stopped = this._getStopError();
      if (stopped !== undefined) return results.Err(stopped);
      const chain = this._tryChoose();
      if (chain !== undefined) {
        this._addChain(chain);
        return results.Ok(undefined);
      }
      const isGone = this._isVersionGone();
      if (isGone && this._changeVersion()) continue;
      if (isGone || this._state.ran === "no")
        return results.Err(new requests.NoChainError(this._request.model, this._state.ran));
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
    if (versions?.isReplaced(this._state.version) !== true) return false;
    return !this._context.directory.mayHaveChain(model, this._state.version, layerCount);
  }

  /**
   * Switches to the version that is served now, unless the caller has received tokens of the previous one: an answer must
   * not mix two versions. Returns whether the version was switched.
   */
  private _changeVersion(): boolean {
    const { versions } = this._request;
    if (versions === undefined || this._state.hasAnswerTokens) return false;
    this._state.version = versions.changeVersion();
    return true;
  }

  /**
   * Chooses a chain without engines that were lost in this run or are about to load other layers. If there is none, engines
   * that are about to load other layers are allowed, and if there is still none, lost engines as well.
   * @param silentEndpoints - Engines that a chain under way waits for; they are never chosen.
   */
  private _tryChoose(
    silentEndpoints: ReadonlySet<string> = new Set(),
    allowsLost = true,
  ): EngineCandidate[] | undefined {
    const all = this._context.directory.getEngines(this._request.model, this._state.version);
    const notRetiring = all.filter((candidate) => !candidate.entry.isRetiring);
    const { chooser, availabilityZone, getInstanceCount } = this._context;
    const options = {
      layerCount: this._request.layerCount,
      availabilityZone,
      instanceCount: getInstanceCount(),
    };
    const excluded = new Set([...this._state.lostEndpoints, ...silentEndpoints]);
    return (
      chooser.choose(notRetiring, { ...options, excluded }) ??
      chooser.choose(all, { ...options, excluded }) ??
      (allowsLost ? chooser.choose(all, { ...options, excluded: silentEndpoints }) : undefined)
    );
  }

  private _addChain(candidates: readonly EngineCandidate[]): ChainRun {
    const chain: ChainRun = new ChainRun(this._state, candidates, () =>
      this._events.add({ kind: "silence", chain }),
    );
    this._chains.add(chain);
    return chain;
  }

  private _getStopError(): requests.PipelineError | undefined {
    if (this._signal.aborted) return new requests.RequestCancelledError(this._state.ran);
    if (utils.monotonicMs() >= this._request.deadlineMs)
      return new requests.RequestDeadlineError(this._state.ran);
    return undefined;
  }
}
