import { Membership } from "@shedtiller/membership";
import { Timeline } from "@shedtiller/timeline";
import { ConfigurationHistory } from "../configuration/ConfigurationHistory.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { ConfigurationWatch } from "../configuration/ConfigurationWatch.js";
import type { EndpointLimits } from "../discovery/EndpointLimits.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { EndpointWatch } from "../discovery/EndpointWatch.js";
import type { EndpointStatements } from "../discovery/EndpointStatements.js";
import { listedEndpointSchema } from "../discovery/ListedEndpoint.js";
import type { GatewaySettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { RequestDemand } from "../requests/RequestDemand.js";
import { DrainingBroadcast } from "./DrainingBroadcast.js";
import type { SharingInstances } from "./InstanceCount.js";
import { LimitBroadcast } from "./LimitBroadcast.js";
import { LoadExchange } from "./LoadExchange.js";
import { PeerDirectory } from "./PeerDirectory.js";
import { PeerExchange } from "./PeerExchange.js";
import { peerTopics } from "./peerMessages.js";
import type { PeerRegistry } from "./PeerRegistry.js";
import { PermitExchange } from "./PermitExchange.js";
import { ConfigurationChangeCodec } from "./ConfigurationChangeCodec.js";
import { WholeChangeCodec } from "./WholeChangeCodec.js";
import { SharedFigures } from "./SharedFigures.js";
import { PeerClocks } from "./PeerClocks.js";
import { StoreRelay } from "./StoreRelay.js";

/**
 * Time after which this instance stops assuming a load for peers. Peers send their load at least every 0.6 s, so a peer that has sent none
 * until then is absent or has no load.
 */
const maxAssumptionMs = 2_000;

/** Dependencies of {@link GatewayPeers}. */
export interface GatewayPeersStructure {
  readonly settings: Pick<GatewaySettings, "instance" | "peers">;
  readonly registry: PeerRegistry;
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly configurationWatch: ConfigurationWatch;
  readonly endpointWatch: EndpointWatch;
  readonly limits: EndpointLimits;
  readonly statements: EndpointStatements;
  readonly demand: RequestDemand;
  readonly log: DecisionLog;
}

/** Creates and runs the components of an instance that communicate with its peers. */
export class GatewayPeers {
  readonly membership: Membership;
  readonly exchange: PeerExchange;
  readonly loads: LoadExchange;
  /** Figures that are summed over all instances together with the loads. */
  readonly figures = new SharedFigures();
  readonly relay: StoreRelay;
  readonly clocks: PeerClocks;
  readonly permits: PermitExchange;
  readonly limitBroadcast: LimitBroadcast;
  readonly drainingBroadcast: DrainingBroadcast;
  private readonly _directory: PeerDirectory;
  private readonly _history: ConfigurationHistory;
  private _assumptionTimer: NodeJS.Timeout | undefined;

  constructor(private readonly _structure: GatewayPeersStructure) {
    const { activeConfiguration, endpoints, log } = _structure;
    this._history = new ConfigurationHistory(activeConfiguration);
    this.membership = this._createMembership();
    this.clocks = new PeerClocks({ membership: this.membership, log });
    this._directory = this._createDirectory();
    this.exchange = this._createExchange();
    this.loads = new LoadExchange({
      membership: this.membership,
      endpoints,
      log,
      figures: this.figures,
    });
    this.relay = this._createRelay();
    this.limitBroadcast = new LimitBroadcast({
      ..._structure,
      membership: this.membership,
      clocks: this.clocks,
    });
    this.drainingBroadcast = new DrainingBroadcast({ ..._structure, membership: this.membership });
    this.permits = this._createPermits();
  }

  /** Returns the names of all known instances, including this one. */
  getInstanceNames(): string[] {
    return this._directory.getInstances().map((instance) => instance.name);
  }

  /** Returns the number of instances, including this one, or undefined until the registry or a peer has reported it. */
  getInstanceCount(): number | undefined {
    return this._directory.getCount();
  }

  /** Returns the instances that divide allowances; undefined while there may be others that this instance does not know. */
  getSharing(): SharingInstances | undefined {
    return this._directory.getSharing();
  }

  /** Starts all tasks and returns their promises. The tasks end once `signal` aborts. */
  start(signal: AbortSignal): Promise<void>[] {
    return [
      this._directory.run(signal),
      this.membership.run(signal),
      this.exchange.run(signal),
      this.loads.run(signal),
      this.relay.run(signal),
      this.clocks.run(signal),
      this.permits.run(signal),
    ];
  }

  private _createMembership(): Membership {
    const { settings, log } = this._structure;
    const { instance, peers } = settings;
    return new Membership({
      self: instance,
      secret: peers.secret,
      timeline: new Timeline(instance.name),
      host: peers.host,
      port: peers.port,
      onLinkChanged: (change) => log.info("peer-link-changed", { ...change }),
    });
  }

  private _createDirectory(): PeerDirectory {
    const { settings, registry, log } = this._structure;
    const { instance, peers } = settings;
    return new PeerDirectory({
      self: { ...instance, address: `${peers.host}:${peers.port}` },
      membership: this.membership,
      registry,
      log,
      isReader: () => this.relay.isReader,
      onInstances: () => this._assumePeerLoads(),
    });
  }

  /**
   * Assumes load of the other instances of this zone until they have sent theirs, since they send their requests to the same engines as
   * this one.
   */
  private _assumePeerLoads(): void {
    const zone = this.membership.self.availabilityZone;
    const others = this.membership.getMembers().filter((member) => member.availabilityZone === zone);
    const { endpoints } = this._structure;
    endpoints.assumePeers(others.length);
    this._assumptionTimer ??= setTimeout(() => endpoints.endAssumption(), maxAssumptionMs).unref();
  }

  private _createExchange(): PeerExchange {
    const { activeConfiguration, endpoints, configurationWatch, endpointWatch, log } = this._structure;
    return new PeerExchange({
      membership: this.membership,
      activeConfiguration,
      endpoints,
      log,
      getEndpointListAgeMs: () => endpointWatch.follower.getFreshnessAgeMs(),
      history: this._history,
      getBehindMs: () => configurationWatch.follower.getBehindMs(),
      getConfigurationOffset: () => configurationWatch.follower.nextOffset,
      advanceTo: (nextOffset) => configurationWatch.follower.advanceTo(nextOffset),
      getEndpointListOffset: () => endpointWatch.follower.nextOffset,
      applyEndpointList: (list) => endpointWatch.applyPeerList(list),
      isRegistryReached: () => this._directory.isRegistryReached,
      getInstances: () => this._directory.getInstances(),
      addInstances: (instances) => this._directory.addInstances(instances),
    });
  }

  private _createPermits(): PermitExchange {
    const { endpoints, demand, log } = this._structure;
    return new PermitExchange({
      membership: this.membership,
      endpoints,
      loads: this.loads,
      demand,
      log,
      getInstanceCount: () => this.getInstanceCount(),
    });
  }

  private _createRelay(): StoreRelay {
    const { configurationWatch, endpointWatch, log } = this._structure;
    const relay = new StoreRelay({
      membership: this.membership,
      log,
      clocks: this.clocks,
      refreshFrom: async (peer) => {
        await Promise.all([this.clocks.ask(peer), this.exchange.requestFrom(peer)]);
      },
    });
    const { configurationRead, endpointsRead } = peerTopics;
    relay.addFeed(
      configurationRead,
      configurationWatch.follower,
      new ConfigurationChangeCodec(this._history),
    );
    relay.addFeed(endpointsRead, endpointWatch.follower, new WholeChangeCodec(listedEndpointSchema));
    return relay;
  }
}
