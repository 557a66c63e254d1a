/** Choice of an endpoint by least expected time. */
import { utils } from "@shedtiller/common";
import { getUnavoided, type EndpointRating } from "./EndpointRating.js";

/** Exponent of the weights of endpoints by their records: an endpoint that takes twice as long as is tolerated gets a sixteenth. */
const recordExponent = 4;
/** Risks within this distance of the least one are equal. */
const nearEqualRisk = 0.05;
/**
 * Share of the slots in use up to which an endpoint of the own zone gets all requests. Beyond it gets fewer, and none by preference once all
 * slots are in use.
 */
const localShare = 0.5;

/** Records from which on an endpoint of the own zone is preferred. */
const properRecord = 0.8;

/** Properties of the request that is sent. */
export interface EndpointChoiceOptions {
  /** Whether the request may run more than once. If not, the endpoint with the best record gets it. */
  readonly isIdempotent: boolean;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Returns an endpoint, the more probably the earlier it is expected to answer; undefined if there is none. */
export function chooseEndpoint(
  ratings: readonly EndpointRating[],
  { isIdempotent, random }: EndpointChoiceOptions,
): EndpointRating | undefined {
  const unavoided = getUnavoided(ratings);
  const candidates = isIdempotent ? unavoided : getSafest(unavoided);
  const local = candidates.find((rating) => rating.state.isOwnZone && getRecord(rating) >= properRecord);
  if (local !== undefined && random() < getLocalProbability(local)) return local;
  return pickWeighted(candidates, getWeight, random());
}

/**
 * Returns the weight of an endpoint. It follows the load only gradually: instances with the same figures, older than a request usually
 * takes, would otherwise all send to the same endpoint, then all to the next one.
 */
function getWeight(rating: EndpointRating): number {
  const { requests, slots } = rating.state;
  const queueFactor = Math.max(1, (requests + 1) / Math.max(1, slots));
  return getRecord(rating) ** recordExponent / queueFactor;
}

/** Returns the record of an endpoint from 0 to 1, which is best. A failed request has lost its time there, and needs another attempt. */
function getRecord({ successShare, slowness }: EndpointRating): number {
  return successShare ** 2 / slowness;
}

function getSafest(ratings: readonly EndpointRating[]): readonly EndpointRating[] {
  const least = Math.min(...ratings.map(({ risk }) => risk));
  return ratings.filter(({ risk }) => risk <= least + nearEqualRisk);
}

function getLocalProbability({ state }: EndpointRating): number {
  const usedShare = state.requests / Math.max(1, state.slots);
  return (1 - usedShare) / (1 - localShare);
}

function pickWeighted<T>(items: readonly T[], getWeight: (item: T) => number, random: number): T | undefined {
  let remaining = random * utils.getSum(items.map(getWeight));
  for (const item of items) {
    remaining -= getWeight(item);
    if (remaining < 0) return item;
  }
  return items.at(-1);
}
