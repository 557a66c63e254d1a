import { setMaxListeners } from "node:events";
import { errors, utils } from "@shedtiller/common";
import { ConcurrentRestarts } from "./chains/ConcurrentRestarts.js";
import { ActiveConfiguration } from "./configuration/ActiveConfiguration.js";
import { DenialFreshness } from "./configuration/DenialFreshness.js";
import { KeyFreshness } from "./configuration/KeyFreshness.js";
import type { GatewayConfiguration } from "./configuration/gatewayConfiguration.js";
import type { ChangeFeed } from "./discovery/ChangeFeed.js";
import { RequestQuarantine } from "./crashes/RequestQuarantine.js";
import type { QuarantineStore } from "./crashes/QuarantineStore.js";
import { ConfigurationWatch } from "./configuration/ConfigurationWatch.js";
import { EndpointHealth } from "./discovery/EndpointHealth.js";
import { EndpointLimits } from "./discovery/EndpointLimits.js";
import { EndpointStatements } from "./discovery/EndpointStatements.js";
import { EndpointTable } from "./discovery/EndpointTable.js";
import { EndpointWatch } from "./discovery/EndpointWatch.js";
import type { ListedEndpoint } from "./discovery/ListedEndpoint.js";
import { addGauges } from "./addGauges.js";
import { GatewayMetrics } from "./GatewayMetrics.js";
import { bytesPerMb, getChangedSections, type GatewaySettings } from "./gatewaySettings.js";
import { AnswerMemory } from "./http/AnswerMemory.js";
import { HttpClient } from "./http/HttpClient.js";
import type { MessageCodec } from "./http/MessageCodec.js";
import { LoadControls } from "./loadcontrol/LoadControls.js";
import { PressureView } from "./loadcontrol/PressureView.js";
import type { DecisionLog } from "./logs/DecisionLog.js";
import type { EngineOrders } from "./orders/EngineOrders.js";
import { EnginePoll } from "./orders/EnginePoll.js";
import { LayerReconciler } from "./orders/LayerReconciler.js";
import type { LeaderElection } from "./orders/LeaderElection.js";
import { Leadership } from "./orders/Leadership.js";
import { LifeCheckedOrders } from "./orders/LifeCheckedOrders.js";
import { GatewayPeers } from "./peers/GatewayPeers.js";
import type { PeerRegistry } from "./peers/PeerRegistry.js";
import { ConnectionGate } from "./requests/ConnectionGate.js";
import { CallerListener } from "./requests/CallerListener.js";
import type { CallerRequest } from "./requests/CallerRequest.js";
import { drainCallers } from "./requests/drainCallers.js";
import { ForwarderSet } from "./requests/ForwarderSet.js";
import { PermitForecast } from "./requests/PermitForecast.js";
import { Reachability } from "./paths/Reachability.js";
import { ReadinessListener } from "./requests/ReadinessListener.js";
import type { ForwardContext } from "./requests/RequestForwarder.js";
import { RequestDemand } from "./requests/RequestDemand.js";
import { RetryBudgets, toBudgetOptions } from "./requests/RetryBudgets.js";
import { StopDeadline } from "./StopDeadline.js";

/** Implementations that the platform provides for the abstract classes of this package. */
export interface GatewayPlatform {
  readonly configurationFeed: ChangeFeed<GatewayConfiguration>;
  readonly endpointFeed: ChangeFeed<ListedEndpoint>;
  readonly registry: PeerRegistry;
  readonly election: LeaderElection;
  readonly orders: EngineOrders;
  readonly quarantineStore: QuarantineStore;
  readonly codec: MessageCodec;
  /** The client with which orders are sent to endpoints. */
  readonly httpClient: HttpClient;
}

