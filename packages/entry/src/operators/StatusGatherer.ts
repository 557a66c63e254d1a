/** Status of all instances, gathered by the instance that receives the operator's request. */
import { utils } from "@shedtiller/common";
import type { ConfigurationProjection } from "@shedtiller/intent";
import type { Member, Membership } from "@shedtiller/membership";
import * as zod from "zod";

const statusTopic = "status";
const initialTimeoutMs = 1_000;
/** Upper limit of the adaptive timeout. A busy instance may answer late although it is alive. */
const maxTimeoutMs = 8_000;

/** Status of one instance. */
export const instanceStatusSchema = zod.object({
  name: zod.string(),
  availabilityZone: zod.string(),
  /** Offset of the configuration in force at the instance. */
  offset: zod.number().int(),
  /** Wall time since which that offset has been in force. */
  offsetSinceMs: zod.number(),
  /** Time since the log service last answered; absent if it has never answered. */
  logAgeMs: zod.number().optional(),
  isReady: zod.boolean(),
  isDraining: zod.boolean(),
  activeRequests: zod.number().int(),
  /** Wall time since which no other zone has been reachable; absent if one is reachable or none is listed. */
  cutOffSinceMs: zod.number().optional(),
  unknownRecords: zod.number().int(),
});

export type InstanceStatus = zod.infer<typeof instanceStatusSchema>;

/** Status of all instances, as gathered by one of them. */
export interface FleetStatus {
  readonly askedInstance: string;
  readonly instances: readonly InstanceStatus[];
  /** Listed instances that did not answer, with the wall time since which they have been unreachable. */
  readonly unreached: readonly { name: string; availabilityZone: string; sinceMs: number | undefined }[];
}

/** Dependencies of {@link StatusGatherer}: the sources of an instance's own status. */
export interface StatusGathererStructure {
  readonly membership: Membership;
  readonly configuration: ConfigurationProjection;
  readonly getLogAgeMs: () => number | undefined;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly getActiveRequests: () => number;
}

/** Serves this instance's status to its peers, and gathers theirs. */
export class StatusGatherer {
  private _offsetSinceMs = utils.wallMs();
  private readonly _timeouts = new utils.AdaptiveTimeout(initialTimeoutMs, maxTimeoutMs);

  constructor(private readonly _structure: StatusGathererStructure) {
    _structure.membership.onRequest(statusTopic, () => this.getOwn());
    _structure.configuration.onChanged(() => {
      this._offsetSinceMs = utils.wallMs();
    });
  }

  /** Returns this instance's status. */
  getOwn(): InstanceStatus {
    const { membership, configuration } = this._structure;
    return {
      ...membership.self,
      offset: configuration.offset,
      offsetSinceMs: this._offsetSinceMs,
      logAgeMs: this._structure.getLogAgeMs(),
      isReady: this._structure.isReady(),
      isDraining: this._structure.isDraining(),
      activeRequests: this._structure.getActiveRequests(),
      cutOffSinceMs: membership.getCutOffSinceMs(),
      unknownRecords: configuration.unknownRecords.length,
    };
  }

  /** Requests the status of all instances. */
  async gather(): Promise<FleetStatus> {
    const { membership } = this._structure;
    const members = membership.getMembers();
    const answers = await Promise.all(members.map((member) => this._requestStatus(member)));
    const unreached = members
      .filter((_member, index) => answers[index] === undefined)
      .map((m) => ({ name: m.name, availabilityZone: m.availabilityZone, sinceMs: m.lostSinceMs }));
    const instances = [this.getOwn(), ...answers.flatMap((answer) => answer ?? [])];
    instances.sort((a, b) => (a.name < b.name ? -1 : 1));
    return { askedInstance: membership.self.name, instances, unreached };
  }

  private async _requestStatus(member: Member): Promise<InstanceStatus | undefined> {
    const { name } = member;
    const requestedAtMs = utils.monotonicMs();
    const reply = await this._structure.membership.request(
      name,
      statusTopic,
      null,
      this._timeouts.getTimeoutMs(name),
    );
    if (reply.ok) this._timeouts.noteAnswer(name, utils.monotonicMs() - requestedAtMs);
    else if (reply.val.code === "deadline_passed") this._timeouts.noteTimeout(name);
    const status = reply.ok ? instanceStatusSchema.safeParse(reply.val) : undefined;
    return status?.success === true ? status.data : undefined;
  }
}
