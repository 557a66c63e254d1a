/**
 * Simulation of a fleet that follows large configurations. It runs the production code that reads, broadcasts and requests them in
 * simulated time, with the link and processor rates of the smallest instances.
 */
import { utils } from "@shedtiller/common";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { ConfigurationWatch } from "../../configuration/ConfigurationWatch.js";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { EndpointWatch } from "../../discovery/EndpointWatch.js";
import { listedEndpointSchema, type ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PeerExchange } from "../../peers/PeerExchange.js";
import { peerTopics } from "../../peers/peerMessages.js";
import { ConfigurationChangeCodec } from "../../peers/ConfigurationChangeCodec.js";
import { WholeChangeCodec } from "../../peers/WholeChangeCodec.js";
import { StoreRelay } from "../../peers/StoreRelay.js";
import { createConfiguration, createRoute } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { FleetNetwork } from "./FleetNetwork.js";
import { SimulatedClock } from "./SimulatedClock.js";
import { SimulatedLink } from "./SimulatedLink.js";
import { SimulatedStore, UnchangedFeed } from "./SimulatedStore.js";

/** A link of 14 Mbit/s, the slowest of the current deployments. */
const linkBytesPerMs = 1_750;
/** Output rate of the store for all readers together. */
const storeBytesPerMs = 80_000;
/** Rates of the smallest instances, which have 0.324 of a core. A whole core decodes 0.45 MB in 43 ms and encodes it in 20 ms. */
const decodeBytesPerMs = 3_500;
const encodeBytesPerMs = 7_000;
const deadlineMs = 3_000;
const relayTickMs = 200;
const requestTickMs = 400;
/** Each route is as large as ten usual ones, so that a large configuration has fewer of them and the simulation takes seconds. */
const routeBytes = 2_050;

/** Options of a {@link ConfigurationFleet}. */
export interface ConfigurationFleetOptions {
  readonly zones: readonly string[];
  readonly instancesPerZone: number;
  readonly seed: number;
}

/** One run of an instance, from its start to its end. */
export interface FleetInstance {
  readonly name: string;
  readonly availabilityZone: string;
  readonly startedAtMs: number;
  readonly activeConfiguration: ActiveConfiguration;
  readonly inLink: SimulatedLink;
  /** Returns when a version or a newer one came into force; infinite if it did not. */
  readonly getInForceAtMs: (version: number) => number;
}

interface Running extends FleetInstance {
  readonly stop: AbortController;
}

/** Simulates instances with their store and their network. */
export class ConfigurationFleet {
  readonly clock = new SimulatedClock();
  readonly store = new SimulatedStore(this.clock, storeBytesPerMs);
  readonly network = new FleetNetwork(this.clock);
  /** Zones that cannot reach the store. */
  readonly withoutStore = new Set<string>();
  private readonly _random: utils.RandomSource;
  private readonly _instances = new Map<string, Running>();

  constructor(options: ConfigurationFleetOptions) {
    this._random = new utils.RandomSource(options.seed);
    for (const zone of options.zones) {
      for (let index = 1; index <= options.instancesPerZone; index++) this.start(`${zone}-${index}`, zone);
    }
  }

  get instances(): readonly FleetInstance[] {
    return [...this._instances.values()];
  }

  get(name: string): FleetInstance {
    const instance = this._instances.get(name);
    if (instance === undefined) throw new RangeError(`There is no instance ${name}.`);
    return instance;
  }

  /** Kills an instance. */
  kill(name: string): void {
    this._instances.get(name)?.stop.abort();
    this._instances.delete(name);
    this.network.leave(name);
  }

