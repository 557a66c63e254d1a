/** The engines and placements of the planner. */

/** A range of layers as a tuple of the first layer and the exclusive end. */
export type LayerRange = readonly [number, number];

/** An engine to which the planner can assign layers. */
export interface PlacementEngine {
  readonly name: string;
  readonly availabilityZone: string;
  /** Layer applications per second at a full batch: slots ÷ step time of one layer. */
  readonly layersPerSecond: number;
  /** Number of layers that fit in the engine's memory. */
  readonly memoryLayers: number;
}

/** Layer range by engine name. Engines without layers are absent. */
export type Placement = ReadonlyMap<string, LayerRange>;

/** Returns the tokens per second of an engine with `count` layers. */
export function getEngineRate(engine: PlacementEngine, count: number): number {
  return engine.layersPerSecond / count;
}
