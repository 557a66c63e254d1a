/** What all instances say of themselves, gathered by the one that is asked. */
import { utils } from "@shedtiller/common";
import type { ConfigurationProjection } from "@shedtiller/intent";
import type { Member, Membership } from "@shedtiller/membership";
import * as zod from "zod";

const statusTopic = "status";
const firstTimeoutMs = 1_000;
/** One that is busy answers late, and is not gone. */
const longestTimeoutMs = 8_000;

export const instanceStatusSchema = zod.object({
  name: zod.string(),
  availabilityZone: zod.string(),
  /** Offset of the configuration in force there. */
  offset: zod.number().int(),
  /** Wall time since when that offset is in force. */
  offsetSinceMs: zod.number(),
  /** How long ago the log last answered; absent if it never did. */
  logAgeMs: zod.number().optional(),
  isReady: zod.boolean(),
  isDraining: zod.boolean(),
  activeRequests: zod.number().int(),
  /** Wall time since when no other zone is reached. */
  cutOffSinceMs: zod.number().optional(),
  unknownRecords: zod.number().int(),
});

export type InstanceStatus = zod.infer<typeof instanceStatusSchema>;

/** The status of the fleet as one instance sees it. */
export interface FleetStatus {
  readonly askedInstance: string;
  readonly instances: readonly InstanceStatus[];
  /** Listed instances that gave no answer, with the wall time since when they are not reached. */
  readonly unreached: readonly { name: string; availabilityZone: string; sinceMs: number | undefined }[];
}

/** Where an instance's own status comes from. */
export interface StatusSources {
  readonly membership: Membership;
  readonly configuration: ConfigurationProjection;
  readonly getLogAgeMs: () => number | undefined;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly getActiveRequests: () => number;
}

/** Answers for this instance and asks the others. */
export class StatusGatherer {
  private _offsetSinceMs = utils.wallMs();
  private readonly _patience = new utils.AdaptiveTimeout(firstTimeoutMs, longestTimeoutMs);

  constructor(private readonly _sources: StatusSources) {
    _sources.membership.onRequest(statusTopic, () => this.getOwn());
    _sources.configuration.onChanged(() => {
      this._offsetSinceMs = utils.wallMs();
    });
  }

  getOwn(): InstanceStatus {
    const { membership, configuration: fold } = this._sources;
    return {
      ...membership.self,
      offset: fold.offset,
      offsetSinceMs: this._offsetSinceMs,
      logAgeMs: this._sources.getLogAgeMs(),
      isReady: this._sources.isReady(),
      isDraining: this._sources.isDraining(),
      activeRequests: this._sources.getActiveRequests(),
      cutOffSinceMs: membership.getCutOffSinceMs(),
      unknownRecords: fold.unknownRecords.length,
    };
  }

  async gather(): Promise<FleetStatus> {
    const { membership } = this._sources;
    const members = membership.getMembers();
    const answers = await Promise.all(members.map((member) => this._ask(member)));
    const unreached = members
      .filter((_member, index) => answers[index] === undefined)
      .map((m) => ({ name: m.name, availabilityZone: m.availabilityZone, sinceMs: m.lostSinceMs }));
    const instances = [this.getOwn(), ...answers.flatMap((answer) => answer ?? [])];
    instances.sort((a, b) => (a.name < b.name ? -1 : 1));
    return { askedInstance: membership.self.name, instances, unreached };
  }

  private async _ask(member: Member): Promise<InstanceStatus | undefined> {
    const { name } = member;
    const askedAtMs = utils.monotonicMs();
    const reply = await this._sources.membership.request(
      name,
      statusTopic,
      null,
      this._patience.getTimeoutMs(name),
    );
    if (reply.ok) this._patience.noteAnswer(name, utils.monotonicMs() - askedAtMs);
    else if (reply.val.code === "deadline_passed") this._patience.noteTimeout(name);
    const status = reply.ok ? instanceStatusSchema.safeParse(reply.val) : undefined;
    return status?.success === true ? status.data : undefined;
  }
}
