/** Model of the time that a chain takes to read a prompt, from the profile of its service and the loads of its engines. */
import { utils } from "@shedtiller/common";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { countLoadedLayers, getKind, getStepMs, hopMs } from "./engineModel.js";

/** The parts of the time from the send of a request to its first event. */
export interface ReadingTime {
  /** Time that the prompt takes through the chain if no other prompt is in front. */
  readonly transitMs: number;
  /** Time until the slowest engine has read all prompts that have been sent to it, and this one. */
  readonly drainMs: number;
}

/**
 * Returns the time in which an engine reads as many prompt tokens as it reads beside one token step of its streams, over a number of its
 * layers.
 */
export function getReadStepMs(endpoint: Endpoint, profile: EngineProfile, layers: number): number {
  const kind = getKind(endpoint, profile);
  if (kind === undefined) return 0;
  const share = layers / profile.layerCount;
  // A stream is at one engine of its chain at a time.
  const sequences = endpoint.getLoad().requests * share;
  const tokens = profile.usualPromptTokens + profile.usualAnswerTokens;
  const stepMs = getStepMs(profile, sequences, tokens) * kind.stepFactor;
  const readMs = (profile.promptTokensPerPass / profile.prefillTokensPerSecond) * utils.msPerSecond;
  return (stepMs + readMs * kind.prefillFactor) * endpoint.slowness * share;
}

/** Returns the time that an engine takes to read all prompts that have been sent to it, and `promptTokens` more. */
export function getDrainMs(endpoint: Endpoint, profile: EngineProfile, promptTokens: number): number {
  const unread = endpoint.getLoad().promptTokens + promptTokens;
  const steps = unread / profile.promptTokensPerPass;
  return steps * getReadStepMs(endpoint, profile, countLoadedLayers(endpoint));
}

/**
 * Returns the reading time of a prompt at a chain. Prompts move through a chain one after the other, so that only the engine that takes
 * longest delays those behind, and the prompts that are known there include those that other engines of the chain read at the same time.
 */
export function getReadingTime(
  stages: readonly ChainStage[],
  getEndpoint: (id: string) => Endpoint | undefined,
  profile: EngineProfile,
  promptTokens: number,
): ReadingTime {
  const steps = Math.ceil(promptTokens / profile.promptTokensPerPass);
  let transitMs = 0;
  let drainMs = 0;
  for (const { endpointId, start, end } of stages) {
    const endpoint = getEndpoint(endpointId);
    if (endpoint === undefined) continue;
    transitMs += hopMs + steps * getReadStepMs(endpoint, profile, end - start);
    drainMs = Math.max(drainMs, getDrainMs(endpoint, profile, promptTokens));
  }
  return { transitMs, drainMs };
}
