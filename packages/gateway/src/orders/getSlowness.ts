import type { EngineReport } from "./EngineOrders.js";

/** A reported slowness up to this value is ordinary variation. */
const slownessFloor = 1.2;
const nominalSlowness = 1;

/** Returns the factor by which an engine reports to be slower than its accelerator kind; 1 if the difference is ordinary variation. */
export function getSlowness(report: EngineReport): number {
  return report.slowness > slownessFloor ? report.slowness : nominalSlowness;
}
