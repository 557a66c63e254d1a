/** Intervals of periodic control messages, with which an instance's traffic stays within its budget at any fleet size. */
import { utils } from "@shedtiller/common";

/** Size and bandwidth budget of one kind of control message. */
export interface BudgetOptions {
  /** Size of one message on the wire. */
  readonly messageBytes: number;
  /** Number of peers that receive each message. */
  readonly receivers: number;
  /** Bandwidth of this kind of message over all receivers. */
  readonly bytesPerSecond: number;
  /** Lower bound of the interval. */
  readonly floorMs: number;
}

/** Returns the send interval: bytes per round ÷ bytes per second, but at least `floorMs`. */
export function getBudgetIntervalMs(options: BudgetOptions): number {
  const roundBytes = options.messageBytes * options.receivers;
  return Math.max(options.floorMs, (roundBytes / options.bytesPerSecond) * utils.msPerSecond);
}
