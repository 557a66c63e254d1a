/** Instances of three equal zones that exchange their demand in simulated time, and the shares that result. */
import { utils } from "@shedtiller/common";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { SharedZoneFlows } from "../../loadcontrol/SharedZoneFlows.js";
import { ZoneCapacities } from "../../loadcontrol/ZoneCapacities.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LoadExchange } from "../../peers/LoadExchange.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { PeerNetwork } from "../peers/PeerNetwork.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed, profile } from "../testData.js";

export const zones = ["east", "north", "west"] as const;
export type Zone = (typeof zones)[number];

const service = "m";
const tickMs = 200;
const instancesPerZone = 3;
const requestsPerSecond = 50;
/** Number of draws from which a share is measured. */
const draws = 200;

/** Returns the demand of a zone in relation to its capacity. */
export type Demand = (zone: Zone, nowMs: number) => number;

interface Instance {
  readonly zone: Zone;
  readonly name: string;
  readonly endpoints: EndpointTable;
  readonly flows: SharedZoneFlows;
  readonly exchange: LoadExchange;
}

export class ZoneFlowFleet {
  nowMs = 0;
  /** Number of changes of the zones to which requests go. */
  changes = 0;
  readonly network = new PeerNetwork();
  instances: readonly Instance[];
  /** Capacity of a zone with all its engines. */
  private readonly _capacity: number;
  private readonly _random = new utils.RandomSource(1);

  constructor(private readonly _demand: Demand) {
    this.instances = zones.flatMap((zone) =>
      Array.from({ length: instancesPerZone }, (_, index) => this._createInstance(zone, `${zone}-${index}`)),
    );
    const capacities = new ZoneCapacities(this._createTable(), () => this.nowMs).get(service, profile);
    this._capacity = capacities.get("east") ?? 0;
  }

  /** Runs for a time, and calls `observe` after each exchange of figures. */
  run(durationMs: number, observe: () => void = () => undefined): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += tickMs;
      for (const instance of this.instances) {
        this._arrive(instance);
        instance.exchange.sendDue();
      }
      observe();
    }
  }

  /** Returns the share of the requests of a zone that its last instance sends to another one. */
  getShare(from: Zone, to: Zone): number {
    const { flows } = this.instances.findLast(({ zone }) => zone === from) ?? {};
    const costs = Array.from({ length: draws }, (_, index) =>
      flows?.getZoneMs(service, to, (index + 0.5) / draws),
    );
    return costs.filter((cost) => cost === 0).length / draws;
  }

  /** Returns the share of the requests of a zone that run in other zones. */
  getAwayShare(from: Zone): number {
    return utils.getSum(zones.map((to) => (to === from ? 0 : this.getShare(from, to))));
  }

  /** Returns the demand that runs in a zone in relation to its capacity. */
  getUtilization(zone: Zone): number {
    const own = this._demand(zone, this.nowMs) * (1 - this.getAwayShare(zone));
    const others = zones.filter((other) => other !== zone);
    const inflows = others.map((other) => this._demand(other, this.nowMs) * this.getShare(other, zone));
    return own + utils.getSum(inflows);
  }

  /** Ends the collector of a zone. */
  stopCollector(zone: Zone): void {
    const collector = this.instances.find((each) => each.zone === zone && each.exchange.isCollector);
    this.network.remove(collector?.name ?? "");
    this.instances = this.instances.filter((instance) => instance !== collector);
  }

  /** Makes all instances suspect the engines of a zone. */
  loseEngines(zone: Zone): void {
    for (const { endpoints } of this.instances) endpoints.suspect(`engine-${zone}`);
  }

  private _arrive({ zone, flows }: Instance): void {
    const demand = this._demand(zone, this.nowMs);
    const inZone = this.instances.filter((instance) => instance.zone === zone).length;
    const mean = (requestsPerSecond * demand * tickMs) / utils.msPerSecond / inZone;
    for (let atMs = this._random.nextExponential(1); atMs < mean; atMs += this._random.nextExponential(1))
      flows.noteArrival(service, this._capacity / requestsPerSecond);
  }

  private _createInstance(zone: Zone, name: string): Instance {
    const nowMs = (): number => this.nowMs;
    const endpoints = this._createTable();
    const figures = new SharedFigures(nowMs);
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const membership = this.network.join({ name, availabilityZone: zone });
    const flows = new SharedZoneFlows({
      availabilityZone: zone,
      endpoints,
      figures,
      log,
      getProfiles: () => new Map([[service, profile]]),
      count: () => (this.changes += 1),
      nowMs,
    });
    return {
      zone,
      name,
      endpoints,
      flows,
      exchange: new LoadExchange({ membership, endpoints, figures, log, nowMs }),
    };
  }

  private _createTable(): EndpointTable {
    const table = new EndpointTable(() => this.nowMs);
    const layers = [{ start: 0, end: profile.layerCount }];
    const listed = zones.map((zone) =>
      createListed(`engine-${zone}`, { service, availabilityZone: zone, layers, kind: "fast" }),
    );
    table.setAll(new Map(listed.map((each) => [each.id, each])));
    return table;
  }
}