/** Creates the components of a gateway instance, and runs them from the start to the end of a planned stop. */
export class GatewayInstance {
  readonly activeConfiguration = new ActiveConfiguration();
  readonly endpoints = new EndpointTable();
  readonly metrics = new GatewayMetrics();
  readonly crashes: RequestQuarantine;
  private readonly _configurationWatch: ConfigurationWatch;
  private readonly _endpointWatch: EndpointWatch;
  private readonly _peers: GatewayPeers;
  private readonly _leadership: Leadership;
  private readonly _layerReconciler: LayerReconciler;
  private readonly _enginePoll: EnginePoll;
  private readonly _budgets: RetryBudgets;
  private readonly _limits: EndpointLimits;
  private readonly _statements: EndpointStatements;
  private readonly _health: EndpointHealth;
  private readonly _reachability: Reachability;
  private readonly _demand = new RequestDemand();
  private readonly _controls: LoadControls;
  private readonly _pressure: PressureView;
  private readonly _forwarders: ForwarderSet;
  private readonly _callerListener: CallerListener;
  private readonly _connectionGate: ConnectionGate;
  private readonly _readinessListener: ReadinessListener;
  private readonly _httpClient: HttpClient;
  private readonly _stop = new AbortController();
  private readonly _keys = new KeyFreshness(this.activeConfiguration, () => this._settings.keys);
  private _isDraining = false;

  constructor(
    private _settings: GatewaySettings,
    platform: GatewayPlatform,
    private readonly _log: DecisionLog,
  ) {
    const { answers, callers, retries } = _settings;
    this._httpClient = new HttpClient(new AnswerMemory(answers.maxBufferedMb * bytesPerMb));
    this._budgets = new RetryBudgets(toBudgetOptions(retries), {
      getSharing: () => this._peers.getSharing(),
      log: _log,
      count: (service, event) => this.metrics.retryBudget.inc({ service, event }),
    });
    this._limits = new EndpointLimits({
      log: _log,
      count: (service) => this.metrics.namedLimits.inc({ service }),
    });
    this._statements = this._createStatements();
    platform.orders.onAnswer((target, answer) => this._statements.noteOrderAnswer(target, answer));
    this._configurationWatch = new ConfigurationWatch(
      this.activeConfiguration,
      platform.configurationFeed,
      _log,
      _settings.configuration.deadlineMs,
    );
    this._endpointWatch = new EndpointWatch(this.endpoints, platform.endpointFeed, _log);
    this._peers = this._createPeers(platform.registry);
    const { relay, exchange } = this._peers;
    this._reachability = this._createReachability(platform.httpClient);
    this.crashes = this._createQuarantine(platform.quarantineStore);
    this._leadership = new Leadership(platform.election, _log, {
      mayCampaign: () => relay.isReader,
      canLead: () => !this._reachability.paths.isIsolated,
    });
    const broadcastRestart = (id: string, bornAtMs: number): void => exchange.broadcastRestart(id, bornAtMs);
    const orders = new LifeCheckedOrders(platform.orders, this.endpoints, broadcastRestart);
    this._health = this._createEndpointHealth(orders);
    this._layerReconciler = this._createLayerReconciler(orders);
    this._reachability.paths.onIsolationChanged(() => this._layerReconciler.forgetLostEngines());
    this._controls = this._createControls();
    this._pressure = this._createPressureView();
    this._forwarders = new ForwarderSet(this._createForwardContext(platform.codec), orders);
    this._connectionGate = new ConnectionGate({ membership: this._peers.membership, log: _log });
    this._callerListener = this._createCallerListener(platform.codec);
    const { readiness } = callers;
    this._readinessListener = new ReadinessListener(readiness.host, readiness.port, () => this._isReady());
    this._enginePoll = this._createEnginePoll(orders);
    this.activeConfiguration.onChanged((table) => {
      if (relay.isReader) exchange.broadcastVersion(table.version);
    });
    this._demand.onPermits((service, count) => this.metrics.permits.inc({ service }, count));
    addGauges(this.metrics, {
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      crashes: this.crashes.detector,
      membership: this._peers.membership,
      callerListener: this._callerListener,
      forwarders: this._forwarders,
      reachability: this._reachability,
      budgets: this._budgets,
      answerMemory: this._httpClient.memory,
    });
  }

