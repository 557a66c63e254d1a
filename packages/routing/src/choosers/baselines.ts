/** Simple variants, kept as baselines that the bench compares against. */
import { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, pickFirst } from "./ChainChooser.js";

/** Streams per slot that the last report shows. */
export function getReportedLoad(candidate: EngineCandidate): number {
  return candidate.report.activeStreams / candidate.report.slots;
}

/** Any engine that fits, each as likely as the next. */
export class RandomChooser extends ChainChooser {
  readonly name = "random";

  constructor(private readonly _random: utils.RandomSource) {
    super();
  }

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    return this._random.pick(fitting) ?? pickFirst(fitting);
  }
}

/** Each engine that fits in turn. */
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

/** The engine whose last report shows the least load. */
export class LeastReportedChooser extends ChainChooser {
  readonly name = "least-reported";

  protected override pickStage(fitting: readonly EngineCandidate[]): EngineCandidate {
    return fitting.reduce((best, next) => (getReportedLoad(next) < getReportedLoad(best) ? next : best));
  }
}

/** The better reported of two random engines (Mitzenmacher, 2001). */
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
