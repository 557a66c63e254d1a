/** Moves of running streams to other engines, with the same first engine. */
import type { ChainChooser } from "../../chains/ChainChooser.js";
import { describeChain } from "../../chains/describeChain.js";
import { estimateTokens } from "../../chains/estimateTokens.js";
import { findNamedEndpoint } from "../../chains/findNamedEndpoint.js";
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { getEvidence } from "../../discovery/SuspicionEvidence.js";
import type { ChainStage } from "../../http/MessageCodec.js";
import { OrderRefusedError, type EngineOrders, type OrderError } from "../../orders/EngineOrders.js";
import type { ForwardContext } from "../RequestForwarder.js";
import type { DoubtCause, StreamAttempt } from "../StreamAttempt.js";
import type { MoveCause } from "./EarlyMoves.js";
import { findDetour } from "./findDetour.js";
import { getDetourCandidates } from "./getDetourCandidates.js";

/** Minimum time between two tries to move a stream without a report of its engines. */
export const moveIntervalMs = 300;
/** Time for which an engine that rejected a moved stream gets no work from this instance: twice the interval between queries. */
const refusedChangeBackoffMs = 600;
/** Status of an engine that has no such request any more. */
const unknownRequestStatus = 404;
/** Maximum number of chains that a stream tries one after the other; later checks try again. */
const maxTries = 3;

/** Result of one try. A stream stays if there is no other chain or it has been given up. */
type TryResult =
  { readonly kind: "moved" | "stays" } | { readonly kind: "refused"; readonly address: string };

const stays: TryResult = { kind: "stays" };

/** Dependencies of {@link StreamMover}. */
export interface StreamMoverStructure {
  readonly context: ForwardContext;
  readonly chooser: ChainChooser;
  readonly orders: EngineOrders;
  /** Monotonic clock. */
  readonly nowMs: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** A move of a stream off some engines of its chain. */
export interface MoveOrder {
  readonly faultyAddresses: readonly string[];
  readonly cause: MoveCause;
  /** Age of the evidence against the engines. */
  readonly evidenceAgeMs?: number | undefined;
  /** Time until a draining engine may stop. */
  readonly stopsInMs?: number;
}

/** Moves streams. Each instance has one mover. */
export class StreamMover {
  constructor(private readonly _structure: StreamMoverStructure) {}

  /** Moves a stream, or doubts its run if its first engine is at fault, so that a successor starts at another chain. */
  async move(attempt: StreamAttempt, order: MoveOrder): Promise<void> {
    const { context } = this._structure;
    const first = attempt.firstStage;
    const profile = context.activeConfiguration.table?.getEngineProfile(attempt.service);
    if (first === undefined || profile === undefined) return;
    attempt.triedMoveAtMs = this._structure.nowMs();
    if (order.faultyAddresses.includes(first.address))
      return this._doubt(attempt, "engine-suspected", order.cause);
    // Engines get no new work for a caller that may have left; a later check moves the stream.
    if (attempt.isMoving || attempt.request.isCallerInDoubt) return;
    if (order.cause !== "draining") this._noteLost(attempt, order);
    // No further engine gets a quarantined request; the run stays where it is.
    if (context.crashes.getQuarantineMs(attempt.request) !== undefined) return;
    attempt.isMoving = true;
    await this._tryChains(attempt, profile, order);
    attempt.isMoving = false;
  }

  /** Returns the stages of an attempt whose engines are suspected by more than the word of another engine, or are not listed any more. */
  getLostStages(attempt: StreamAttempt): ChainStage[] {
    const { endpoints } = this._structure.context;
    const nowMs = this._structure.nowMs();
    return attempt.reservation.stages.filter(({ endpointId }) => {
      const endpoint = endpoints.get(endpointId);
      return endpoint === undefined || (endpoint.isSuspect(nowMs) && endpoint.evidence !== "reported");
    });
  }

  private _noteLost(attempt: StreamAttempt, { faultyAddresses }: MoveOrder): void {
    const { endpoints, crashes } = this._structure.context;
    for (const address of faultyAddresses) {
      const faulty = findNamedEndpoint(endpoints, attempt.reservation.stages, address);
      if (faulty !== undefined) void crashes.noteLost(attempt, faulty);
    }
  }

