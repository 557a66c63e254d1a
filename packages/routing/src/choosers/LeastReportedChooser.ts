import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser } from "./ChainChooser.js";
import { getReportedLoad } from "./getReportedLoad.js";

/** Chooses the engine with the least load according to its last report. */
export class LeastReportedChooser extends ChainChooser {
  readonly name = "least-reported";

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    return fitting.reduce((best, next) => (getReportedLoad(next) < getReportedLoad(best) ? next : best));
  }
}