  /** Starts the listeners and all tasks, and resolves once the listeners accept connections. */
  async start(): Promise<void> {
    const { signal } = this._stop;
    // All tasks listen to this signal, so the default limit on the number of listeners does not apply.
    setMaxListeners(0, signal);
    const onInUse = (address: string): void => this._log.warn("address-in-use", { address });
    for (const listener of [this._callerListener, this._readinessListener, this._peers.membership])
      await listener.listen({ onInUse });
    await this.metrics.listen(this._settings.metrics, { onInUse });
    const tasks = [
      this._configurationWatch.run(signal),
      this._endpointWatch.run(signal),
      ...this._peers.start(signal),
      this._leadership.run(signal),
      this._layerReconciler.run(signal),
      this.crashes.run(signal),
      this._enginePoll.run(signal),
      this._forwarders.monitor.run(signal),
      this._pressure.run(signal),
      this._health.run(signal),
      this._reachability.run(signal),
      this._connectionGate.run(signal, this._callerListener),
    ];
    for (const task of tasks) task.catch((error: unknown) => this._logTaskFailure(error));
    this._log.info("instance-started", { ...this._settings.instance });
  }

  /** Applies reloaded settings. Changed settings that need a restart, such as the addresses of listeners and names, are only logged. */
  reload(settings: GatewaySettings): void {
    const { keys, retries, callers } = settings;
    const changed = getChangedSections(this._settings, settings);
    this._settings = {
      ...this._settings,
      keys,
      retries,
      callers: { ...this._settings.callers, stopGraceS: callers.stopGraceS },
    };
    this._budgets.setOptions(toBudgetOptions(retries));
    const needsRestart = getChangedSections(this._settings, settings);
    this._log.info("settings-reloaded", { changed, needsRestart });
    void this.crashes.reconcileWithStore();
  }

  /** Stops the instance once its requests in flight have finished, or at the stop deadline. */
  async drain(): Promise<void> {
    const deadline = new StopDeadline(this._settings.callers.stopGraceS * utils.msPerSecond);
    this._isDraining = true;
    this._callerListener.drain();
    this._peers.membership.leave();
    this._reachability.server.leave();
    this._log.info("drain-began", { inHand: this._callerListener.inFlight });
    await drainCallers({
      listener: this._callerListener,
      deadline,
      hasOtherWork: () => this._reachability.server.carried > 0,
    });
    this._log.info("instance-stopped", { inHand: this._callerListener.inFlight });
    await this._callerListener.refuseInFlight();
    this._stop.abort();
    this._callerListener.close();
    this._readinessListener.close();
    this.metrics.close();
    this._peers.membership.close();
    this._reachability.server.close();
    this._httpClient.close();
    // The process may exit right after this, and connections are closed in the next turns of the event loop.
    await utils.readArrived();
  }

  private _createStatements(): EndpointStatements {
    return new EndpointStatements({
      endpoints: this.endpoints,
      limits: this._limits,
      log: this._log,
      count: (what, service) => this.metrics.statements.inc({ what, service }),
    });
  }

  private _createPeers(registry: PeerRegistry): GatewayPeers {
    return new GatewayPeers({
      settings: this._settings,
      registry,
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      configurationWatch: this._configurationWatch,
      endpointWatch: this._endpointWatch,
      limits: this._limits,
      statements: this._statements,
      demand: this._demand,
      log: this._log,
    });
  }

  private _createReachability(orderClient: HttpClient): Reachability {
    return new Reachability({
      membership: this._peers.membership,
      listen: this._settings.peers,
      endpoints: this.endpoints,
      log: this._log,
      httpClients: [this._httpClient, orderClient],
    });
  }

  private _createQuarantine(store: QuarantineStore): RequestQuarantine {
    const { membership, clocks, relay } = this._peers;
    const observed = { membership, clocks, endpoints: this.endpoints, log: this._log };
    return new RequestQuarantine({
      ...observed,
      store,
      probe: this._reachability.connector.probe,
      isReader: () => relay.isReader,
      getInstanceNames: () => this._peers.getInstanceNames(),
      count: (event) => (event === "crash" ? this.metrics.crashes : this.metrics.quarantinedRequests).inc(),
      onCrash: (endpoint) => this._health.noteCrash(endpoint),
    });
  }

