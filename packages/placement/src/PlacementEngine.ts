/** What the planner knows of an engine. */

/** Layers [first, past-the-last]. */
export type LayerRange = readonly [number, number];

/** One engine that may be given layers. */
export interface PlacementEngine {
  readonly name: string;
  readonly availabilityZone: string;
  /** Layer applications a second at a full batch: slots ÷ step time of one layer. */
  readonly layersPerSecond: number;
  /** Layers that fit into its memory. */
  readonly memoryLayers: number;
}

/** Which engine holds which layers. Engines that are left out hold none. */
export type Placement = ReadonlyMap<string, LayerRange>;

/** Tokens a second that one engine gives while it holds `count` layers. */
export function getEngineRate(engine: PlacementEngine, count: number): number {
  return engine.layersPerSecond / count;
}