  private async _tryChains(attempt: StreamAttempt, profile: EngineProfile, order: MoveOrder): Promise<void> {
    const isEarly = this._structure.context.controls.earlyMoves !== undefined;
    const faulty = new Set(order.faultyAddresses);
    for (let tries = 0; tries < maxTries; tries++) {
      // Other engines of the chain may have been lost since.
      if (isEarly) for (const stage of this._getLostLaterStages(attempt)) faulty.add(stage.address);
      const result = await this._tryMove(attempt, profile, { ...order, faultyAddresses: [...faulty] });
      if (!isEarly || result.kind === "stays" || attempt.abort.signal.aborted) return;
      if (result.kind === "moved" && this._getLostLaterStages(attempt).length === 0) return;
      // An engine of the chain that was to keep its layers does not have them any more.
      if (result.kind === "refused") faulty.add(result.address);
    }
  }

  /** Returns the lost stages that can be replaced; the first one can't. */
  private _getLostLaterStages(attempt: StreamAttempt): ChainStage[] {
    return this.getLostStages(attempt).filter((stage) => stage !== attempt.firstStage);
  }

  private async _tryMove(
    attempt: StreamAttempt,
    profile: EngineProfile,
    order: MoveOrder,
  ): Promise<TryResult> {
    const { context, nowMs, orders } = this._structure;
    const first = attempt.firstStage;
    if (first === undefined || order.faultyAddresses.includes(first.address)) return stays;
    const before = attempt.reservation.stages;
    const chain = this._chooseChain(attempt, profile, order);
    // The new chain is reserved before the order is sent, so that streams moved at the same time do not all choose the same engine.
    attempt.reservation.move(chain ?? before);
    if (chain !== undefined) context.restarts.notePlaced(getNewStages(before, chain));
    // Without a replacement the stream stays: its engine may recover, or capacity may become free, before the maximum silence.
    if (chain === undefined) return stays;
    const target = { id: first.endpointId, address: first.address };
    const moved = await orders.changeChain(target, attempt.request.id, chain);
    if (moved.err) {
      attempt.reservation.move(before);
      return this._handleRefusal(attempt, moved.val, { before, chain });
    }
    const silenceMs = nowMs() - attempt.lastActivityAtMs;
    attempt.noteMoved(nowMs());
    attempt.progress.moves += 1;
    this._logMove(attempt, order, silenceMs);
    return { kind: "moved" };
  }

  /** Chooses a chain with the same first engine and the same layers there; the engines that remain keep their layers if possible. */
  private _chooseChain(
    attempt: StreamAttempt,
    profile: EngineProfile,
    order: MoveOrder,
  ): readonly ChainStage[] | undefined {
    const { context, chooser } = this._structure;
    const isFaulty = (address: string): boolean => order.faultyAddresses.includes(address);
    const usable = context.endpoints.getUsable(attempt.service);
    const sound = usable.filter(({ listed }) => !isFaulty(listed.address));
    const detour = this._findDetour(attempt, profile, sound, isFaulty);
    if (detour !== undefined) return detour;
    const first = attempt.firstStage;
    // The stream's own reservation must not count against it in the choice of its new chain.
    attempt.reservation.move([]);
    return chooser.choose(sound, profile, {
      ...estimateTokens(attempt.request.fields),
      availabilityZone: context.availabilityZone,
      assumedRestarts: context.restarts.getAssumed(),
      firstEndpointId: first?.endpointId,
      firstEnd: first?.end,
      isRandomized: true,
    });
  }

  /** Finds engines of the first engine's zone for just the lost layers of a stream; undefined if there are none, or moves are not early. */
  private _findDetour(
    attempt: StreamAttempt,
    profile: EngineProfile,
    endpoints: readonly Endpoint[],
    isFaulty: (address: string) => boolean,
  ): readonly ChainStage[] | undefined {
    const { context, nowMs, random } = this._structure;
    const first = attempt.firstStage;
    const availabilityZone = first && context.endpoints.get(first.endpointId)?.listed.availabilityZone;
    if (context.controls.earlyMoves === undefined || availabilityZone === undefined) return undefined;
    const demand = { ...estimateTokens(attempt.request.fields), availabilityZone };
    const candidates = getDetourCandidates({ endpoints, profile, demand, nowMs: nowMs(), random });
    const isLost = ({ address }: ChainStage): boolean => isFaulty(address);
    return findDetour({ stages: attempt.reservation.stages, isLost, candidates, demand });
  }