  /** Starts an instance without any state. */
  start(name: string, availabilityZone: string): void {
    const { clock } = this;
    const activeConfiguration = new ActiveConfiguration(clock.nowMs);
    const history = new ConfigurationHistory(activeConfiguration);
    const inLink = new SimulatedLink(clock, linkBytesPerMs);
    const processor = new SimulatedLink(clock, 1);
    const decode = (sizeBytes: number): Promise<void> => processor.pass(sizeBytes / decodeBytesPerMs);
    const encode = (sizeBytes: number): Promise<void> => processor.pass(sizeBytes / encodeBytesPerMs);
    const outLink = new SimulatedLink(clock, linkBytesPerMs);
    const identity = { name, availabilityZone };
    const membership = this.network.join({ identity, inLink, outLink, encode, decode });
    const activations: { version: number; atMs: number }[] = [];
    activeConfiguration.onChanged(({ version }) => void activations.push({ version, atMs: clock.nowMs() }));
    const getInForceAtMs = (version: number): number =>
      activations.find((activation) => activation.version >= version)?.atMs ?? Number.POSITIVE_INFINITY;
    const isCutOff = (): boolean => this.withoutStore.has(availabilityZone);
    const log = new DecisionLog(new SilentLogOutput(), clock.nowMs);
    const feed = this.store.createFeed({ inLink, decode, isCutOff });
    const time = { nowMs: clock.nowMs, pause: clock.sleep };
    const watch = new ConfigurationWatch(activeConfiguration, feed, log, deadlineMs, time);
    const endpointFeed = new UnchangedFeed<ListedEndpoint>(clock, isCutOff);
    const endpointWatch = new EndpointWatch(new EndpointTable(), endpointFeed, log, time);
    const clocks = {
      read: () => ({ nowMs: clock.nowMs(), clockId: "" }),
      getSentAtMs: (_peer: string, sentAtMs?: number) => sentAtMs,
    };
    const refreshFrom = (peer: string): Promise<void> => exchange.requestFrom(peer);
    const relay = new StoreRelay({ membership, log, clocks, refreshFrom, nowMs: clock.nowMs });
    relay.addFeed(peerTopics.configurationRead, watch.follower, new ConfigurationChangeCodec(history));
    relay.addFeed(
      peerTopics.endpointsRead,
      endpointWatch.follower,
      new WholeChangeCodec(listedEndpointSchema),
    );
    const exchange = this._createExchange(membership, activeConfiguration, history, watch, log);
    activeConfiguration.onChanged(({ version }) => {
      if (relay.isReader) exchange.broadcastVersion(version);
    });
    const stop = new AbortController();
    void watch.run(stop.signal);
    void endpointWatch.run(stop.signal);
    void this._repeat(relayTickMs, stop.signal, () => relay.check());
    void this._repeat(requestTickMs, stop.signal, () => exchange.requestIfStale());
    const startedAtMs = clock.nowMs();
    this._instances.set(name, {
      name,
      availabilityZone,
      startedAtMs,
      activeConfiguration,
      inLink,
      getInForceAtMs,
      stop,
    });
  }

  private _createExchange(
    membership: ReturnType<FleetNetwork["join"]>,
    activeConfiguration: ActiveConfiguration,
    history: ConfigurationHistory,
    watch: ConfigurationWatch,
    log: DecisionLog,
  ): PeerExchange {
    return new PeerExchange({
      membership,
      activeConfiguration,
      endpoints: new EndpointTable(),
      log,
      getEndpointListAgeMs: () => 0,
      history,
      getBehindMs: () => watch.follower.getBehindMs(),
      getConfigurationOffset: () => watch.follower.nextOffset,
      advanceTo: (nextOffset) => watch.follower.advanceTo(nextOffset),
      getEndpointListOffset: () => 0,
      applyEndpointList: () => undefined,
      isRegistryReached: () => true,
      getInstances: () => [],
      addInstances: () => undefined,
      nowMs: this.clock.nowMs,
      pause: this.clock.sleep,
      random: () => this._random.nextUnit(),
    });
  }

  private async _repeat(
    intervalMs: number,
    signal: AbortSignal,
    step: () => Promise<void> | void,
  ): Promise<void> {
    while (!signal.aborted) {
      await step();
      await this.clock.sleep(intervalMs - (this.clock.nowMs() % intervalMs), signal).catch(() => undefined);
    }
  }
}

/** Creates a configuration with a number of routes, and one account whose key contains the version. */
export function createLargeConfiguration(version: number, routes: number): GatewayConfiguration {
  while (cachedRoutes.length < routes) {
    const name = `r${cachedRoutes.length}`;
    cachedRoutes.push(createRoute({ name, host: name.padEnd(routeBytes, "x") }));
  }
  const configuration = createConfiguration(version, cachedRoutes.slice(0, routes));
  return { ...configuration, accounts: [{ name: "farm", apiKeys: [`k${version}`] }] };
}

const cachedRoutes: GatewayConfiguration["routes"] = [];
