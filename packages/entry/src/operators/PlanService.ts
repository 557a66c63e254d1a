/** Plans that were made and not yet confirmed, wherever they were made; and their confirmation. */
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

const plansKept = 1_000;
const planTopic = "plan";
/** An instance that is busy or far away may take seconds; an operator waits as long for a confirmation. */
const requestTimeoutMs = 5_000;
const confirmTimeoutMs = 5_000;
const inForceTimeoutMs = 5_000;
const inForcePollMs = 20;

/** No instance that can be reached knows the plan. */
export class PlanNotFoundError extends errors.ShedtillerError {
  readonly code = "plan_not_found";

  constructor(readonly planId: string) {
    super(`No instance that can be reached knows the plan ${planId}; state the intent again.`);
  }
}

/** No instance that answered knows the plan, and some did not answer. */
export class PlanUnansweredError extends errors.ShedtillerError {
  readonly code = "plan_unanswered";

  constructor(
    readonly planId: string,
    readonly unresponsiveInstances: readonly string[],
  ) {
    super(
      `No instance that answered knows the plan ${planId}; without an answer: ${unresponsiveInstances.join(", ")}. Ask again.`,
    );
  }
}

type PlanError = PlanNotFoundError | PlanUnansweredError;

/** What came of a confirmation. */
export interface Confirmation {
  readonly outcome: PlanOutcome;
  /** Whether every instance that can be reached has the outcome in force. */
  readonly isInForce: boolean;
  /** Instances that can't be reached, or are not there yet. */
  readonly missing: readonly string[];
}

/** What the desk works with. */
export interface PlanServiceStructure {
  readonly configuration: ConfigurationProjection;
  readonly membership: Membership;
  readonly confirmer: Confirmer;
  readonly status: StatusGatherer;
}

/** Keeps plans and confirms them. */
export class PlanService {
  private readonly _plans = new utils.BoundedMap<Plan>(plansKept);

  constructor(private readonly _structure: PlanServiceStructure) {
    _structure.membership.onRequest(planTopic, (body) =>
      typeof body === "string" ? this._plans.get(body) : undefined,
    );
  }

  addPlan(plan: Plan): void {
    this._plans.set(plan.planId, plan);
  }

  /** Finds a plan here or at another instance. */
  async requirePlan(planId: string): Promise<results.Result<Plan, PlanError>> {
    const own = this._plans.get(planId);
    if (own !== undefined) return results.Ok(own);
    const { membership } = this._structure;
    const silent: string[] = [];
    const asked = membership.getMembers().map(async ({ name }) => {
      const reply = await membership.request(name, planTopic, planId, requestTimeoutMs);
      // One that can't be reached has no say; one that is slow may know the plan.
      if (reply.err && reply.val.code === "deadline_passed") silent.push(name);
      return planSchema.parse(reply.ok ? reply.val : undefined);
    });
    const found = await Promise.any(asked).catch(() => undefined);
    if (found !== undefined) return results.Ok(found);
    if (silent.length > 0) return results.Err(new PlanUnansweredError(planId, silent));
    return results.Err(new PlanNotFoundError(planId));
  }

  /** Confirms a plan and waits until its outcome is in force wherever it can be seen to be. */
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

  /** Whether an instance is linked, so that it may be slow, and is not gone. */
  private _isLinked(name: string): boolean {
    return this._structure.membership.getLinked().some((member) => member.name === name);
  }

  private async _waitUntilInForce(offset: number): Promise<string[]> {
    const endMs = utils.monotonicMs() + inForceTimeoutMs;
    for (;;) {
      const { instances, unreached } = await this._structure.status.gather();
      const behind = instances
        .filter((instance) => instance.offset < offset)
        .map((instance) => instance.name);
      const missing = [...behind, ...unreached.map((instance) => instance.name)];
      const isWaitedFor = behind.length > 0 || unreached.some(({ name }) => this._isLinked(name));
      if (!isWaitedFor || utils.monotonicMs() >= endMs) return missing;
      await utils.sleep(inForcePollMs);
    }
  }
}
