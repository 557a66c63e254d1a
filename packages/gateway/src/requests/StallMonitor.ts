/** Watches running streams for silence, finds the engine at fault, and moves streams to other engines. */
import { utils } from "@shedtiller/common";
import type { ChainChooser } from "../chains/ChainChooser.js";
import { describeChain } from "../chains/describeChain.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { OrderRefusedError, type EngineOrders, type EngineReport } from "../orders/EngineOrders.js";
import { getSlowness } from "../orders/getSlowness.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { StreamAttempt } from "./StreamAttempt.js";

const checkIntervalMs = 50;
/** Silence before the first event that leads to a question: most first events come within 300 ms on a calm day. */
const firstEventSilenceMs = 450;
/** Silence between events that leads to a question: the usual pause is under 100 ms, and above 200 ms it is late. */
const laterEventSilenceMs = 300;
/** An engine's report is about 200 ms old, so asking again sooner tells nothing new. */
const askAgainMs = 300;
/** An engine that does not answer a question within this counts as dead. */
const reportTimeoutMs = 400;
/** After this much silence a stream goes on elsewhere, before its caller leaves at two seconds. */
const giveUpSilenceMs = 1_200;

/** One task for all streams of this instance. */
export class StallMonitor {
  private readonly _attempts = new Set<StreamAttempt>();
  private readonly _askedAtMs = new Map<string, number>();

  constructor(
    private readonly _context: ForwardContext,
    private readonly _chooser: ChainChooser,
    private readonly _orders: EngineOrders,
  ) {}

  /** Watches a run from now on. */
  add(attempt: StreamAttempt): void {
    this._attempts.add(attempt);
  }

  remove(attempt: StreamAttempt): void {
    this._attempts.delete(attempt);
  }

  /** Streams that run now. */
  get size(): number {
    return this._attempts.size;
  }

  /** Looks at all runs from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      checkIntervalMs,
      signal,
      () => this._check(),
      (error) => {
        this._context.log.error("stall-check-failed", { cause: String(error) });
      },
    );
  }

  private _check(): void {
    const nowMs = utils.monotonicMs();
    const firsts = new Set<string>();
    for (const attempt of this._attempts) {
      const silenceMs = nowMs - attempt.lastSignAtMs;
      if (silenceMs >= giveUpSilenceMs && attempt.request.isIdempotent) attempt.abort.abort();
      else if (silenceMs >= getAllowedSilenceMs(attempt) && attempt.firstStage !== undefined) {
        firsts.add(attempt.firstStage.endpointId);
      }
    }
    for (const id of firsts) {
      if (nowMs - (this._askedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) < askAgainMs) continue;
      this._askedAtMs.set(id, nowMs);
      void this._ask(id);
    }
  }

  private async _ask(endpointId: string): Promise<void> {
    const endpoint = this._context.endpoints.get(endpointId);
    if (endpoint === undefined) return this._abandon(endpointId);
    const target = { id: endpointId, address: endpoint.listed.address };
    const report = await this._orders.getReport(target, reportTimeoutMs);
    if (report.err) {
      this._context.suspect(endpointId, `no report: ${report.val.code}`);
      return this._abandon(endpointId);
    }
    endpoint.slowness = getSlowness(report.val);
    await this._moveStalled(endpointId, report.val);
  }

  /** Streams that began at an engine which does not answer go on elsewhere. */
  private _abandon(endpointId: string): void {
    const nowMs = utils.monotonicMs();
    for (const attempt of this._attempts) {
      if (attempt.firstStage?.endpointId !== endpointId || !attempt.request.isIdempotent) continue;
      if (nowMs - attempt.lastSignAtMs >= laterEventSilenceMs) attempt.abort.abort();
    }
  }

  private async _moveStalled(firstId: string, report: EngineReport): Promise<void> {
    const addresses = new Map(report.stalled.map((entry) => [entry.requestId, entry.address]));
    const moves: Promise<void>[] = [];
    for (const address of new Set(addresses.values())) {
      this._suspectAddress(address, "stalled chain");
    }
    for (const attempt of this._attempts) {
      const address = addresses.get(attempt.request.id);
      if (address === undefined || attempt.firstStage?.endpointId !== firstId) continue;
      if (attempt.reservation.stages.some((stage) => stage.address === address))
        moves.push(this._move(attempt, address));
    }
    await Promise.all(moves);
  }

  private async _move(attempt: StreamAttempt, faultyAddress: string): Promise<void> {
    const first = attempt.firstStage;
    const profile = this._context.keeper.table?.getEngineProfile(attempt.service);
    if (first === undefined || profile === undefined) return;
    if (first.address === faultyAddress) return this._giveUp(attempt, "the first engine stands still");
    const chain = this._chooseOther(attempt, first, profile);
    // Without another chain the stream waits: the engine may come back, or room may come free, before it is given up.
    if (chain === undefined) return;
    const moved = await this._orders.changeChain(
      { id: first.endpointId, address: first.address },
      attempt.request.id,
      chain,
    );
    if (moved.err) {
      this._suspectNamed(moved.val);
      return this._giveUp(attempt, moved.val.code);
    }
    attempt.reservation.move(chain);
    attempt.lastSignAtMs = utils.monotonicMs();
    this._context.log.info("chain-changed", {
      requestId: attempt.request.id,
      faultyAddress,
      chain: describeChain(chain),
    });
  }

  /** Another chain with the same first engine and the same layers there. */
  private _chooseOther(
    attempt: StreamAttempt,
    first: ChainStage,
    profile: EngineProfile,
  ): ChainStage[] | undefined {
    const { promptTokens = 0, maxAnswerTokens = 0, answerTokensHint } = attempt.request.fields;
    return this._chooser.choose(this._context.endpoints.getUsable(attempt.service), profile, {
      promptTokens,
      answerTokens: answerTokensHint ?? maxAnswerTokens,
      availabilityZone: this._context.availabilityZone,
      firstEndpointId: first.endpointId,
      firstEnd: first.end,
    });
  }

  private _suspectNamed(error: unknown): void {
    if (!(error instanceof OrderRefusedError) || error.faultyAddress === undefined) return;
    this._suspectAddress(error.faultyAddress, `chain change refused ${error.status}`);
  }

  private _suspectAddress(address: string, reason: string): void {
    const endpoint = this._context.endpoints.getByAddress(address);
    if (endpoint !== undefined) this._context.suspect(endpoint.id, reason);
  }

  private _giveUp(attempt: StreamAttempt, cause: string): void {
    this._context.log.info("chain-given-up", { requestId: attempt.request.id, cause });
    if (attempt.request.isIdempotent) attempt.abort.abort();
  }
}

function getAllowedSilenceMs(attempt: StreamAttempt): number {
  return attempt.hasEvents ? laterEventSilenceMs : firstEventSilenceMs;
}
