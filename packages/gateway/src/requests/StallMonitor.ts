/** Stall detection for running streams. */
import { utils } from "@shedtiller/common";
import type { ChainChooser } from "../chains/ChainChooser.js";
import { estimateTokens } from "../chains/estimateTokens.js";
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
 * On average, half of this interval is added to the silence limits below. The other periodic tasks of an instance have the same interval,
 * so `utils.repeat` runs them at the same moments; an idle instance spends most of its CPU time on wake-ups.
 */
const checkIntervalMs = 200;
/** Silence before the first event after which the engine is queried; most first events arrive within 300 ms under normal load. */
const firstEventSilenceMs = 450;
/** Silence between events after which the engine is queried; a pause usually takes less than 100 ms, and one above 200 ms is late. */
const laterEventSilenceMs = 300;
/** Minimum time between two queries of an engine. Its report is about 200 ms old, so an earlier query returns nothing new. */
const reportIntervalMs = 300;
/** Timeout of a query; an engine that does not report within this time counts as unresponsive. */
const reportTimeoutMs = 400;
/** Silence after which a resumable stream continues at another chain; callers abandon a stream that is silent for two seconds. */
const maxSilenceMs = 1_200;

/** Time for which an engine that rejected a moved stream gets no work from this instance: twice the interval between queries. */
const refusedChangeBackoffMs = 600;
/** Status of an engine that has no such request any more. */
const unknownRequestStatus = 404;

/**
 * Detects stalled streams, queries their first engines for the engine at fault, and moves the streams to other engines. Each instance has
 * one monitor for all of its streams.
 */
export class StallMonitor {
  private readonly _attempts = new Set<StreamAttempt>();
  /** Monotonic time of the last query, by the id of the endpoint. */
  private readonly _queriedAtMs = new Map<string, number>();

  constructor(
    private readonly _context: ForwardContext,
    private readonly _chooser: ChainChooser,
    private readonly _orders: EngineOrders,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    _context.endpoints.onChanged((endpoint, event) => {
      if (event === "restarted") void this._handleRestart(endpoint);
    });
  }

  /** Starts to monitor an attempt. */
  add(attempt: StreamAttempt): void {
    this._attempts.add(attempt);
  }

  remove(attempt: StreamAttempt): void {
    this._attempts.delete(attempt);
  }

  /** Number of running streams. */
  get size(): number {
    return this._attempts.size;
  }

  /** Checks all streams periodically until `signal` aborts. */
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

  /**
   * Subtracts a suspension of this process from the silence of all streams. The streams were not necessarily silent, since bytes that
   * arrived during the suspension are still unread.
   */
  noteSuspension(pauseMs: number): void {
    for (const attempt of this._attempts) attempt.lastActivityAtMs += pauseMs;
  }

  /** Checks all streams once; resolves when the resulting queries and moves are complete. */
  async check(): Promise<void> {
    const nowMs = this._nowMs();
    const firstEndpointIds = new Set<string>();
    for (const attempt of this._attempts) {
      const silenceMs = nowMs - attempt.lastActivityAtMs;
      if (silenceMs >= maxSilenceMs && attempt.request.isIdempotent) attempt.abort.abort();
      else if (silenceMs >= getAllowedSilenceMs(attempt) && attempt.firstStage !== undefined) {
        firstEndpointIds.add(attempt.firstStage.endpointId);
      }
    }
    const isDue = (id: string): boolean =>
      nowMs - (this._queriedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) >= reportIntervalMs;
    const dueIds = [...firstEndpointIds].filter(isDue);
    for (const id of dueIds) this._queriedAtMs.set(id, nowMs);
    await Promise.all(dueIds.map((id) => this._queryEngine(id)));
  }

  /**
   * Handles the restart of an engine's process, which loses all requests that used it. Moves the streams that had the engine as a later
   * stage, and aborts those that had it as their first, since they receive nothing more.
   * @param before - The endpoint before the restart.
   */
  private async _handleRestart(before: Endpoint): Promise<void> {
    const { id, listed } = before;
    const affected = [...this._attempts].filter(({ reservation }) =>
      reservation.stages.some((stage) => stage.endpointId === id),
    );
    for (const attempt of affected) void this._context.crashes.noteLost(attempt, before);
    const begunThere = affected.filter((attempt) => attempt.firstStage?.endpointId === id);
    for (const attempt of begunThere) attempt.abort.abort();
    const others = affected.filter((attempt) => !begunThere.includes(attempt));
    await Promise.all(others.map((attempt) => this._move(attempt, listed.address)));
  }

