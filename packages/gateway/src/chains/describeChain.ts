/** The text form of a chain for log lines. */
import type { ChainStage } from "../http/MessageCodec.js";

/** Returns each stage as `address=start-end`, in the order of the chain. */
export function describeChain(chain: readonly ChainStage[]): string[] {
  return chain.map((stage) => `${stage.address}=${stage.start}-${stage.end}`);
}
