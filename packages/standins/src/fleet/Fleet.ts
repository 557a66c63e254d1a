/** A fleet in one process: real entry instances with stand-ins for their dependencies, connected by real sockets. */
import { errors, utils } from "@shedtiller/common";
import { composeEntry, EntryInstance, type DrainReport } from "@shedtiller/entry";
import * as intent from "@shedtiller/intent";
import type { ListedInstance } from "@shedtiller/logservice";
import { instanceSettingsSchema, type InstanceSettings } from "@shedtiller/settings";
import type * as inversify from "inversify";
import { ExecutionLog } from "../engine/ExecutionLog.js";
import { StandInEngine } from "../engine/StandInEngine.js";
import { callerNode, StandInNetwork, type NetworkNode } from "../network/StandInNetwork.js";
import { StandInInstanceList } from "../platform/StandInInstanceList.js";
import { StandInLog } from "../platform/StandInLog.js";
import { StandInWeightStore } from "../platform/StandInWeightStore.js";
import { RunCounts } from "../service/RunCounts.js";
import { StandInService } from "../service/StandInService.js";
import type { FleetOptions, FleetStructure } from "./FleetStructure.js";
import { getLayerCount, seedConfiguration } from "./seedConfiguration.js";

const settleTimeoutMs = 20_000;
const defaultListLagMs = 300;
const platformNode: NetworkNode = { name: "platform", availabilityZone: undefined };

/** Rebinds components in the container of an instance before the instance is created, as an embedder may. */
export type ContainerHook = (container: inversify.Container) => void;

/** Manages the life cycle of a fleet, and injects failures of its instances and endpoints. */
export class Fleet {
  /** Layer executions at all engines. */
  readonly executionLog = new ExecutionLog();
  /** Runs of requests at all service endpoints. */
  readonly runs = new RunCounts();
  readonly weightStore = new StandInWeightStore();
  readonly network = new StandInNetwork();
  readonly log: StandInLog;
  readonly instanceList: StandInInstanceList;
  readonly engines = new Map<string, StandInEngine>();
  readonly services = new Map<string, StandInService>();
  readonly instances = new Map<string, EntryInstance>();
  /** API key of each client account, by account name. */
  readonly accountKeys: ReadonlyMap<string, string>;
  readonly operatorToken = intent.createAccountKey();
  /** Drain report of each planned stop, by instance name. */
  readonly drains = new Map<string, Promise<DrainReport>>();
  readonly peerSecret = utils.newId();
  private readonly _listedNodes = new Map<string, { port: number; node: NetworkNode }>();
  private readonly _containerHooks: ContainerHook[] = [];

  constructor(
    readonly structure: FleetStructure,
    readonly options: FleetOptions = {},
  ) {
    const { appendsPerSecond, appendMs, logRetentionMs: retentionMs } = options;
    this.log = new StandInLog({ appendsPerSecond, appendMs, retentionMs });
    this.instanceList = new StandInInstanceList(options.listLagMs ?? defaultListLagMs, (viewer, instance) =>
      this._resolveAddress(viewer, instance),
    );
    this.accountKeys = seedConfiguration(structure, this.log);
  }

  /** Applies `hook` to the container of every instance that is created afterwards. */
  addContainerHook(hook: ContainerHook): void {
    this._containerHooks.push(hook);
  }

  /**
   * Starts all stand-ins and instances, and waits until the fleet is settled.
   * @throws {@link errors.DeadlineError} if the fleet is not settled within 20 s.
   */
  async start(): Promise<void> {
    await Promise.all([this.log.start(), this.instanceList.start()]);
    await Promise.all([...this._createEngines(), ...this._createServices()]);
    for (const [index, { name, availabilityZone }] of this.structure.instances.entries()) {
      await this.addInstance(name, availabilityZone, index);
    }
    if (!(await utils.waitUntil(() => this.isSettled, settleTimeoutMs, 20))) {
      throw new errors.DeadlineError("The start of the fleet", settleTimeoutMs);
    }
  }

  /** Whether every instance is ready, has a report from each engine and is linked with all its peers. */
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

