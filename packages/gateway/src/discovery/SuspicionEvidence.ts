/** How certain it is that a suspected endpoint no longer works. */
import { errors } from "@shedtiller/common";
import * as zod from "zod";
import { isRefused } from "../http/isRefused.js";
import { OrderRefusedError, type OrderError } from "../orders/EngineOrders.js";

/**
 * Evidence of a suspicion, in the order of its strength. `reported`: another engine waits for the endpoint, which is being asked about this.
 * `unanswered`: the endpoint did not answer a question in time, which a cut link explains as well. `lost`: the endpoint's machine answered
 * that the process does not run there any more.
 */
export const evidenceSchema = zod.enum(["reported", "unanswered", "lost"]);
export type SuspicionEvidence = zod.infer<typeof evidenceSchema>;

const ranks: Readonly<Record<SuspicionEvidence, number>> = { reported: 0, unanswered: 1, lost: 2 };
/** Status of a process that is not the one that the call was meant for (RFC 9110, section 15.5.20). */
const misdirectedStatus = 421;

/** Returns whether `evidence` is stronger than `other`. */
export function isStronger(evidence: SuspicionEvidence, other: SuspicionEvidence): boolean {
  return ranks[evidence] > ranks[other];
}

/**
 * Returns the evidence that a failed call to an endpoint gives. A reset is no evidence of a loss, since endpoints also reset connections
 * beyond their limit.
 */
export function getEvidence(error: OrderError): SuspicionEvidence {
  if (error instanceof OrderRefusedError) return error.status === misdirectedStatus ? "lost" : "unanswered";
  if (!(error instanceof errors.NotReachedError)) return "unanswered";
  return isRefused(error.cause) ? "lost" : "unanswered";
}
