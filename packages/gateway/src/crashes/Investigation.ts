/** Investigations of endpoints that closed connections. */
import type { RequestTraits } from "@shedtiller/crashes";
import type { Endpoint } from "../discovery/Endpoint.js";

/** The investigation of an endpoint that closed connections, until it is known whether the endpoint crashed. */
export interface Investigation {
  readonly endpoint: Endpoint;
  readonly lifeId: string;
  readonly atMs: number;
  /** Traits, each with the weight of the evidence. */
  readonly suspects: Map<string, number>;
  /** Whether the probe of the endpoint has got no answer yet. */
  isProbing: boolean;
  readonly decided: Promise<void>;
}

/** Adds suspects, each with the greatest weight of its evidence. */
export function addSuspects(suspects: Map<string, number>, traits: RequestTraits, weight: number): void {
  for (const trait of traits) suspects.set(trait, Math.max(weight, suspects.get(trait) ?? 0));
}
