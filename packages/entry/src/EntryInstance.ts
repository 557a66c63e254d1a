/** Lifecycle of one entry instance. */
import { EventEmitter } from "node:events";
import * as fs from "node:fs";
import * as admission from "@shedtiller/admission";
import * as claims from "@shedtiller/claims";
import { errors, utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import * as membership from "@shedtiller/membership";
import * as pipeline from "@shedtiller/pipeline";
import * as logservice from "@shedtiller/logservice";
import * as routing from "@shedtiller/routing";
import type { InstanceSettings } from "@shedtiller/settings";
import * as timeline from "@shedtiller/timeline";
import type * as inversify from "inversify";
import { ConfigurationSync } from "./configuration/ConfigurationSync.js";
import { InstanceListPoller } from "./feeds/InstanceListPoller.js";
import { PipelineDemands } from "./feeds/PipelineDemands.js";
import { VersionsInUse } from "./feeds/VersionsInUse.js";
import { ZoneStateExchange } from "./feeds/ZoneStateExchange.js";
import { getZoneSource } from "./feeds/zoneStateMessages.js";
import { AccountDirectory } from "./http/authenticate.js";
import { addCallerRoutes } from "./http/callerRoutes.js";
import { CompletionHandler } from "./http/CompletionHandler.js";
import { HttpListener } from "./http/HttpListener.js";
import { addOperatorRoutes } from "./http/operatorRoutes.js";
import { ServiceHandler } from "./http/ServiceHandler.js";
import type { StoredAnswer } from "./http/StoredAnswer.js";
import { InFlightRequests } from "./InFlightRequests.js";
import type { Logs, ComponentLog } from "./logs/createLogs.js";
import { InstanceMetrics } from "./metrics/InstanceMetrics.js";
import { PipelineQueues } from "./PipelineQueues.js";
import { PlanService } from "./operators/PlanService.js";
import { Planner } from "./operators/Planner.js";
import { StatusGatherer } from "./operators/StatusGatherer.js";
import { TimelineGatherer } from "./operators/TimelineGatherer.js";
import { OrderReconciler, markRetiringEngines } from "./orders/OrderReconciler.js";
import { serviceIdentifiers } from "./serviceIdentifiers.js";
import type { InstanceSecrets } from "./secrets.js";
import { Tokenizer } from "./text/Tokenizer.js";

const readyPollMs = 10;
const retiringUpdateIntervalMs = 250;
/** Time since its start from which an instance may become ready without the log, if all linked peers have answered. */
const peerWaitMs = 2_000;

/** Result of a drain. */
export interface DrainReport {
  /** Ids of the requests that were aborted while the instance drained. */
  readonly abortedRequestIds: readonly string[];
}

/** Starts, drains and stops an entry instance. Can be embedded in another process; created by `composeEntry`. */
export class EntryInstance {
  readonly settings: InstanceSettings;
  readonly timeline: timeline.Timeline;
  readonly configuration: intent.ConfigurationProjection;
  readonly membership: membership.Membership;
  readonly directory: routing.EndpointDirectory;
  readonly pipeline: pipeline.PipelineContext;
  readonly metrics: InstanceMetrics;
  private readonly _log: ComponentLog;
  private readonly _shutdown: AbortController;
  private readonly _inFlight: InFlightRequests;
  private readonly _callerListener: HttpListener;
  private readonly _operatorListener: HttpListener;
  private _isDraining = false;
  private _startedAtMs = 0;
  private _wasReady = false;
  private _abortedRequestIds: string[] = [];
  private _tasks: Promise<unknown>[] = [];

  constructor(private readonly _container: Pick<inversify.ResolutionContext, "get">) {
    this.settings = _container.get<InstanceSettings>(serviceIdentifiers.settings);
    this.timeline = _container.get(timeline.Timeline);
    this.configuration = _container.get(intent.ConfigurationProjection);
    this.membership = _container.get(membership.Membership);
    this.directory = _container.get(routing.EndpointDirectory);
    this.pipeline = _container.get(pipeline.PipelineContext);
    this.metrics = _container.get(InstanceMetrics);
    this._log = _container.get<Logs>(serviceIdentifiers.logs).forComponent("entry");
    this._shutdown = _container.get<AbortController>(serviceIdentifiers.shutdown);
    this._inFlight = _container.get(InFlightRequests);
    this._callerListener = this._createListener("callers", this.settings.instance.callerAddress);
    this._operatorListener = this._createListener("operators", this.settings.instance.operatorAddress);
  }

  /** Name of the instance. */
  get name(): string {
    return this.settings.instance.name;
  }

  /** Port of the callers' listener. */
  get callerPort(): number {
    return this._callerListener.port;
  }

  /** Port of the operators' listener. */
  get operatorPort(): number {
    return this._operatorListener.port;
  }

  /** Whether the instance drains, or has drained. */
  get isDraining(): boolean {
    return this._isDraining;
  }

  /**
   * Whether the instance may serve: it has a configuration, and neither the log nor any reachable peer has a newer one. An
   * instance stays ready even if it is partitioned later, since its configuration never goes back to an older one.
   */
  get isReady(): boolean {
    if (!this._wasReady) this._wasReady = this._checkReady();
    return this._wasReady;
  }

  /** Opens all listeners and starts the background tasks. */
  async start(): Promise<void> {
    this._startedAtMs = utils.monotonicMs();
    // All background tasks listen to this signal. Beyond 10 listeners, Node would warn about a leak.
    EventEmitter.setMaxListeners(0, this._shutdown.signal);
    this._addRoutes();
    this._addMetricSources();
    await this.membership.listen();
    await this._callerListener.listen();
    await this._operatorListener.listen();
    this.configuration.onChanged(() => this._recordConfiguration());
    this._startTasks(this._shutdown.signal);
    const ports = `callers on port ${this.callerPort}, operators on port ${this.operatorPort}, peers on port ${this.membership.port}`;
    this._log.info(`Listening for ${ports}.`);
  }

  /** Resolves once the instance is ready or has been stopped. */
  async waitUntilReady(): Promise<void> {
    while (!this.isReady && !this._shutdown.signal.aborted) await utils.sleep(readyPollMs);
  }

  /** Stops gracefully: rejects new requests, notifies the peers, lets all requests in flight complete, then stops. */
  async drain(): Promise<DrainReport> {
    if (!this._isDraining) {
      this._isDraining = true;
      this.timeline.add("drain-begun", { detail: `${this._inFlight.size} requests in flight` });
      this._log.info(`Draining with ${this._inFlight.size} requests in flight.`);
      this.membership.leave();
    }
    await this._inFlight.waitForIdle();
    this.timeline.add("drain-ended");
    await this._stop();
    this._log.info("Drained.");
    return { abortedRequestIds: this._abortedRequestIds };
  }

  /** Aborts the requests in flight, so that a drain completes early. */
  abortInFlightRequests(): void {
    this._abortedRequestIds = this._inFlight.abortAll();
    for (const requestId of this._abortedRequestIds) this._log.warn(`Cut the request ${requestId} short.`);
  }

  /** Stops at once, as a killed process does. */
  async kill(): Promise<void> {
    this._inFlight.abortAll();
    await this._stop();
  }

  /** Reloads the certificate files for new connections. */
  reloadCertificates(): void {
    const tls = this._readTls();
    if (tls === undefined) return;
    this._callerListener.setCertificate(tls.certificate, tls.key);
    this._operatorListener.setCertificate(tls.certificate, tls.key);
    this._log.info("Reloaded the certificates.");
  }

  private async _stop(): Promise<void> {
    this._shutdown.abort();
    this._callerListener.destroy();
    this._operatorListener.destroy();
    this.membership.close();
    const { connector } = this.pipeline;
    if (connector instanceof pipeline.WsEngineConnector) connector.close();
    await Promise.allSettled(this._tasks);
  }

  private _checkReady(): boolean {
    const follower = this._container.get<logservice.LogFollower>(serviceIdentifiers.configurationFollower);
    if (this.configuration.offset < 0 || this.configuration.hasHistoryGap) return false;
    if (follower.isCaughtUp) return true;
    const hasWaited = utils.monotonicMs() - this._startedAtMs > peerWaitMs;
    return hasWaited && this._container.get(ConfigurationSync).hasAnswerOfEveryPeer;
  }

  private _startTasks(signal: AbortSignal): void {
    const followerIds = [
      serviceIdentifiers.configurationFollower,
      serviceIdentifiers.claimFollower,
      serviceIdentifiers.leaseFollower,
    ];
    const followers = followerIds.map((id) => this._container.get<logservice.LogFollower>(id));
    const listPoller = new InstanceListPoller(this._container.get(logservice.InstanceList), (page) =>
      this._applyInstanceList(page),
    );
    const markRetiring = (): void => markRetiringEngines(this.configuration, this.directory);
    this._tasks = [
      ...followers.map((follower) => follower.run(signal)),
      listPoller.run(signal),
      this.membership.run(signal),
      this._container.get(ConfigurationSync).run(signal),
      this._container.get(ZoneStateExchange).run(signal),
      this._container.get(PipelineQueues).run(signal),
      this._container.get(OrderReconciler).run(signal),
      utils.repeat(retiringUpdateIntervalMs, signal, markRetiring, (error) =>
        this._log.error(errors.describeError(error)),
      ),
    ];
    for (const task of this._tasks)
      task.catch((error: unknown) => this._log.error(errors.describeError(error)));
  }

  private _applyInstanceList(page: readonly logservice.ListedInstance[]): void {
    this.directory.setListed(page);
    this.membership.setListed(page);
    const ownZone = this.settings.instance.availabilityZone;
    const entries = page.filter((instance) => instance.role === "entry");
    const sources = new Set(entries.filter((e) => e.availabilityZone === ownZone).map((e) => e.name));
    for (const entry of entries)
      if (entry.availabilityZone !== ownZone) sources.add(getZoneSource(entry.availabilityZone));
    this._container.get(admission.AccountLimits).retainSources(sources);
    this._container.get(PipelineDemands).retainSources(sources);
    this._container.get(VersionsInUse).retainSources(sources);
  }

  private _recordConfiguration(): void {
    this.timeline.add("configuration-in-force", { detail: `offset ${this.configuration.offset}` });
  }

  private _addRoutes(): void {
    const container = this._container;
    const shared = {
      settings: this.settings,
      configuration: this.configuration,
      accounts: container.get(AccountDirectory),
      atMostOnceExecutor: container.get(claims.AtMostOnceExecutor) as claims.AtMostOnceExecutor<StoredAnswer>,
      timeline: this.timeline,
      metrics: this.metrics,
      inFlight: this._inFlight,
    };
    const completions = new CompletionHandler({
      ...shared,
      limits: container.get(admission.AccountLimits),
      queues: container.get(PipelineQueues),
      versions: container.get(VersionsInUse),
      pipeline: this.pipeline,
      tokenizer: container.get(Tokenizer),
    });
    const services = new ServiceHandler({ ...shared, caller: container.get(claims.ServiceCaller) });
    const isReady = (): boolean => this.isReady;
    const isDraining = (): boolean => this._isDraining;
    addCallerRoutes(this._callerListener, { ...shared, completions, services, isReady, isDraining });
    addOperatorRoutes(this._operatorListener, {
      tokenHash: container.get<InstanceSecrets>(serviceIdentifiers.secrets).operatorTokenHash,
      configuration: this.configuration,
      planner: container.get(Planner),
      planService: container.get(PlanService),
      status: container.get(StatusGatherer),
      timelines: container.get(TimelineGatherer),
      timeline: this.timeline,
      metrics: this.metrics,
      logs: container.get<Logs>(serviceIdentifiers.logs),
    });
  }

  private _addMetricSources(): void {
    const queues = this._container.get(PipelineQueues);
    this.metrics.addSources({
      membership: this.membership,
      pipeline: this.pipeline,
      getConfigurationOffset: () => this.configuration.offset,
      getActive: () => this._inFlight.size,
      getWaiting: () => queues.waiting,
      getClaimKeys: () => this._container.get(claims.ClaimProjection).size,
    });
  }

  private _createListener(name: string, address: string): HttpListener {
    const onFault = (error: unknown): void =>
      this._log.error(`Internal error: ${errors.describeError(error)}`);
    return new HttpListener({ name, address, limits: this.settings.limits, tls: this._readTls(), onFault });
  }

  private _readTls(): { certificate: string; key: string } | undefined {
    const { tlsCertificateFile, tlsKeyFile } = this.settings.security;
    if (tlsCertificateFile === undefined || tlsKeyFile === undefined) return undefined;
    return {
      certificate: fs.readFileSync(tlsCertificateFile, "utf8"),
      key: fs.readFileSync(tlsKeyFile, "utf8"),
    };
  }
}
