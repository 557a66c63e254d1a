/** Intervals of control messages, chosen so that a node's traffic stays under its share whatever the fleet's size. */
import { utils } from "@shedtiller/common";

/** What one kind of message may cost. */
export interface BudgetOptions {
  /** Size of one message on the wire. */
  readonly messageBytes: number;
  /** Peers that get it. */
  readonly receivers: number;
  /** What the kind may send, in all. */
  readonly bytesPerSecond: number;
  /** The interval never gets shorter. */
  readonly floorMs: number;
}

/** interval = bytes a round ÷ bytes a second, and never under the floor. */
export function getBudgetIntervalMs(options: BudgetOptions): number {
  const roundBytes = options.messageBytes * options.receivers;
  return Math.max(options.floorMs, (roundBytes / options.bytesPerSecond) * utils.msPerSecond);
}
