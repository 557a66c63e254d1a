/** A fleet in one process: real entry instances, and stand-ins for everything around them, over real sockets. */
import { errors, utils } from "@shedtiller/common";
import { composeEntry, EntryInstance, type DrainReport } from "@shedtiller/entry";
import * as intent from "@shedtiller/intent";
import type { ListedInstance } from "@shedtiller/logservice";
import { instanceSettingsSchema, type InstanceSettings } from "@shedtiller/settings";
import type * as inversify from "inversify";
import { ApplicationLog } from "../engine/ApplicationLog.js";
import { StandInEngine } from "../engine/StandInEngine.js";
import { callerNode, StandInNetwork, type NetworkNode } from "../network/StandInNetwork.js";
import { StandInInstanceList } from "../platform/StandInInstanceList.js";
import { StandInLog } from "../platform/StandInLog.js";
import { StandInWeightStore } from "../platform/StandInWeightStore.js";
import { RunCounts, StandInService } from "../service/StandInService.js";
import type { FleetOptions, FleetStructure } from "./FleetStructure.js";
import { getLayerCount, seedConfiguration } from "./seedConfiguration.js";

const settleTimeoutMs = 20_000;
const defaultListLagMs = 300;
const platformNode: NetworkNode = { name: "platform", availabilityZone: undefined };

/** Changes the parts of an instance before it is made, as an embedder may. */
export type PartsHook = (container: inversify.Container) => void;

/** Starts, breaks and ends a fleet. */
export class Fleet {
  readonly applications = new ApplicationLog();
  readonly runs = new RunCounts();
  readonly weights = new StandInWeightStore();
  readonly network = new StandInNetwork();
  readonly log: StandInLog;
  readonly list: StandInInstanceList;
  readonly engines = new Map<string, StandInEngine>();
  readonly services = new Map<string, StandInService>();
  readonly instances = new Map<string, EntryInstance>();
  /** The key of each client account. */
  readonly accountKeys: ReadonlyMap<string, string>;
  readonly operatorToken = intent.createAccountKey();
  /** What each planned stop came to. */
  readonly drains = new Map<string, Promise<DrainReport>>();
  readonly peerSecret = utils.newId();
  private readonly _listed = new Map<string, { port: number; node: NetworkNode }>();
  private readonly _hooks: PartsHook[] = [];

  constructor(
    readonly structure: FleetStructure,
    readonly options: FleetOptions = {},
  ) {
    const { appendsPerSecond, appendMs, logRetentionMs: retentionMs } = options;
    this.log = new StandInLog({ appendsPerSecond, appendMs, retentionMs });
    this.list = new StandInInstanceList(options.listLagMs ?? defaultListLagMs, (viewer, instance) =>
      this._view(viewer, instance),
    );
    this.accountKeys = seedConfiguration(structure, this.log);
  }

  /** Lets `hook` change the parts of every instance that is made from here on. */
  addPartsHook(hook: PartsHook): void {
    this._hooks.push(hook);
  }

  /** Starts everything and waits until each instance knows all endpoints and peers. */
  async start(): Promise<void> {
    await Promise.all([this.log.start(), this.list.start()]);
    await Promise.all([...this._createEngines(), ...this._createServices()]);
    for (const [index, { name, availabilityZone }] of this.structure.instances.entries()) {
      await this.addInstance(name, availabilityZone, index);
    }
    if (!(await utils.waitUntil(() => this.isSettled, settleTimeoutMs, 20))) {
      throw new errors.DeadlineError("The start of the fleet", settleTimeoutMs);
    }
  }

  /** Whether every instance is ready and knows all endpoints and peers. */
  get isSettled(): boolean {
    const instances = [...this.instances.values()];
    return instances.every((instance) => {
      const engines = instance.directory.getEntries().filter((entry) => entry.role === "engine");
      const hasReports =
        engines.length === this.engines.size && engines.every((entry) => entry.report !== undefined);
      const hasPeers = instance.membership.getLinked().length === instances.length - 1;
      return instance.isReady && hasReports && hasPeers;
    });
  }

  /** Starts one more instance. */
  async addInstance(name: string, availabilityZone: string, index?: number): Promise<EntryInstance> {
    const node = { name, availabilityZone };
    const settings = await this._createSettings(node, index);
    const secrets = { peerSecret: this.peerSecret, operatorTokenHash: this.operatorToken.stored };
    const seed = this.options.seed === undefined ? undefined : this.options.seed + utils.hash32(name);
    const container = composeEntry(settings, secrets, {
      logs: { isSilent: this.options.isSilent ?? true },
      silence: this.options.silence,
      seed,
    });
    for (const hook of this._hooks) hook(container);
    const instance = container.get(EntryInstance);
    await instance.start();
    this.instances.set(name, instance);
    this._listNow(
      { name, role: "entry", availabilityZone, address: "", state: "live" },
      instance.membership.port,
      node,
    );
    return instance;
  }

  /** Lists an instance that runs in another process. */
  listOutside(name: string, availabilityZone: string, peerPort: number): void {
    this._listNow({ name, role: "entry", availabilityZone, address: "", state: "live" }, peerPort, {
      name,
      availabilityZone,
    });
  }

