/**
 * Messages between instances about crashes and suspected requests. They contain ages rather than times, since the clocks of instances
 * differ.
 */
import * as zod from "zod";

const age = zod.number().nonnegative();
const digest = zod.string().min(1).max(64);

/** Maximum number of suspects that are reported for one crash. */
export const maxSuspectsPerCrash = 64;
const maxItems = 2_048;

/** A crash of an endpoint's process, and the requests whose runs there had not survived their initial phase. */
export const crashMessageSchema = zod.object({
  lifeId: zod.string().min(1).max(256),
  ageMs: age,
  /** Digests, each with the weight of the evidence. */
  suspects: zod.array(zod.tuple([digest, zod.number().positive().max(1)])).max(maxSuspectsPerCrash),
});
export type CrashMessage = zod.infer<typeof crashMessageSchema>;

/** A request with a run that survived its initial phase, so that earlier crashes no longer count against the request. */
export const clearingMessageSchema = zod.object({ digest, ageMs: age });
export type ClearingMessage = zod.infer<typeof clearingMessageSchema>;

/** A request whose quarantine has ended and which the sender is trying now. */
export const trialMessageSchema = zod.object({ digest, ageMs: age });
export type TrialMessage = zod.infer<typeof trialMessageSchema>;

/** A quarantined request. */
export const quarantineMessageSchema = zod.object({
  digest,
  ageMs: age,
  leftMs: zod.number(),
  /** How often the request was quarantined, including this time. */
  times: zod.number().int().positive(),
});
export type QuarantineMessage = zod.infer<typeof quarantineMessageSchema>;

export const crashReportsMessageSchema = zod.object({
  crashes: zod.array(crashMessageSchema).max(maxItems),
  clearings: zod.array(clearingMessageSchema).max(maxItems),
  holds: zod.array(quarantineMessageSchema).max(maxItems),
  trials: zod.array(trialMessageSchema).max(maxItems),
});
export type CrashReportsMessage = zod.infer<typeof crashReportsMessageSchema>;

/** An empty message. */
export const noCrashReports: CrashReportsMessage = { crashes: [], clearings: [], holds: [], trials: [] };

/** Returns whether a message contains any report. */
export function hasCrashReports({ crashes, clearings, holds, trials }: CrashReportsMessage): boolean {
  return crashes.length + clearings.length + holds.length + trials.length > 0;
}
