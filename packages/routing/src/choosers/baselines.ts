/** Simple chain choosers that serve as baselines in the benchmark. */
import { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, pickFirst } from "./ChainChooser.js";

/** Returns the streams per slot according to the last report. */
export function getReportedLoad(candidate: EngineCandidate): number {
  return candidate.report.activeStreams / candidate.report.slots;
}

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

/** Chooses the engine with the least load according to its last report. */
export class LeastReportedChooser extends ChainChooser {
  readonly name = "least-reported";

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    return fitting.reduce((best, next) => (getReportedLoad(next) < getReportedLoad(best) ? next : best));
  }
}

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
