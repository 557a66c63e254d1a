import * as zod from "zod";

/** A reading of the clock of an instance, by which its peers date its messages. */
export const clockReadingSchema = zod.object({
  /** Time of a steady clock, which never runs ahead of the time that has passed. */
  nowMs: zod.number(),
  /** Identifies the process that has the clock. */
  clockId: zod.string(),
});
export type ClockReading = zod.infer<typeof clockReadingSchema>;

/** Dates the messages of peers that carry ages, which count from the send of a message. */
export abstract class MessageClocks {
  /** Reads the clock of this instance, for a message to its peers. */
  abstract read(): ClockReading;

  /**
   * Returns for how long a message has been on its way, at most.
   * @param reading - The reading that the message carries; undefined if the peer is of an earlier version.
   * @returns 0 if the clock of the peer is not known.
   */
  abstract getDelayMs(peer: string, reading: ClockReading | undefined): number;
}
