import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, pickFirst } from "./ChainChooser.js";

/** Chooses in turn among the engines that can be the next stage. */
export class RoundRobinChooser extends ChainChooser {
  readonly name = "round-robin";
  private readonly _turns = new Map<number, number>();

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    const boundary = pickFirst(fitting).layers[0];
    const turn = this._turns.get(boundary) ?? 0;
    this._turns.set(boundary, turn + 1);
    return fitting[turn % fitting.length] ?? pickFirst(fitting);
  }
}
