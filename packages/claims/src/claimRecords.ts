/** Schemas of the records of the claims stream. One record contains many claims. */
import * as zod from "zod";

/** Name of the stream in the log. */
export const claimsStream = "claims";
export const claimRecordVersion = 1;

export const claimSchema = zod.object({
  /** The caller's time-stamped idempotency key (UUID version 7). */
  key: zod.string(),
  /** Id of this claim; a key may be claimed again after a claim was abandoned. */
  claimId: zod.string(),
});

export const claimRecordSchema = zod.object({
  version: zod.literal(claimRecordVersion),
  type: zod.literal("claims"),
  /** Instance that has made the claims. */
  holder: zod.string(),
  claims: zod.array(claimSchema),
  /** Claims of the holder whose work did not run and never will. */
  abandoned: zod.array(claimSchema),
});

export type Claim = zod.infer<typeof claimSchema>;
export type ClaimRecord = zod.infer<typeof claimRecordSchema>;