  /** Address under which callers reach an instance. */
  async getCallerAddress(name: string): Promise<string> {
    const instance = this.requireInstance(name);
    if (this.options.hasRelays !== true) return `127.0.0.1:${instance.callerPort}`;
    return this.network.getAddress(callerNode, this._getNode(name), instance.callerPort);
  }

  requireInstance(name: string): EntryInstance {
    return requireKnown(this.instances, name);
  }

  requireEngine(name: string): StandInEngine {
    return requireKnown(this.engines, name);
  }

  /** Vanishes an instance: no word to anybody. */
  async killInstance(name: string): Promise<void> {
    this.network.dropNode(name);
    await this.requireInstance(name).kill();
    this.instances.delete(name);
    this.list.remove(name);
  }

  /** Stops an instance as planned. */
  stopInstance(name: string): void {
    const instance = this.requireInstance(name);
    const drain = instance.drain().then((report) => {
      this.instances.delete(name);
      this.list.remove(name);
      return report;
    });
    this.drains.set(name, drain);
  }

  /** An endpoint begins to leave: listed so, and by its own word. */
  leaveEndpoint(name: string): void {
    const endpoint = this.engines.get(name) ?? requireKnown(this.services, name);
    endpoint.leave();
    const { availabilityZone } = endpoint.structure;
    const service = endpoint instanceof StandInService ? endpoint.structure.service : undefined;
    const role = service === undefined ? "engine" : "service";
    this.list.set({ name, role, availabilityZone, address: "", state: "leaving", service });
  }

  /** Ends everything. */
  async close(): Promise<void> {
    for (const engine of this.engines.values()) engine.resume();
    for (const service of this.services.values()) service.resume();
    await Promise.all([...this.instances.values()].map((instance) => instance.kill()));
    this.network.close();
    const standIns = [...this.engines.values(), ...this.services.values(), this.log, this.list];
    await Promise.all(standIns.map((standIn) => standIn.close()));
  }

  private _createEngines(): Promise<void>[] {
    const surroundings = {
      applications: this.applications,
      weights: this.weights,
      reportLagMs: this.options.reportLagMs ?? 0,
      layerCountOf: (model: string) => getLayerCount(this.structure, model),
    };
    return this.structure.endpoints.map(async (structure) => {
      const engine = new StandInEngine(structure, surroundings);
      this.engines.set(structure.name, engine);
      await engine.start();
      const { name, availabilityZone } = structure;
      this._listNow(
        { name, role: "engine", availabilityZone, address: "", state: "live" },
        engine.port,
        structure,
      );
    });
  }

  private _createServices(): Promise<void>[] {
    return this.structure.services.flatMap(({ name: service, endpoints, availabilityZone, serviceMs }) => {
      return endpoints.map(async (name) => {
        const endpoint = new StandInService({ name, availabilityZone, service, serviceMs }, this.runs);
        this.services.set(name, endpoint);
        await endpoint.start();
        const node = { name, availabilityZone };
        this._listNow(
          { name, role: "service", availabilityZone, address: "", state: "live", service },
          endpoint.port,
          node,
        );
      });
    });
  }

  private _listNow(instance: ListedInstance, port: number, node: NetworkNode): void {
    this._listed.set(instance.name, {
      port,
      node: { name: node.name, availabilityZone: node.availabilityZone },
    });
    this.list.setNow(instance);
  }

  private async _view(viewer: string, instance: ListedInstance): Promise<string> {
    const { port, node } = requireKnown(this._listed, instance.name);
    const from = this._listed.get(viewer)?.node;
    if (this.options.hasRelays !== true || from === undefined) return `127.0.0.1:${port}`;
    return this.network.getAddress(from, node, port);
  }

  private _getNode(name: string): NetworkNode {
    return requireKnown(this._listed, name).node;
  }

  private async _createSettings(node: NetworkNode, index: number | undefined): Promise<InstanceSettings> {
    const {
      hasRelays,
      firstCallerPort,
      firstOperatorPort,
      claimsHorizonMs,
      appendsPerSecond,
      logRetentionMs,
    } = this.options;
    const getPlatformAddress = async (port: number): Promise<string> => {
      return hasRelays === true ? this.network.getAddress(node, platformNode, port) : `127.0.0.1:${port}`;
    };
    const getPort = (first: number | undefined): number =>
      first === undefined || index === undefined ? 0 : first + index;
    return instanceSettingsSchema.parse({
      instance: {
        ...node,
        callerAddress: `127.0.0.1:${getPort(firstCallerPort)}`,
        operatorAddress: `127.0.0.1:${getPort(firstOperatorPort)}`,
        peerAddress: "127.0.0.1:0",
      },
      platform: {
        logAddress: await getPlatformAddress(this.log.port),
        instanceListAddress: await getPlatformAddress(this.list.port),
        ...(appendsPerSecond === undefined ? {} : { appendsPerSecond }),
        ...(logRetentionMs === undefined ? {} : { logRetentionMs }),
      },
      claims: claimsHorizonMs === undefined ? {} : { horizonMs: claimsHorizonMs },
    });
  }
}

function requireKnown<V>(map: ReadonlyMap<string, V>, name: string): V {
  const value = map.get(name);
  if (value === undefined) throw new errors.InvalidInputError(name, "is not in the fleet");
  return value;
}
