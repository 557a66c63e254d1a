import type { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, type ChoiceOptions } from "./ChainChooser.js";

/** Time added for an engine in another availability zone. */
const crossZoneMs = 1.5;
/** Weight of an engine's load in the expected time, which slightly favours the less loaded one of two engines that are not full. */
const fillWeight = 0.5;
/** Relative spread of the random factor that keeps instances with the same reports from making the same choice. */
const spread = 0.1;

/**
 * Chooses the chain with the least expected time per token over all stages, as the shortest path over layer boundaries. Each engine is an
 * edge whose length is the engine's expected time for one step.
 */
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
    const path = best.get(options.layerCount);
    return path === undefined ? undefined : toChain(path);
  }

  protected override pickStage(fitting: readonly EngineCandidate[], options: ChoiceOptions): EngineCandidate {
    const timed = fitting.map((candidate) => ({ candidate, timeMs: this._getTimeMs(candidate, options) }));
    return timed.reduce((best, next) => (next.timeMs < best.timeMs ? next : best)).candidate;
  }

  /** Extends the best path to the candidate's first layer, which is final since candidates are processed in order of their first layers. */
  private _extend(best: Map<number, Path>, candidate: EngineCandidate, options: ChoiceOptions): void {
    const before = best.get(candidate.layers[0]);
    if (before === undefined) return;
    const timeMs = before.timeMs + this._getTimeMs(candidate, options);
    const known = best.get(candidate.layers[1]);
    if (known !== undefined && known.timeMs <= timeMs) return;
    best.set(candidate.layers[1], { timeMs, last: candidate, before });
  }

  /**
   * Returns the expected time of a step at an engine. A batched step takes the same time whether or not its slots are full, and a stream
   * occupies the engine only for its share of the layers. An engine therefore costs no more until its slots are filled, and proportionally
   * more from then on.
   */
  private _getTimeMs(candidate: EngineCandidate, options: ChoiceOptions): number {
    const { entry, report, layers } = candidate;
    const linkMs = entry.availabilityZone === options.availabilityZone ? 0 : crossZoneMs;
    const share = (layers[1] - layers[0]) / options.layerCount;
    const fill = getExpectedLoad(candidate, options.instanceCount ?? 1) * share;
    const timeMs = linkMs + report.stepMs * (Math.max(1, fill) + fillWeight * fill);
    return timeMs * (1 + spread * this._random.nextUnit());
  }
}

/**
 * Returns the expected streams per slot: the reported ones, corrected by the streams of this instance that have begun or ended since. A
 * report can be too old to show a sudden rise in load; assuming that the other instances have as many streams as this one keeps all
 * instances from choosing the same engine between two reports.
 */
export function getExpectedLoad(candidate: EngineCandidate, instanceCount: number): number {
  const { entry, report } = candidate;
  const reported = report.activeStreams + entry.ownStreams - entry.ownStreamsAtReport;
  return Math.max(0, reported, entry.ownStreams * instanceCount) / report.slots;
}

interface Path {
  readonly timeMs: number;
  readonly last: EngineCandidate | undefined;
  readonly before: Path | undefined;
}

function toChain(path: Path): EngineCandidate[] {
  const chain: EngineCandidate[] = [];
  for (let step: Path | undefined = path; step?.last !== undefined; step = step.before)
    chain.unshift(step.last);
  return chain;
}
