/** Moves running streams to other engines, with the same first one. */
import type { ChainChooser } from "../chains/ChainChooser.js";
import { describeChain } from "../chains/describeChain.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import { expectTokens } from "../chains/expectTokens.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { OrderRefusedError, type EngineOrders, type OrderError } from "../orders/EngineOrders.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { StreamAttempt } from "./StreamAttempt.js";

/** An engine that refused a moved stream is left alone for as long as it may take to make room. */
const refusedChangeBackoffMs = 600;
/** The first engine does not know the request any more. */
const unknownRequestStatus = 404;
/** An engine that has no room is told at once, so the next chain is tried at once; more of it is left to the next look. */
const triesInARow = 3;

/** What became of a try; an engine that refused is left out of the next one. */
type MoveEnd = { readonly kind: "done" } | { readonly kind: "refused"; readonly address: string };

const done: MoveEnd = { kind: "done" };

/** One for an instance. */
export class StreamMover {
  constructor(
    private readonly _context: ForwardContext,
    private readonly _chooser: ChainChooser,
    private readonly _orders: EngineOrders,
    private readonly _nowMs: () => number,
  ) {}

  /** Moves a stream away from engines that are at fault. One that began at such an engine goes on elsewhere as a new run. */
  async move(attempt: StreamAttempt, faultyAddresses: readonly string[]): Promise<void> {
    const first = attempt.firstStage;
    const profile = this._context.keeper.table?.getEngineProfile(attempt.service);
    if (first === undefined || profile === undefined || attempt.isMoving) return;
    if (faultyAddresses.includes(first.address))
      return this._giveUp(attempt, "the first engine stands still");
    attempt.isMoving = true;
    const left = [...faultyAddresses];
    for (let tries = 0; tries < triesInARow; tries++) {
      const end = await this._tryMove(attempt, first, profile, left);
      if (end.kind === "done") break;
      left.push(end.address);
    }
    attempt.isMoving = false;
  }

  private async _tryMove(
    attempt: StreamAttempt,
    first: ChainStage,
    profile: EngineProfile,
    faultyAddresses: readonly string[],
  ): Promise<MoveEnd> {
    // The room that the stream holds now is its own, and must not look taken to it.
    const before = attempt.reservation.stages;
    attempt.reservation.move([]);
    const chain = this._chooseOther(attempt, first, profile, before, faultyAddresses);
    // The room counts at once, so that the streams moved with this one are not all sent to the same engine.
    attempt.reservation.move(chain ?? before);
    // Without another chain the stream waits: the engine may come back, the gap be closed, or room come free, before it is given up. With
    // zones of one copy, waiting earned 0.536 of the worth, and beginning anew elsewhere at once 0.519 (five days each).
    if (chain === undefined) return done;
    const target = { id: first.endpointId, address: first.address };
    const moved = await this._orders.changeChain(target, attempt.request.id, chain);
    if (moved.err) {
      attempt.reservation.move(before);
      return this._noteRefused(attempt, moved.val, chain, before);
    }
    const silenceMs = this._nowMs() - attempt.lastSignAtMs;
    attempt.lastSignAtMs = this._nowMs();
    attempt.progress.moves += 1;
    this._context.log.info("chain-changed", {
      requestId: attempt.request.id,
      faultyAddresses,
      silenceMs: Math.round(silenceMs),
      chain: describeChain(chain),
    });
    return done;
  }

  /**
   * Another chain with the same first engine and the same layers there. Engines of the chain that live keep their parts: they have read
   * the stream's tokens, and every other one has to read them again before the next event.
   */
  private _chooseOther(
    attempt: StreamAttempt,
    first: ChainStage,
    profile: EngineProfile,
    before: readonly ChainStage[],
    faultyAddresses: readonly string[],
  ): ChainStage[] | undefined {
    const usable = this._context.endpoints.getUsable(attempt.service);
    const sound = usable.filter((endpoint) => !faultyAddresses.includes(endpoint.listed.address));
    return this._chooser.choose(sound, profile, {
      ...expectTokens(attempt.request.fields),
      availabilityZone: this._context.availabilityZone,
      firstEndpointId: first.endpointId,
      firstEnd: first.end,
      isSpread: true,
      keptStages: before.filter((stage) => !faultyAddresses.includes(stage.address)),
    });
  }

  /**
   * The engine named has no room, or is not there: the next try takes another, until the stream is given up. One that is to keep a part
   * needs no room, so its refusal tells of a loss.
   */
  private _noteRefused(
    attempt: StreamAttempt,
    error: OrderError,
    chain: readonly ChainStage[],
    before: readonly ChainStage[],
  ): MoveEnd {
    if (error instanceof OrderRefusedError && error.status === unknownRequestStatus) {
      this._giveUp(attempt, error.code);
      return done;
    }
    const address = error instanceof OrderRefusedError ? error.faultyAddress : undefined;
    this._context.log.info("chain-change-refused", {
      requestId: attempt.request.id,
      address,
      cause: error.message,
    });
    const endpoint =
      address === undefined ? undefined : findNamedEndpoint(this._context.endpoints, chain, address);
    if (address === undefined || endpoint === undefined) return done;
    const isNamed = (stage: ChainStage): boolean => stage.address === address;
    if (before.some(isNamed)) void this._context.suspicions.noteNamed(endpoint.id, "part not there");
    else endpoint.refusedUntilMs = this._nowMs() + refusedChangeBackoffMs;
    return chain.some(isNamed) ? { kind: "refused", address } : done;
  }

  private _giveUp(attempt: StreamAttempt, cause: string): void {
    this._context.log.info("chain-given-up", { requestId: attempt.request.id, cause });
    if (attempt.request.isIdempotent) attempt.abort.abort();
  }
}
