/** Creation of the at-most-once executor of one instance. */
import * as claims from "@shedtiller/claims";
import * as membership from "@shedtiller/membership";
import * as timeline from "@shedtiller/timeline";
import type { InstanceSettings } from "@shedtiller/settings";
import type * as inversify from "inversify";
import { storedAnswerSchema, type StoredAnswer } from "./http/StoredAnswer.js";

const claimsTopic = "claims";

/**
 * Creates the at-most-once executor of an instance, which requests answers from the instances that hold a key's claim.
 * Also adds a handler that replies to such requests of peers with the answers of this instance.
 */
export function createAtMostOnceExecutor(
  c: inversify.ResolutionContext,
  settings: InstanceSettings,
): claims.AtMostOnceExecutor<StoredAnswer> {
  const peers = c.get(membership.Membership);
  const executor = new claims.AtMostOnceExecutor<StoredAnswer>({
    projection: c.get(claims.ClaimProjection),
    batcher: c.get(claims.ClaimBatcher),
    timeline: c.get(timeline.Timeline),
    holder: settings.instance.name,
    answersKept: settings.claims.answersKept,
    requestFromHolder: async (holder, key, timeoutMs) => {
      const reply = await peers.request(holder, claimsTopic, key, timeoutMs);
      const answer = reply.ok ? storedAnswerSchema.safeParse(reply.val) : undefined;
      return answer?.success === true ? answer.data : undefined;
    },
  });
  peers.onRequest(claimsTopic, (body) => (typeof body === "string" ? executor.getAnswer(body) : undefined));
  return executor;
}