  /** Starts an additional instance. */
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
    for (const hook of this._containerHooks) hook(container);
    const instance = container.get(EntryInstance);
    await instance.start();
    this.instances.set(name, instance);
    this._addToInstanceList(
      { name, role: "entry", availabilityZone, address: "", state: "live" },
      instance.membership.port,
      node,
    );
    return instance;
  }

  /** Adds an instance that runs in another process to the instance list. */
  addExternalInstance(name: string, availabilityZone: string, peerPort: number): void {
    this._addToInstanceList({ name, role: "entry", availabilityZone, address: "", state: "live" }, peerPort, {
      name,
      availabilityZone,
    });
  }

  /** Returns the address at which callers reach an instance. */
  async getCallerAddress(name: string): Promise<string> {
    const instance = this.requireInstance(name);
    if (this.options.hasRelays !== true) return `127.0.0.1:${instance.callerPort}`;
    return this.network.getAddress(callerNode, this._getNode(name), instance.callerPort);
  }

  requireInstance(name: string): EntryInstance {
    return requireByName(this.instances, name);
  }

  requireEngine(name: string): StandInEngine {
    return requireByName(this.engines, name);
  }

  /** Kills an instance without notice to its peers or callers. */
  async killInstance(name: string): Promise<void> {
    this.network.disconnectNode(name);
    await this.requireInstance(name).kill();
    this.instances.delete(name);
    this.instanceList.remove(name);
  }

  /** Starts the planned stop of an instance. Its drain report is added to `drains`. */
  stopInstance(name: string): void {
    const instance = this.requireInstance(name);
    const drain = instance.drain().then((report) => {
      this.instances.delete(name);
      this.instanceList.remove(name);
      return report;
    });
    this.drains.set(name, drain);
  }

  /** Starts draining an endpoint: the instance list shows the state "leaving", and an engine also reports it to its clients. */
  drainEndpoint(name: string): void {
    const endpoint = this.engines.get(name) ?? requireByName(this.services, name);
    endpoint.startDraining();
    const { availabilityZone } = endpoint.structure;
    const service = endpoint instanceof StandInService ? endpoint.structure.service : undefined;
    const role = service === undefined ? "engine" : "service";
    this.instanceList.set({ name, role, availabilityZone, address: "", state: "leaving", service });
  }

  /** Stops all instances and stand-ins. */
  async close(): Promise<void> {
    for (const engine of this.engines.values()) engine.resume();
    for (const service of this.services.values()) service.resume();
    await Promise.all([...this.instances.values()].map((instance) => instance.kill()));
    this.network.close();
    const standIns = [...this.engines.values(), ...this.services.values(), this.log, this.instanceList];
    await Promise.all(standIns.map((standIn) => standIn.close()));
  }

  private _createEngines(): Promise<void>[] {
    const dependencies = {
      executionLog: this.executionLog,
      weightStore: this.weightStore,
      reportLagMs: this.options.reportLagMs ?? 0,
      getLayerCount: (model: string) => getLayerCount(this.structure, model),
    };
    return this.structure.endpoints.map(async (structure) => {
      const engine = new StandInEngine(structure, dependencies);
      this.engines.set(structure.name, engine);
      await engine.start();
      const { name, availabilityZone } = structure;
      this._addToInstanceList(
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
        this._addToInstanceList(
          { name, role: "service", availabilityZone, address: "", state: "live", service },
          endpoint.port,
          node,
        );
      });
    });
  }

  private _addToInstanceList(instance: ListedInstance, port: number, node: NetworkNode): void {
    this._listedNodes.set(instance.name, {
      port,
      node: { name: node.name, availabilityZone: node.availabilityZone },
    });
    this.instanceList.setNow(instance);
  }

  private async _resolveAddress(viewer: string, instance: ListedInstance): Promise<string> {
    const { port, node } = requireByName(this._listedNodes, instance.name);
    const from = this._listedNodes.get(viewer)?.node;
    if (this.options.hasRelays !== true || from === undefined) return `127.0.0.1:${port}`;
    return this.network.getAddress(from, node, port);
  }

  private _getNode(name: string): NetworkNode {
    return requireByName(this._listedNodes, name).node;
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
        instanceListAddress: await getPlatformAddress(this.instanceList.port),
        ...(appendsPerSecond === undefined ? {} : { appendsPerSecond }),
        ...(logRetentionMs === undefined ? {} : { logRetentionMs }),
      },
      claims: claimsHorizonMs === undefined ? {} : { horizonMs: claimsHorizonMs },
    });
  }
}

function requireByName<V>(map: ReadonlyMap<string, V>, name: string): V {
  const value = map.get(name);
  if (value === undefined) throw new errors.InvalidInputError(name, "is not in the fleet");
  return value;
}
