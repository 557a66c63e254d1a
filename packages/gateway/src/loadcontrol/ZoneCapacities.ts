/** Capacity of zones for the requests of a service, from the layers, the memory and the pace of their engines. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { getUnqueuedRequests, toCopyEngine, toCopyModel } from "../chains/engineModel.js";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";

/** Capacities are computed again after this time, since the end of a suspicion and a change of pace are no events. */
const renewalMs = 1_000;

/** Capacities by zone, in tokens a second; 0 for a zone that doesn't run the whole model. */
export type CapacityByZone = ReadonlyMap<string, number>;

/** Computes capacities when engines change, and keeps them until then. */
export class ZoneCapacities {
  private readonly _known = new Map<string, { readonly capacities: CapacityByZone; readonly atMs: number }>();

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private readonly _endpoints: EndpointTable,
    private readonly _nowMs: () => number,
  ) {
    _endpoints.onChanged((endpoint) => this._known.delete(endpoint.listed.service));
  }

  /** Returns the capacities of all zones that have engines of the service. */
  get(service: string, profile: EngineProfile): CapacityByZone {
    const nowMs = this._nowMs();
    const known = this._known.get(service);
    if (known !== undefined && nowMs - known.atMs < renewalMs) return known.capacities;
    const engines = this._endpoints.getUsable(service);
    const zones = utils.groupBy(engines, ({ listed }) => listed.availabilityZone);
    const capacities = new Map(
      [...zones].map(([zone, members]) => [zone, getCapacity(members, profile, nowMs)]),
    );
    this._known.set(service, { capacities, atMs: nowMs });
    return capacities;
  }
}

function getCapacity(members: readonly Endpoint[], profile: EngineProfile, nowMs: number): number {
  const model = toCopyModel(profile);
  const spans = members
    .filter((member) => !member.isSuspect(nowMs))
    .flatMap((member) => {
      const engine = toCopyEngine(member, profile);
      const rated = { ...engine, stepFactor: engine.stepFactor * member.slowness };
      const unqueuedRequests = getUnqueuedRequests(member, profile);
      return member.listed.layers.map(({ start, end }) => ({ engine: rated, start, end, unqueuedRequests }));
    });
  return placement.getSustainedRate(spans, model) * model.tokensPerRequest;
}
