import type { EngineCandidate } from "../EndpointDirectory.js";

/** Returns the streams per slot according to the last report. */
export function getReportedLoad(candidate: EngineCandidate): number {
  return candidate.report.activeStreams / candidate.report.slots;
}
