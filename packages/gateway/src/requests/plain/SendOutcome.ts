/** Outcomes of the sends of plain requests. */
import type { BufferedAnswer } from "../../http/HttpCall.js";
import type { SendResult } from "../../loadcontrol/EndpointRecords.js";
import { failureStatus } from "../RequestForwarder.js";

/** Result of one send. */
export type SendOutcome =
  | { readonly kind: "answer"; readonly answer: BufferedAnswer }
  | { readonly kind: "not-run"; readonly error: string }
  /** The answer did not arrive in time, or is not usable. */
  | { readonly kind: "unknown"; readonly error: string }
  /** The endpoint closed the connection. */
  | { readonly kind: "lost"; readonly error: string };

/** Returns what an outcome tells about its endpoint. */
export function toSendResult(outcome: SendOutcome): SendResult {
  if (outcome.kind === "unknown") return "cancelled";
  if (outcome.kind !== "answer") return "failed";
  return outcome.answer.status >= failureStatus ? "failed" : "answered";
}