  /** Queries a first engine for its stalled requests and moves them, or aborts its silent streams if it does not respond. */
  private async _queryEngine(endpointId: string): Promise<void> {
    const endpoint = this._context.endpoints.get(endpointId);
    if (endpoint === undefined) return this._abortSilentStreams(endpointId);
    const report = await this._orders.getReport(endpoint.orderTarget, reportTimeoutMs);
    if (report.err) {
      this._context.failureDetector.noteUnresponsive(endpointId, `no report: ${report.val.code}`);
      return this._abortSilentStreams(endpointId);
    }
    endpoint.slowness = getSlowness(report.val);
    await this._moveStalled(endpointId, report.val);
  }

  /** Aborts the silent resumable streams that began at an unresponsive engine, so that they continue at another chain. */
  private _abortSilentStreams(endpointId: string): void {
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
    if (first.address === faultyAddress) return this._abandon(attempt, "the first engine has stalled");
    const faulty = findNamedEndpoint(this._context.endpoints, attempt.reservation.stages, faultyAddress);
    if (faulty !== undefined) void this._context.crashes.noteLost(attempt, faulty);
    if (this._context.crashes.getQuarantineMs(attempt.request) !== undefined)
      return this._abandon(attempt, "the request is quarantined");
    // The stream's own reservation must not count against it in the choice of its new chain.
    const before = attempt.reservation.stages;
    attempt.reservation.move([]);
    const chain = this._chooseReplacement(attempt, first, profile);
    // The new chain is reserved before the order is sent, so that streams moved at the same time do not all choose the same engine.
    attempt.reservation.move(chain ?? before);
    // Without a replacement the stream stays: its engine may recover, or capacity may become free, before the maximum silence.
    if (chain === undefined) return;
    const moved = await this._orders.changeChain(
      { id: first.endpointId, address: first.address },
      attempt.request.id,
      chain,
    );
    if (moved.err) {
      attempt.reservation.move(before);
      return this._handleRefusedMove(attempt, moved.val, chain);
    }
    attempt.lastActivityAtMs = this._nowMs();
    attempt.progress.moves += 1;
    this._context.log.info("chain-changed", {
      requestId: attempt.request.id,
      faultyAddress,
      chain: describeChain(chain),
    });
  }

  /** Chooses a chain with the same first engine and the same layers there. */
  private _chooseReplacement(
    attempt: StreamAttempt,
    first: ChainStage,
    profile: EngineProfile,
  ): ChainStage[] | undefined {
    return this._chooser.choose(this._context.endpoints.getUsable(attempt.service), profile, {
      ...estimateTokens(attempt.request.fields),
      availabilityZone: this._context.availabilityZone,
      firstEndpointId: first.endpointId,
      firstEnd: first.end,
      isRandomized: true,
    });
  }

  /**
   * Handles the rejection of a move. Abandons a stream that its first engine has lost. Otherwise the engine named in the rejection
   * has no capacity or has not loaded the layers, so the next checks choose another one until the stream reaches its maximum silence.
   */
  private _handleRefusedMove(attempt: StreamAttempt, error: OrderError, chain: readonly ChainStage[]): void {
    const isUnknown = error instanceof OrderRefusedError && error.status === unknownRequestStatus;
    if (isUnknown) return this._abandon(attempt, error.code);
    const address = error instanceof OrderRefusedError ? error.faultyAddress : undefined;
    const endpoint =
      address === undefined ? undefined : findNamedEndpoint(this._context.endpoints, chain, address);
    if (endpoint !== undefined) endpoint.avoidedUntilMs = this._nowMs() + refusedChangeBackoffMs;
    this._context.log.info("chain-change-refused", {
      requestId: attempt.request.id,
      address,
      cause: error.message,
    });
  }

  private _suspectAddress(address: string): void {
    const stages = [...this._attempts].flatMap(({ reservation }) => reservation.stages);
    const endpoint = findNamedEndpoint(this._context.endpoints, stages, address);
    if (endpoint !== undefined)
      void this._context.failureDetector.noteReportedFaulty(endpoint.id, "stalled chain");
  }

  private _abandon(attempt: StreamAttempt, cause: string): void {
    this._context.log.info("chain-given-up", { requestId: attempt.request.id, cause });
    if (attempt.request.isIdempotent) attempt.abort.abort();
  }
}

/** Returns the silence after which the first engine of the attempt is queried. */
function getAllowedSilenceMs(attempt: StreamAttempt): number {
  return attempt.hasEvents ? laterEventSilenceMs : firstEventSilenceMs;
}
