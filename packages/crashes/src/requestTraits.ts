import { digestText } from "./digestRequest.js";

/**
 * Properties of a request that may make it crash the endpoints that run it: the digest of the whole request, and each part of its prompt
 * that other requests may share.
 */
export type RequestTraits = readonly string[];

/** Distinguishes parts of prompts from digests of requests. */
const partPrefix = "part:";
/** Longer ids are replaced by their digest, so that callers cannot enlarge reports and records. */
const maxIdLength = 40;
/** Prompts share their first parts; callers cannot enlarge reports by prompts with more parts than this. */
const maxParts = 32;

/** Returns the trait of a part of a prompt. */
export function getPartTrait(partId: string): string {
  return partPrefix + (partId.length <= maxIdLength ? partId : digestText(partId));
}

/** Returns whether a trait is a part of a prompt; otherwise it is the digest of a request. */
export function isPartTrait(trait: string): boolean {
  return trait.startsWith(partPrefix);
}

/**
 * Returns the traits of the parts of a prompt that other requests may share.
 * @param partIds - All parts in order; the last one belongs to one request alone, whose digest covers it.
 */
export function getPartTraits(partIds: readonly string[]): RequestTraits {
  return [...new Set(partIds.slice(0, -1).slice(0, maxParts).map(getPartTrait))];
}
