/**
 * Asks every other instance to begin nothing more on a version, just before its last chain is broken up. What an instance told before holds
 * only until it tells again: one that loses sight of the new version begins requests on the old chain at once, and nothing could go on with
 * those. Its answer to this question binds it for longer than the order takes.
 */
import { utils } from "@shedtiller/common";
import type { PipelineObject } from "@shedtiller/intent";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";
import type { VersionsInUse } from "../feeds/VersionsInUse.js";

const retireTopic = "retire-version";
/** An order goes out this late after the first answer at the most; `VersionsInUse` keeps its word for longer. */
const answerTimeoutMs = 1_000;
/**
 * A listed instance that answers nothing for this long does not stop a rollout: it has died or is cut off. One that answers that it uses
 * the version is waited for as long as it says so, since its callers would be cut.
 */
const maxUnansweredMs = 30_000;

const retirementRequestSchema = zod.object({
  model: zod.string(),
  version: zod.string(),
  isGap: zod.boolean(),
});
const retirementReplySchema = zod.object({ isFree: zod.boolean() });

type RetirementRequest = zod.infer<typeof retirementRequestSchema>;

/** What the questions are asked with. */
export interface VersionRetirementStructure {
  readonly membership: Pick<Membership, "getMembers" | "onRequest" | "request">;
  readonly versions: Pick<VersionsInUse, "tryClose">;
  readonly getPipeline: (model: string) => PipelineObject | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** Asks, and answers when asked. */
export class VersionRetirement {
  /** Since when each instance has left questions unanswered. */
  private readonly _unansweredSinceMs = new Map<string, number>();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: VersionRetirementStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    _structure.membership.onRequest(retireTopic, (body) => this._answer(body));
  }

  /**
   * Why the last chain of a version must stay for now; undefined once every instance has said that it begins nothing there.
   * @param isGap - Whether no chain of any version is left without it.
   */
  async getBlocker(pipeline: PipelineObject, version: string, isGap: boolean): Promise<string | undefined> {
    if (!this._structure.versions.tryClose(pipeline, version, isGap))
      return `version ${version} is in use here`;
    const members = this._structure.membership.getMembers().map((member) => member.name);
    for (const name of this._unansweredSinceMs.keys())
      if (!members.includes(name)) this._unansweredSinceMs.delete(name);
    const question = { model: pipeline.name, version, isGap };
    const holds = await Promise.all(members.map((name) => this._getPeerBlocker(name, question)));
    const held = holds.filter((hold) => hold !== undefined);
    return held.length === 0 ? undefined : `version ${version}: ${held.join(", ")}`;
  }

  private async _getPeerBlocker(name: string, question: RetirementRequest): Promise<string | undefined> {
    const reply = await this._structure.membership.request(name, retireTopic, question, answerTimeoutMs);
    const answer = reply.ok ? retirementReplySchema.safeParse(reply.val) : undefined;
    if (answer?.success === true) {
      this._unansweredSinceMs.delete(name);
      return answer.data.isFree ? undefined : `${name} uses it`;
    }
    const sinceMs = this._unansweredSinceMs.get(name) ?? this._nowMs();
    this._unansweredSinceMs.set(name, sinceMs);
    return this._nowMs() - sinceMs >= maxUnansweredMs ? undefined : `${name} has not answered`;
  }

  private _answer(body: unknown): unknown {
    const question = retirementRequestSchema.safeParse(body);
    if (!question.success) return undefined;
    const { model, version, isGap } = question.data;
    const pipeline = this._structure.getPipeline(model);
    return { isFree: pipeline === undefined || this._structure.versions.tryClose(pipeline, version, isGap) };
  }
}
