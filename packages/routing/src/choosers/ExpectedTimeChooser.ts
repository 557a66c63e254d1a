/** Our choice: the chain with the least expected time for a token, over all stages at once. */
import type { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, type ChoiceOptions } from "./ChainChooser.js";

const crossZoneMs = 1.5;
/** Relative spread of the random factor that keeps instances with the same reports from choosing alike. */
const spread = 0.1;

/** Shortest path over layer boundaries; the length of an engine is its expected time for one step. */
export class ExpectedTimeChooser extends ChainChooser {
  readonly name = "expected-time";

  constructor(private readonly _random: utils.RandomSource) {
    super();
  }

  override choose(
    candidates: readonly EngineCandidate[],
    options: ChoiceOptions,
  ): EngineCandidate[] | undefined {
    const usable = candidates
      .filter((candidate) => options.excluded?.has(candidate.entry.name) !== true)
      .sort((a, b) => a.layers[0] - b.layers[0] || a.layers[1] - b.layers[1]);
    const best = new Map<number, Path>([[0, { timeMs: 0, last: undefined, before: undefined }]]);
    for (const candidate of usable) this._extend(best, candidate, options);
    const whole = best.get(options.layerCount);
    return whole === undefined ? undefined : unwind(whole);
  }

  protected override pickStage(fitting: readonly EngineCandidate[], options: ChoiceOptions): EngineCandidate {
    const timed = fitting.map((candidate) => ({ candidate, timeMs: this._getTimeMs(candidate, options) }));
    return timed.reduce((best, next) => (next.timeMs < best.timeMs ? next : best)).candidate;
  }

  /** Candidates come in order of their first layer, so each path that reaches it is final. */
  private _extend(best: Map<number, Path>, candidate: EngineCandidate, options: ChoiceOptions): void {
    const before = best.get(candidate.layers[0]);
    if (before === undefined) return;
    const timeMs = before.timeMs + this._getTimeMs(candidate, options);
    const known = best.get(candidate.layers[1]);
    if (known !== undefined && known.timeMs <= timeMs) return;
    best.set(candidate.layers[1], { timeMs, last: candidate, before });
  }

  private _getTimeMs(candidate: EngineCandidate, options: ChoiceOptions): number {
    const { entry, report } = candidate;
    const linkMs = entry.availabilityZone === options.availabilityZone ? 0 : crossZoneMs;
    const timeMs = linkMs + report.stepMs * (1 + getExpectedLoad(candidate));
    return timeMs * (1 + spread * this._random.nextUnit());
  }
}

/** Streams per slot now: what was reported, and what we ourselves began or ended since. */
export function getExpectedLoad(candidate: EngineCandidate): number {
  const { entry, report } = candidate;
  const sinceReport = entry.ownStreams - entry.ownStreamsAtReport;
  return Math.max(0, report.activeStreams + sinceReport) / report.slots;
}

interface Path {
  readonly timeMs: number;
  readonly last: EngineCandidate | undefined;
  readonly before: Path | undefined;
}

function unwind(path: Path): EngineCandidate[] {
  const chain: EngineCandidate[] = [];
  for (let step: Path | undefined = path; step?.last !== undefined; step = step.before)
    chain.unshift(step.last);
  return chain;
}
