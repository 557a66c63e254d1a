/** Plans of this instance and others, and their confirmation. */
import { errors, results, utils } from "@shedtiller/common";
import {
  planSchema,
  type Confirmer,
  type ConfigurationProjection,
  type Plan,
  type PlanOutcome,
} from "@shedtiller/intent";
import type { Membership } from "@shedtiller/membership";
import type { StatusGatherer } from "./StatusGatherer.js";

const maxPlans = 1_000;
const planTopic = "plan";
/** A busy or remote instance may take seconds to reply. The timeout of a confirmation is the same. */
const requestTimeoutMs = 5_000;
const confirmTimeoutMs = 5_000;
const inForceTimeoutMs = 5_000;
const inForcePollMs = 20;

/** No reachable instance has the plan. */
export class PlanNotFoundError extends errors.ShedtillerError {
  readonly code = "plan_not_found";

  constructor(readonly planId: string) {
    super(`No reachable instance has the plan ${planId}; submit the intent again.`);
  }
}

/** No instance that answered has the plan, and some did not answer. */
export class PlanUnansweredError extends errors.ShedtillerError {
  readonly code = "plan_unanswered";

  constructor(
    readonly planId: string,
    readonly unresponsiveInstances: readonly string[],
  ) {
    super(
      `No instance that answered has the plan ${planId}; no answer from ${unresponsiveInstances.join(", ")}. Try again.`,
    );
  }
}

type PlanError = PlanNotFoundError | PlanUnansweredError;

/** Result of a confirmation. */
export interface Confirmation {
  readonly outcome: PlanOutcome;
  /** Whether the outcome is in force at every reachable instance. */
  readonly isInForce: boolean;
  /** Instances that can't be reached or have not applied the outcome yet. */
  readonly missing: readonly string[];
}

/** Dependencies of {@link PlanService}. */
export interface PlanServiceStructure {
  readonly configuration: ConfigurationProjection;
  readonly membership: Membership;
  readonly confirmer: Confirmer;
  readonly status: StatusGatherer;
}

/** Stores the plans made at this instance, finds those of others, and confirms plans. */
export class PlanService {
  private readonly _plans = new utils.BoundedMap<Plan>(maxPlans);

  constructor(private readonly _structure: PlanServiceStructure) {
    _structure.membership.onRequest(planTopic, (body) =>
      typeof body === "string" ? this._plans.get(body) : undefined,
    );
  }

  /** Stores a plan. The oldest plan is dropped if there are more than 1000. */
  addPlan(plan: Plan): void {
    this._plans.set(plan.planId, plan);
  }

  /** Returns a plan, which is requested from all other instances if this instance does not have it. */
  async requirePlan(planId: string): Promise<results.Result<Plan, PlanError>> {
    const own = this._plans.get(planId);
    if (own !== undefined) return results.Ok(own);
    const { membership } = this._structure;
    const unresponsive: string[] = [];
    const replies = membership.getMembers().map(async ({ name }) => {
      const reply = await membership.request(name, planTopic, planId, requestTimeoutMs);
      // An instance that times out may have the plan; one that can't be reached at all is not counted.
      if (reply.err && reply.val.code === "deadline_passed") unresponsive.push(name);
      return planSchema.parse(reply.ok ? reply.val : undefined);
    });
    const found = await Promise.any(replies).catch(() => undefined);
    if (found !== undefined) return results.Ok(found);
    if (unresponsive.length > 0) return results.Err(new PlanUnansweredError(planId, unresponsive));
    return results.Err(new PlanNotFoundError(planId));
  }

  /** Confirms a plan, then waits up to 5 s until its outcome is in force at every linked instance. */
  async confirm(planId: string): Promise<results.Result<Confirmation, errors.ShedtillerError>> {
    const plan = await this.requirePlan(planId);
    if (plan.err) return plan;
    const outcome = await this._structure.confirmer.confirm(plan.val, confirmTimeoutMs);
    if (outcome.err) return outcome;
    const missing = await this._waitUntilInForce(outcome.val.offset);
    const status = missing.length === 0 ? undefined : await this._structure.status.gather();
    const unreached = new Set(status?.unreached.map((instance) => instance.name));
    return results.Ok({
      outcome: outcome.val,
      isInForce: missing.every((name) => unreached.has(name)),
      missing,
    });
  }

  /** Returns whether an instance is linked. A linked instance that doesn't answer may be slow rather than gone. */
  private _isLinked(name: string): boolean {
    return this._structure.membership.getLinked().some((member) => member.name === name);
  }

  /** Waits until an offset is in force at all linked instances, or for 5 s. Returns the names of the instances without it. */
  private async _waitUntilInForce(offset: number): Promise<string[]> {
    const endMs = utils.monotonicMs() + inForceTimeoutMs;
    for (;;) {
      const { instances, unreached } = await this._structure.status.gather();
      const behind = instances
        .filter((instance) => instance.offset < offset)
        .map((instance) => instance.name);
      const missing = [...behind, ...unreached.map((instance) => instance.name)];
      const isPending = behind.length > 0 || unreached.some(({ name }) => this._isLinked(name));
      if (!isPending || utils.monotonicMs() >= endMs) return missing;
      await utils.sleep(inForcePollMs);
    }
  }
}
