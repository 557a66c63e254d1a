/** Pipeline for tests of versions. */
import type { PipelineObject } from "@shedtiller/intent";

/** Creates a pipeline of eight layers whose version in force is "2". */
export function createPipeline(): PipelineObject {
  return {
    kind: "pipeline",
    name: "assistant",
    version: "2",
    layerCount: 8,
    tokensPerSecond: 0,
    clientAccounts: [],
  };
}
