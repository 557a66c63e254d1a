import type { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, pickFirst } from "./ChainChooser.js";
import { getReportedLoad } from "./getReportedLoad.js";

/** Chooses the less loaded of two random engines, according to their last reports (Mitzenmacher, 2001). */
export class TwoChoicesChooser extends ChainChooser {
  readonly name = "two-choices";

  constructor(private readonly _random: utils.RandomSource) {
    super();
  }

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    const first = this._random.pick(fitting) ?? pickFirst(fitting);
    const second = this._random.pick(fitting) ?? pickFirst(fitting);
    return getReportedLoad(second) < getReportedLoad(first) ? second : first;
  }
}
