/**
 * Messages between instances about crashes and suspected traits of requests. They contain ages rather than times, since the clocks of
 * instances differ. A trait is in the field `digest`, the name that earlier builds read.
 */
import { clockReadingSchema } from "@shedtiller/membership";
import * as zod from "zod";

const age = zod.number().nonnegative();
const digest = zod.string().min(1).max(64);

/** Maximum number of suspects in one message; further ones of the same crash are in messages of their own. */
export const maxSuspectsPerMessage = 64;
const maxItems = 2_048;

/** A crash of an endpoint's process, and the traits of the requests whose runs there had not survived their initial phase. */
export const crashMessageSchema = zod.object({
  lifeId: zod.string().min(1).max(256),
  ageMs: age,
  /** Traits, each with the weight of the evidence. */
  suspects: zod.array(zod.tuple([digest, zod.number().positive().max(1)])).max(maxSuspectsPerMessage),
});
export type CrashMessage = zod.infer<typeof crashMessageSchema>;

/** A trait with a run that survived its initial phase, so that earlier crashes no longer count against the trait. */
export const clearingMessageSchema = zod.object({ digest, ageMs: age });
export type ClearingMessage = zod.infer<typeof clearingMessageSchema>;

/** A trait whose quarantine has ended, and of which the sender is trying a request now. */
export const trialMessageSchema = zod.object({ digest, ageMs: age });
export type TrialMessage = zod.infer<typeof trialMessageSchema>;

/** A quarantined trait. */
export const quarantineMessageSchema = zod.object({
  digest,
  ageMs: age,
  leftMs: zod.number(),
  /** How often the trait was quarantined, including this time. */
  times: zod.number().int().positive(),
  /** Whether a trial has shown that it is this trait; absent from messages of earlier builds. */
  isConvicted: zod.boolean().optional(),
});
export type QuarantineMessage = zod.infer<typeof quarantineMessageSchema>;

export const crashReportsMessageSchema = zod.object({
  crashes: zod.array(crashMessageSchema).max(maxItems),
  clearings: zod.array(clearingMessageSchema).max(maxItems),
  holds: zod.array(quarantineMessageSchema).max(maxItems),
  trials: zod.array(trialMessageSchema).max(maxItems),
  /** When the message was sent, by the sender's clock; absent from messages of earlier builds. */
  sent: clockReadingSchema.optional(),
});
export type CrashReportsMessage = zod.infer<typeof crashReportsMessageSchema>;

/** An empty message. */
export const noCrashReports: CrashReportsMessage = { crashes: [], clearings: [], holds: [], trials: [] };

/** Returns whether a message contains any report. */
export function hasCrashReports({ crashes, clearings, holds, trials }: CrashReportsMessage): boolean {
  return crashes.length + clearings.length + holds.length + trials.length > 0;
}

/** Returns reports that have been on their way for a while, with the ages and remaining times that they have at their arrival. */
export function addDelay(reports: CrashReportsMessage, delayMs: number): CrashReportsMessage {
  const age = <T extends { readonly ageMs: number }>(items: readonly T[]): T[] =>
    items.map((item) => ({ ...item, ageMs: item.ageMs + delayMs }));
  return {
    crashes: age(reports.crashes),
    clearings: age(reports.clearings),
    holds: age(reports.holds).map((hold) => ({ ...hold, leftMs: hold.leftMs - delayMs })),
    trials: age(reports.trials),
  };
}
