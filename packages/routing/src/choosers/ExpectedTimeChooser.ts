/** Our choice: the chain with the least expected time for a token, over all stages at once. */
import type { utils } from "@shedtiller/common";
import type { EngineCandidate } from "../EndpointDirectory.js";
import { ChainChooser, type ChoiceOptions } from "./ChainChooser.js";

const crossZoneMs = 1.5;
/** Slight preference for the emptier of engines that are not full. */
const fillWeight = 0.5;
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

  /**
   * A batched step takes its time whether its slots are full or not, and a stream is at this engine only for its part of
   * the layers; so an engine costs no more until that many streams are there, and in proportion from then on.
   */
  private _getTimeMs(candidate: EngineCandidate, options: ChoiceOptions): number {
    const { entry, report, layers } = candidate;
    const linkMs = entry.availabilityZone === options.availabilityZone ? 0 : crossZoneMs;
    const part = (layers[1] - layers[0]) / options.layerCount;
    const fill = getExpectedLoad(candidate, options.instanceCount ?? 1) * part;
    const timeMs = linkMs + report.stepMs * (Math.max(1, fill) + fillWeight * fill);
    return timeMs * (1 + spread * this._random.nextUnit());
  }
}

/**
 * Streams per slot now: what was reported, and what began or ended here since. A report can be so old that it shows none
 * of a rush; but an instance knows its own streams, and takes the others to have as many, which keeps them all
 * from running to the same engine between two reports.
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

function unwind(path: Path): EngineCandidate[] {
  const chain: EngineCandidate[] = [];
  for (let step: Path | undefined = path; step?.last !== undefined; step = step.before)
    chain.unshift(step.last);
  return chain;
}
