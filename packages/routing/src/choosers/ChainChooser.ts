import type { EngineCandidate } from "../EndpointDirectory.js";

/** Parameters of a choice. */
export interface ChoiceOptions {
  readonly layerCount: number;
  /** Availability zone of the choosing instance. */
  readonly availabilityZone: string;
  /** Number of instances that choose among the same engines, including this one; 1 if the number is unknown. */
  readonly instanceCount?: number;
  /** Names of endpoints that must not be chosen, for a retry. */
  readonly excluded?: ReadonlySet<string>;
}

/**
 * Chooses a chain of engines that covers all layers of a model, stage by stage. Subclasses differ in how they choose among the engines that
 * can be the next stage.
 */
export abstract class ChainChooser {
  /** Name of the variant, for the benchmark and the metrics. */
  abstract readonly name: string;

  /** Returns a chain from the first layer to the last, or undefined if the candidates don't cover the layers. */
  choose(candidates: readonly EngineCandidate[], options: ChoiceOptions): EngineCandidate[] | undefined {
    const usable = candidates.filter((candidate) => options.excluded?.has(candidate.entry.name) !== true);
    const reachesEnd = getBoundariesThatReach(usable, options.layerCount);
    if (!reachesEnd.has(0)) return undefined;
    const chain: EngineCandidate[] = [];
    let boundary = 0;
    while (boundary < options.layerCount) {
      const fitting = usable.filter((c) => c.layers[0] === boundary && reachesEnd.has(c.layers[1]));
      const next = this.pickStage(fitting, options);
      chain.push(next);
      boundary = next.layers[1];
    }
    return chain;
  }

  /** Chooses one of the engines that can be the next stage; `fitting` contains at least one engine. */
  protected abstract pickStage(fitting: readonly EngineCandidate[], options: ChoiceOptions): EngineCandidate;
}

/** Returns the layer boundaries from which a chain can reach the last layer. */
export function getBoundariesThatReach(
  candidates: readonly Pick<EngineCandidate, "layers">[],
  layerCount: number,
): Set<number> {
  const boundaries = new Set([layerCount]);
  const byEnd = [...candidates].sort((a, b) => b.layers[1] - a.layers[1] || b.layers[0] - a.layers[0]);
  for (const candidate of byEnd) if (boundaries.has(candidate.layers[1])) boundaries.add(candidate.layers[0]);
  return boundaries;
}

/** Returns the first item of a list that has at least one. */
export function pickFirst<T>(items: readonly T[]): T {
  return items[0] as T;
}
