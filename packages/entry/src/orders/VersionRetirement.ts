/**
 * Agreement of all instances to start no more requests on a version, made just before the version's last chain is
 * reconfigured. The periodic reports on versions in use are not sufficient: an instance for which the new version no longer
 * has a complete chain starts requests on the old chain at once, and no engine could continue those. An instance that agrees
 * keeps the version closed for longer than the order takes.
 */
import { utils } from "@shedtiller/common";
import type { PipelineObject } from "@shedtiller/intent";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";
import type { VersionsInUse } from "../feeds/VersionsInUse.js";

const retireTopic = "retire-version";
/** The order is sent at most this long after the first reply; `VersionsInUse` keeps the version closed for longer. */
const answerTimeoutMs = 1_000;
/**
 * A listed instance that has not replied for this long no longer blocks a rollout, since it has failed or is partitioned. An
 * instance that replies that it uses the version blocks the rollout without a time limit, since its callers' streams would
 * be cut.
 */
const maxUnansweredMs = 30_000;

const retirementRequestSchema = zod.object({
  model: zod.string(),
  version: zod.string(),
  isGap: zod.boolean(),
});
const retirementReplySchema = zod.object({ isFree: zod.boolean() });

type RetirementRequest = zod.infer<typeof retirementRequestSchema>;

/** Dependencies of {@link VersionRetirement}. */
export interface VersionRetirementStructure {
  readonly membership: Pick<Membership, "getMembers" | "onRequest" | "request">;
  readonly versions: Pick<VersionsInUse, "tryClose" | "hasChain">;
  readonly getPipeline: (model: string) => PipelineObject | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** Requests other instances to retire a version, and replies to such requests. */
export class VersionRetirement {
  /** Monotonic time of the first request without a reply since the last reply, by the instance's name. */
  private readonly _unansweredSinceMs = new Map<string, number>();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: VersionRetirementStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    _structure.membership.onRequest(retireTopic, (body) => this._answer(body));
  }

  /**
   * Returns why the last chain of a version must not be reconfigured yet; undefined once every instance has agreed to start
   * no requests on the version, or has not replied for 30 s.
   * @param isGap - Whether no version has a complete chain without the engines in question.
   */
  async getBlocker(pipeline: PipelineObject, version: string, isGap: boolean): Promise<string | undefined> {
    if (!this._structure.versions.tryClose(pipeline, version, isGap))
      return `version ${version} is in use here`;
    const members = this._structure.membership.getMembers().map((member) => member.name);
    for (const name of this._unansweredSinceMs.keys())
      if (!members.includes(name)) this._unansweredSinceMs.delete(name);
    const request = { model: pipeline.name, version, isGap };
    const peerBlockers = await Promise.all(members.map((name) => this._getPeerBlocker(name, request)));
    const blockers = peerBlockers.filter((blocker) => blocker !== undefined);
    return blockers.length === 0 ? undefined : `version ${version}: ${blockers.join(", ")}`;
  }

  private async _getPeerBlocker(name: string, request: RetirementRequest): Promise<string | undefined> {
    const reply = await this._structure.membership.request(name, retireTopic, request, answerTimeoutMs);
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
    const request = retirementRequestSchema.safeParse(body);
    if (!request.success) return undefined;
    const { model, version, isGap } = request.data;
    const pipeline = this._structure.getPipeline(model);
    if (pipeline === undefined) return { isFree: true };
    const { versions } = this._structure;
    // Without a chain, this instance does not know on which version its next request starts.
    if (!isGap && !versions.hasChain(pipeline)) return undefined;
    return { isFree: versions.tryClose(pipeline, version, isGap) };
  }
}
