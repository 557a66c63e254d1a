import type { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, pickFirst } from "./ChainChooser.js";

/** Chooses at random among the engines that can be the next stage, with equal probability. */
export class RandomChooser extends ChainChooser {
  readonly name = "random";

  constructor(private readonly _random: utils.RandomSource) {
    super();
  }

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    return this._random.pick(fitting) ?? pickFirst(fitting);
  }
}
