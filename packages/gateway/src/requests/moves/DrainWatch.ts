/** Moves of streams off engines that are about to stop. */
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../../discovery/Endpoint.js";
import type { EndpointEvent } from "../../discovery/EndpointTable.js";
import type { ForwardContext } from "../RequestForwarder.js";
import type { StreamAttempt } from "../StreamAttempt.js";
import { getRemainingMs } from "./getRemainingMs.js";
import { LeavingEngines, type DueEngine } from "./LeavingEngines.js";
import { moveIntervalMs, type MoveOrder, type StreamMover } from "./StreamMover.js";

/** Dependencies of {@link DrainWatch}. */
export interface DrainWatchStructure {
  readonly context: ForwardContext;
  readonly mover: StreamMover;
  /** The running streams. */
  readonly attempts: ReadonlySet<StreamAttempt>;
  /** Time for which a draining engine serves. */
  readonly drainMs: number;
  readonly checkIntervalMs: number;
  /** Monotonic clock. */
  readonly nowMs: () => number;
}

/** Moves the streams that would still run when one of their engines stops; the others are left alone, since a move costs a read. */
export class DrainWatch {
  private readonly _leaving: LeavingEngines;

  constructor(private readonly _structure: DrainWatchStructure) {
    this._leaving = new LeavingEngines(_structure.drainMs);
    _structure.context.endpoints.onChanged((endpoint, event) => this._noteLeaving(endpoint, event));
  }

  /** Moves the streams that would still run when their engine stops. */
  async check(): Promise<void> {
    const { endpoints } = this._structure.context;
    const countListed = (service: string, zone: string): number =>
      endpoints.getUsable(service).filter(({ listed }) => listed.availabilityZone === zone).length;
    const due = this._leaving.getDue(this._structure.nowMs(), countListed);
    await Promise.all(due.map((engine) => this._leaveEngine(engine)));
  }

  private _noteLeaving(endpoint: Endpoint, event: EndpointEvent): void {
    const nowMs = this._structure.nowMs();
    if (event === "draining") this._leaving.noteDraining(endpoint, nowMs);
    if (event === "gone") this._leaving.noteGone(endpoint, nowMs);
    if (event === "added" || event === "restarted") this._leaving.remove(endpoint.id);
  }

  /** Moves a part of the streams of an engine that stops soon, those that run on for the longest time first. */
  private async _leaveEngine({ endpoint, leftMs, stopsInMs }: DueEngine): Promise<void> {
    const { attempts, checkIntervalMs, mover, nowMs } = this._structure;
    const profile = this._getProfile(endpoint.listed.service);
    if (profile === undefined) return;
    const atMs = nowMs();
    const remaining = [...attempts]
      .filter((attempt) => this._maySpare(attempt, endpoint.id, atMs))
      .map((attempt) => ({ attempt, remainingMs: getRemainingMs(attempt, profile, atMs) }))
      .filter(({ remainingMs }) => remainingMs > stopsInMs)
      .sort((a, b) => b.remainingMs - a.remainingMs);
    const checksLeft = Math.max(1, Math.floor(leftMs / checkIntervalMs));
    const moved = remaining.slice(0, Math.ceil(remaining.length / checksLeft));
    const order: MoveOrder = {
      faultyAddresses: [endpoint.listed.address],
      cause: "draining",
      stopsInMs,
    };
    await Promise.all(moved.map(({ attempt }) => mover.move(attempt, order)));
  }

  /** Returns whether an engine of a stream can be replaced now: it is not the first one, and no other move has just been tried. */
  private _maySpare(attempt: StreamAttempt, endpointId: string, atMs: number): boolean {
    if (attempt.endpointId === endpointId || atMs - attempt.triedMoveAtMs < moveIntervalMs) return false;
    return attempt.reservation.stages.some((stage) => stage.endpointId === endpointId);
  }

  private _getProfile(service: string): EngineProfile | undefined {
    return this._structure.context.activeConfiguration.table?.getEngineProfile(service);
  }
}
