/** The choice of a chain of engines that covers all layers of a model. */
import type { EngineCandidate } from "../EndpointDirectory.js";

/** What a choice is made for. */
export interface ChoiceOptions {
  readonly layerCount: number;
  /** Availability zone of the choosing instance. */
  readonly availabilityZone: string;
  /** Instances that choose among the same engines, this one included; 1 where that is not known. */
  readonly instanceCount?: number;
  /** Endpoints that must not be chosen, for a retry. */
  readonly excluded?: ReadonlySet<string>;
}

/** Builds chains stage by stage; variants differ in how they pick among the engines that fit next. */
export abstract class ChainChooser {
  /** Name of the variant, for the bench and the metrics. */
  abstract readonly name: string;

  /** Gives a chain from layer 0 to the last, or undefined where the candidates don't cover the layers. */
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

  /** Picks one of the engines that fit at a boundary. There is always at least one. */
  protected abstract pickStage(fitting: readonly EngineCandidate[], options: ChoiceOptions): EngineCandidate;
}

/** The layer boundaries from which a chain can reach the last layer. */
export function getBoundariesThatReach(
  candidates: readonly Pick<EngineCandidate, "layers">[],
  layerCount: number,
): Set<number> {
  const reaching = new Set([layerCount]);
  const byEnd = [...candidates].sort((a, b) => b.layers[1] - a.layers[1] || b.layers[0] - a.layers[0]);
  for (const candidate of byEnd) if (reaching.has(candidate.layers[1])) reaching.add(candidate.layers[0]);
  return reaching;
}

/** Picks one of a list that has at least one item. */
export function pickFirst<T>(items: readonly T[]): T {
  return items[0] as T;
}