  /**
   * Handles the rejection of a move. Doubts a run that its first engine does not know. Otherwise the engine named in the rejection
   * has no capacity or has not loaded the layers, so another one is chosen until the stream reaches its maximum silence.
   */
  private _handleRefusal(
    attempt: StreamAttempt,
    error: OrderError,
    { before, chain }: { readonly before: readonly ChainStage[]; readonly chain: readonly ChainStage[] },
  ): TryResult {
    const { context, nowMs } = this._structure;
    if (error instanceof OrderRefusedError && error.status === unknownRequestStatus) {
      this._doubt(attempt, "request-unknown", "lost");
      return stays;
    }
    const address = error instanceof OrderRefusedError ? error.faultyAddress : undefined;
    const endpoint = address === undefined ? undefined : findNamedEndpoint(context.endpoints, chain, address);
    if (endpoint !== undefined) endpoint.avoidedUntilMs = nowMs() + refusedChangeBackoffMs;
    context.log.info("chain-change-refused", {
      requestId: attempt.request.id,
      address,
      cause: error.message,
    });
    if (!(error instanceof OrderRefusedError)) this._noteUnanswered(attempt, error);
    const wasKept = before.some((stage) => stage.endpointId === endpoint?.id);
    if (wasKept && endpoint !== undefined) this._noteKeptRefused(endpoint);
    return address === undefined || endpoint === undefined ? stays : { kind: "refused", address };
  }

  /** Records that an engine lacks layers of a stream that it was running: it has probably been lost with the others. */
  private _noteKeptRefused(endpoint: Endpoint): void {
    const { context } = this._structure;
    if (context.controls.earlyMoves === undefined) return;
    void context.failureDetector.noteReportedFaulty(endpoint.id, "layers of a stream are gone");
  }

  /** Records that the first engine did not answer an order; it may have taken the order. */
  private _noteUnanswered(attempt: StreamAttempt, error: OrderError): void {
    const { context } = this._structure;
    if (context.controls.earlyMoves === undefined) return;
    context.failureDetector.noteUnresponsive(
      attempt.endpointId,
      `move unanswered: ${error.code}`,
      getEvidence(error),
    );
  }

  private _doubt(attempt: StreamAttempt, cause: DoubtCause, sign: MoveCause): void {
    const { controls } = this._structure.context;
    if (attempt.abort.signal.aborted || !attempt.request.isIdempotent) return;
    if (attempt.doubt === undefined) controls.earlyMoves?.noteMove(attempt.service, sign);
    attempt.noteDoubt(cause);
  }

  private _logMove(attempt: StreamAttempt, order: MoveOrder, silenceMs: number): void {
    const { context } = this._structure;
    context.controls.earlyMoves?.noteMove(attempt.service, order.cause);
    context.log.info("chain-changed", {
      requestId: attempt.request.id,
      faultyAddress: order.faultyAddresses[0],
      faultyAddresses: order.faultyAddresses,
      cause: order.cause,
      silenceMs: Math.round(silenceMs),
      stopsInMs: order.stopsInMs === undefined ? undefined : Math.round(order.stopsInMs),
      evidenceAgeMs: order.evidenceAgeMs === undefined ? undefined : Math.round(order.evidenceAgeMs),
      chain: describeChain(attempt.reservation.stages),
    });
  }
}

/** Returns the age of the newest evidence against some endpoints; undefined if there is none. */
export function getEvidenceAgeMs(endpoints: readonly Endpoint[], nowMs: number): number | undefined {
  if (endpoints.length === 0) return undefined;
  return nowMs - Math.max(...endpoints.map((endpoint) => endpoint.suspectedAtMs));
}

/** Returns the stages of a chain whose engines were not in the chain before. */
function getNewStages(before: readonly ChainStage[], chain: readonly ChainStage[]): ChainStage[] {
  const known = new Set(before.map((stage) => stage.endpointId));
  return chain.filter((stage) => !known.has(stage.endpointId));
}
