/** What instances tell each other of crashes and of the requests under suspicion. Times are ages, since clocks differ. */
import * as zod from "zod";

const age = zod.number().nonnegative();
const digest = zod.string().min(1).max(64);

/** Requests under suspicion at one crash are told up to this many. */
export const mostToldSuspects = 64;
const mostToldItems = 2_048;

/** A crash of an endpoint's process, and the requests whose runs there had shown no sign of outliving their beginning. */
export const toldCrashSchema = zod.object({
  lifeId: zod.string().min(1).max(256),
  ageMs: age,
  /** Digests, each with the weight of the evidence. */
  suspects: zod.array(zod.tuple([digest, zod.number().positive().max(1)])).max(mostToldSuspects),
});
export type ToldCrash = zod.infer<typeof toldCrashSchema>;

/** A request whose run outlived its beginning: crashes before that were not its doing. */
export const toldClearingSchema = zod.object({ digest, ageMs: age });
export type ToldClearing = zod.infer<typeof toldClearingSchema>;

/** A request whose hold has ended, and which the sender tries now. */
export const toldTrialSchema = zod.object({ digest, ageMs: age });
export type ToldTrial = zod.infer<typeof toldTrialSchema>;

/** A request that is held back. */
export const toldHoldSchema = zod.object({
  digest,
  ageMs: age,
  leftMs: zod.number(),
  /** How often it was held back, this time included. */
  times: zod.number().int().positive(),
});
export type ToldHold = zod.infer<typeof toldHoldSchema>;

export const toldCrashesSchema = zod.object({
  crashes: zod.array(toldCrashSchema).max(mostToldItems),
  clearings: zod.array(toldClearingSchema).max(mostToldItems),
  holds: zod.array(toldHoldSchema).max(mostToldItems),
  trials: zod.array(toldTrialSchema).max(mostToldItems),
});
export type ToldCrashes = zod.infer<typeof toldCrashesSchema>;

/** Nothing to tell. */
export const noCrashReports: ToldCrashes = { crashes: [], clearings: [], holds: [], trials: [] };

/** Whether there is anything in it. */
export function isAnythingTold({ crashes, clearings, holds, trials }: ToldCrashes): boolean {
  return crashes.length + clearings.length + holds.length + trials.length > 0;
}
