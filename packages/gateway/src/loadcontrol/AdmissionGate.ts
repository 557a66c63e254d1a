/** Decision on a request before it waits for capacity. */
import type { RefusalReason } from "../requests/sendRefusal.js";

/** The properties of a request that decide on its admission under load. */
export interface GateQuery {
  readonly service: string;
  /** Priority 0 is the most urgent. */
  readonly priority: number;
  readonly accountName: string | undefined;
  readonly targetLatencyMs: number;
  readonly promptTokens: number;
  /** Identifies requests with the same content of the same account, so that a returning caller is recognised. */
  readonly digest: () => string;
}

/** A rejection, which states that the request has not been executed. */
export interface GateRefusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
  /** Inputs of the decision, for the log line of the rejection. */
  readonly inputs: Readonly<Record<string, number | string>>;
}

/** Decides on each request when it arrives. A request that it admits takes part in the choice of chains and endpoints as usual. */
export abstract class AdmissionGate {
  /** Returns the rejection of a request that arrives now, or undefined if it is admitted. */
  abstract getRefusal(query: GateQuery): GateRefusal | undefined;

  /** Returns whether the request comes back after a rejection, and not before its time. Called before {@link getRefusal}. */
  isReturn(_query: GateQuery): boolean {
    return false;
  }

  /** Records that another decision under load rejected the request after this gate admitted it. */
  noteRefused(_query: GateQuery, _retryAfterMs: number): void {
    return;
  }
}
