/** How slow an engine counts as, from its own report. */
import type { EngineReport } from "./EngineOrders.js";

/** Reports of slowness below this are ordinary variation. */
const slownessFloor = 1.2;
const nominalSlowness = 1;

/** The factor by which an engine is slower than its kind; nominal where that is ordinary variation. */
export function getSlowness(report: EngineReport): number {
  return report.slowness > slownessFloor ? report.slowness : nominalSlowness;
}
