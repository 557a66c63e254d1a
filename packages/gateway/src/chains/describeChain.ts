/** A chain in words, for log lines. */
import type { ChainStage } from "../http/MessageCodec.js";

/** Each stage as `address=start-end`, the first engine first. */
export function describeChain(chain: readonly ChainStage[]): string[] {
  return chain.map((stage) => `${stage.address}=${stage.start}-${stage.end}`);
}