  private _createLayerReconciler(orders: EngineOrders): LayerReconciler {
    return new LayerReconciler({
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      orders,
      log: this._log,
      areFirstEnginesEqualized: this._settings.loadControl.firstEngineShare !== "off",
      mayOrder: () => this._leadership.isLeader() && !this._reachability.paths.isIsolated,
    });
  }

  private _createCallerListener(codec: MessageCodec): CallerListener {
    return new CallerListener({
      ...this._settings.callers.listen,
      activeConfiguration: this.activeConfiguration,
      codec,
      log: this._log,
      areKeysFresh: () => this._keys.areKeysFresh(),
      denialFreshness: this._createDenialFreshness(),
      forward: (request) => this._forward(request),
      ...this.metrics.callerEvents,
    });
  }

  private _createDenialFreshness(): DenialFreshness {
    return new DenialFreshness({
      activeConfiguration: this.activeConfiguration,
      getBehindMs: () => this._configurationWatch.follower.getBehindMs(),
      getDeadlineMs: () => this._settings.configuration.deadlineMs,
    });
  }

  private _createEnginePoll(orders: EngineOrders): EnginePoll {
    return new EnginePoll({
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      orders,
      log: this._log,
      availabilityZone: this._settings.instance.availabilityZone,
      mayPoll: () => this._peers.loads.isCollector,
      broadcastSlowness: (endpointId, slowness) =>
        this._peers.exchange.broadcastSlowness(endpointId, slowness),
    });
  }

  private _createForwardContext(codec: MessageCodec): ForwardContext {
    return {
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      httpClient: this._httpClient,
      codec,
      budgets: this._budgets,
      log: this._log,
      availabilityZone: this._settings.instance.availabilityZone,
      failureDetector: this._health.detector,
      paths: this._reachability.paths,
      crashes: this.crashes.detector,
      statements: this._statements,
      demand: this._demand,
      forecast: this._createForecast(),
      restarts: new ConcurrentRestarts(() => this._peers.getInstanceCount()),
      controls: this._controls,
      countDoubt: (cause, result) => this.metrics.streamDoubts.inc({ cause, result }),
      countEndless: (service, cause) => this.metrics.endedAnswers.inc({ service, cause }),
      broadcastFull: (endpointId) => this._peers.exchange.broadcastFull(endpointId),
    };
  }

  private _createControls(): LoadControls {
    return new LoadControls({
      settings: this._settings.loadControl,
      availabilityZone: this._settings.instance.availabilityZone,
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      figures: this._peers.figures,
      metrics: this.metrics,
      drainMs: this._settings.endpoints.drainMs,
      log: this._log,
    });
  }

  private _createPressureView(): PressureView {
    const view = new PressureView({
      instance: this._settings.instance,
      loads: this._peers.loads,
      figures: this._peers.figures,
      sources: this._controls.pressureSources,
      log: this._log,
    });
    view.addTo(this.metrics);
    return view;
  }

  private _createForecast(): PermitForecast {
    const getInstanceCount = (): number | undefined => this._peers.getInstanceCount();
    return new PermitForecast({ endpoints: this.endpoints, demand: this._demand, getInstanceCount });
  }

  private _createEndpointHealth(orders: EngineOrders): EndpointHealth {
    return new EndpointHealth({
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      orders,
      exchange: this._peers.exchange,
      paths: this._reachability.paths,
      probe: this._reachability.connector.probe,
      log: this._log,
      count: (cause) => this.metrics.suspicions.inc({ cause }),
    });
  }

  private async _forward(request: CallerRequest): Promise<void> {
    await this._forwarders.forward(request);
    const { kind } = request.route;
    this.metrics.requests.inc({ kind, outcome: request.outcome });
    this.metrics.duration.observe({ kind }, (utils.monotonicMs() - request.arrivedAtMs) / utils.msPerSecond);
  }

  private _isReady(): boolean {
    const { table } = this.activeConfiguration;
    if (this._isDraining || table === undefined || !this.endpoints.hasList) return false;
    return !table.hasAccounts || this._keys.areKeysFresh();
  }

  private _logTaskFailure(error: unknown): void {
    if (error instanceof errors.CancelledError) return;
    this._log.error("task-failed", { cause: errors.describeError(error) });
  }
}
