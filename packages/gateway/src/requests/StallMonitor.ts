/** Watches running streams for silence, finds the engine at fault, and moves streams to other engines. */
import { utils } from "@shedtiller/common";
import type { ChainChooser } from "../chains/ChainChooser.js";
import { expectTokens } from "../chains/expectTokens.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import { describeChain } from "../chains/describeChain.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { ChainStage } from "../http/MessageCodec.js";
import {
  OrderRefusedError,
  type EngineOrders,
  type EngineReport,
  type OrderError,
} from "../orders/EngineOrders.js";
import { getSlowness } from "../orders/getSlowness.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { StreamAttempt } from "./StreamAttempt.js";

/**
 * Half of this is added to the silences below on average. The other ticks of an instance have the same length and so fall on the same
 * moments (`utils.repeat`): an instance at rest spends most of its time on waking up.
 */
const checkIntervalMs = 200;
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

/** An engine that refused a moved stream is left alone for as long as two looks take. */
const refusedChangeBackoffMs = 600;
/** The first engine does not know the request any more. */
const unknownRequestStatus = 404;

/** One task for all streams of this instance. */
export class StallMonitor {
  private readonly _attempts = new Set<StreamAttempt>();
  private readonly _askedAtMs = new Map<string, number>();

  constructor(
    private readonly _context: ForwardContext,
    private readonly _chooser: ChainChooser,
    private readonly _orders: EngineOrders,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    _context.endpoints.onChanged((endpoint, event) => {
      if (event === "restarted") void this._leaveLife(endpoint);
    });
  }

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
    const pauses = new utils.PauseDetector(checkIntervalMs, this._nowMs);
    await utils.repeat(
      checkIntervalMs,
      signal,
      () => {
        this.noteSuspension(pauses.noteTick());
        void this.check();
      },
      (error) => {
        this._context.log.error("stall-check-failed", { cause: String(error) });
      },
    );
  }

  /** Takes note that this instance stood still: what the streams sent meanwhile is not read yet, and none of them was silent so long. */
  noteSuspension(pauseMs: number): void {
    for (const attempt of this._attempts) attempt.lastActivityAtMs += pauseMs;
  }

  /** Looks at all runs once; resolves when what the look led to is done. */
  async check(): Promise<void> {
    const nowMs = this._nowMs();
    const firsts = new Set<string>();
    for (const attempt of this._attempts) {
      const silenceMs = nowMs - attempt.lastActivityAtMs;
      if (silenceMs >= giveUpSilenceMs && attempt.request.isIdempotent) attempt.abort.abort();
      else if (silenceMs >= getAllowedSilenceMs(attempt) && attempt.firstStage !== undefined) {
        firsts.add(attempt.firstStage.endpointId);
      }
    }
    const isDue = (id: string): boolean =>
      nowMs - (this._askedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) >= askAgainMs;
    const due = [...firsts].filter(isDue);
    for (const id of due) this._askedAtMs.set(id, nowMs);
    await Promise.all(due.map((id) => this._ask(id)));
  }

  /**
   * Whatever passed an engine whose process has started again is lost there. Streams that only pass it are moved, those that began there
   * go on elsewhere or end, since nothing comes any more.
   */
  private async _leaveLife(before: Endpoint): Promise<void> {
    const { id, listed } = before;
    const passing = [...this._attempts].filter(({ reservation }) =>
      reservation.stages.some((stage) => stage.endpointId === id),
    );
    for (const attempt of passing) void this._context.crashes.noteLost(attempt, before);
    const begun = passing.filter((attempt) => attempt.firstStage?.endpointId === id);
    for (const attempt of begun) attempt.abort.abort();
    const others = passing.filter((attempt) => !begun.includes(attempt));
    await Promise.all(others.map((attempt) => this._move(attempt, listed.address)));
  }

  private async _ask(endpointId: string): Promise<void> {
    const endpoint = this._context.endpoints.get(endpointId);
    if (endpoint === undefined) return this._abandon(endpointId);
    const report = await this._orders.getReport(endpoint.orderTarget, reportTimeoutMs);
    if (report.err) {
      this._context.suspicions.noteSilent(endpointId, `no report: ${report.val.code}`);
      return this._abandon(endpointId);
    }
    endpoint.slowness = getSlowness(report.val);
    await this._moveStalled(endpointId, report.val);
  }

  /** Streams that began at an engine which does not answer go on elsewhere. */
  private _abandon(endpointId: string): void {
    const nowMs = this._nowMs();
    for (const attempt of this._attempts) {
      if (attempt.firstStage?.endpointId !== endpointId || !attempt.request.isIdempotent) continue;
      if (nowMs - attempt.lastActivityAtMs >= laterEventSilenceMs) attempt.abort.abort();
    }
  }

  private async _moveStalled(firstId: string, report: EngineReport): Promise<void> {
    const addresses = new Map(report.stalled.map((entry) => [entry.requestId, entry.address]));
    const moves: Promise<void>[] = [];
    for (const address of new Set(addresses.values())) {
      this._suspectAddress(address);
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
    const profile = this._context.activeConfiguration.table?.getEngineProfile(attempt.service);
    if (first === undefined || profile === undefined) return;
    if (first.address === faultyAddress) return this._giveUp(attempt, "the first engine stands still");
    const faulty = findNamedEndpoint(this._context.endpoints, attempt.reservation.stages, faultyAddress);
    if (faulty !== undefined) void this._context.crashes.noteLost(attempt, faulty);
    if (this._context.crashes.getQuarantineMs(attempt.request) !== undefined)
      return this._giveUp(attempt, "its request is held back");
    // The room that the stream holds now is its own, and must not look taken to it.
    const before = attempt.reservation.stages;
    attempt.reservation.move([]);
    const chain = this._chooseOther(attempt, first, profile);
    // The room counts at once, so that the streams moved with this one are not all sent to the same engine.
    attempt.reservation.move(chain ?? before);
    // Without another chain the stream waits: the engine may come back, or room may come free, before it is given up.
    if (chain === undefined) return;
    const moved = await this._orders.changeChain(
      { id: first.endpointId, address: first.address },
      attempt.request.id,
      chain,
    );
    if (moved.err) {
      attempt.reservation.move(before);
      return this._noteRefused(attempt, moved.val, chain);
    }
    attempt.lastActivityAtMs = this._nowMs();
    attempt.progress.moves += 1;
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
    return this._chooser.choose(this._context.endpoints.getUsable(attempt.service), profile, {
      ...expectTokens(attempt.request.fields),
      availabilityZone: this._context.availabilityZone,
      firstEndpointId: first.endpointId,
      firstEnd: first.end,
      isRandomized: true,
    });
  }

  /** The engine named has no room, or not these layers: the next look takes another, until the stream is given up. */
  private _noteRefused(attempt: StreamAttempt, error: OrderError, chain: readonly ChainStage[]): void {
    const isUnknown = error instanceof OrderRefusedError && error.status === unknownRequestStatus;
    if (isUnknown) return this._giveUp(attempt, error.code);
    const address = error instanceof OrderRefusedError ? error.faultyAddress : undefined;
    const endpoint =
      address === undefined ? undefined : findNamedEndpoint(this._context.endpoints, chain, address);
    if (endpoint !== undefined) endpoint.refusedUntilMs = this._nowMs() + refusedChangeBackoffMs;
    this._context.log.info("chain-change-refused", {
      requestId: attempt.request.id,
      address,
      cause: error.message,
    });
  }

  private _suspectAddress(address: string): void {
    const stages = [...this._attempts].flatMap(({ reservation }) => reservation.stages);
    const endpoint = findNamedEndpoint(this._context.endpoints, stages, address);
    if (endpoint !== undefined) void this._context.suspicions.noteNamed(endpoint.id, "stalled chain");
  }

  private _giveUp(attempt: StreamAttempt, cause: string): void {
    this._context.log.info("chain-given-up", { requestId: attempt.request.id, cause });
    if (attempt.request.isIdempotent) attempt.abort.abort();
  }
}

function getAllowedSilenceMs(attempt: StreamAttempt): number {
  return attempt.hasEvents ? laterEventSilenceMs : firstEventSilenceMs;
}
