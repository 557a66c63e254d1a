/** One entry instance: starts its parts, serves, drains. */
import { EventEmitter } from "node:events";
import * as fs from "node:fs";
import * as admission from "@shedtiller/admission";
import * as claims from "@shedtiller/claims";
import { errors, utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import * as membership from "@shedtiller/membership";
import * as pipeline from "@shedtiller/pipeline";
import * as platform from "@shedtiller/logservice";
import * as routing from "@shedtiller/routing";
import type { InstanceSettings } from "@shedtiller/settings";
import * as timeline from "@shedtiller/timeline";
import type * as inversify from "inversify";
import { ConfigurationSync } from "./configuration/ConfigurationSync.js";
import { ListFeed } from "./feeds/ListFeed.js";
import { PipelineDemands } from "./feeds/PipelineDemands.js";
import { VersionsInUse } from "./feeds/VersionsInUse.js";
import { ZoneStateExchange } from "./feeds/ZoneStateExchange.js";
import { getZoneSource } from "./feeds/zoneFeedMessages.js";
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
import { ModelQueues } from "./ModelQueues.js";
import { PlanService } from "./operators/PlanService.js";
import { Planner } from "./operators/Planner.js";
import { StatusGatherer } from "./operators/StatusGatherer.js";
import { TimelineGatherer } from "./operators/TimelineGatherer.js";
import { OrderReconciler, markRetiringEngines } from "./orders/OrderReconciler.js";
import { serviceIdentifiers } from "./serviceIdentifiers.js";
import type { InstanceSecrets } from "./secrets.js";
import { Tokenizer } from "./text/Tokenizer.js";

const readyPollMs = 10;
const retiringTickMs = 250;
/** Without the log, an instance waits this long for peers before it takes what it has for the newest. */
const peerGraceMs = 2_000;

/** What a drain came to. */
export interface DrainReport {
  /** Ids of requests that were cut short, after a hurry. */
  readonly abortedRequestIds: readonly string[];
}

/** The daemon's core, embeddable. Made by `composeEntry`. */
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
  private readonly _callers: HttpListener;
  private readonly _operators: HttpListener;
  private _isDraining = false;
  private _startedAtMs = 0;
  private _wasReady = false;
  private _cut: string[] = [];
  private _tasks: Promise<unknown>[] = [];

  constructor(private readonly _parts: Pick<inversify.ResolutionContext, "get">) {
    this.settings = _parts.get<InstanceSettings>(serviceIdentifiers.settings);
    this.timeline = _parts.get(timeline.Timeline);
    this.configuration = _parts.get(intent.ConfigurationProjection);
    this.membership = _parts.get(membership.Membership);
    this.directory = _parts.get(routing.EndpointDirectory);
    this.pipeline = _parts.get(pipeline.PipelineContext);
    this.metrics = _parts.get(InstanceMetrics);
    this._log = _parts.get<Logs>(serviceIdentifiers.logs).forComponent("entry");
    this._shutdown = _parts.get<AbortController>(serviceIdentifiers.shutdown);
    this._inFlight = _parts.get(InFlightRequests);
    this._callers = this._createListener("callers", this.settings.instance.callerAddress);
    this._operators = this._createListener("operators", this.settings.instance.operatorAddress);
  }

  get name(): string {
    return this.settings.instance.name;
  }

  get callerPort(): number {
    return this._callers.port;
  }

  get operatorPort(): number {
    return this._operators.port;
  }

  get isDraining(): boolean {
    return this._isDraining;
  }

  /**
   * Whether it may serve: it holds a configuration, and none that it can reach holds a newer one. Once it was ready it
   * stays so, cut off or not, since a configuration never goes back.
   */
  get isReady(): boolean {
    if (!this._wasReady) this._wasReady = this._checkReady();
    return this._wasReady;
  }

  /** Listens, and begins all tasks. */
  async start(): Promise<void> {
    this._startedAtMs = utils.monotonicMs();
    // Every waiting task listens to the one signal.
    EventEmitter.setMaxListeners(0, this._shutdown.signal);
    this._addRoutes();
    this._addMetricSources();
    await this.membership.listen();
    await this._callers.listen();
    await this._operators.listen();
    this.configuration.onChanged(() => this._noteConfiguration());
    this._startTasks(this._shutdown.signal);
    const ports = `callers on port ${this.callerPort}, operators on port ${this.operatorPort}, peers on port ${this.membership.port}`;
    this._log.info(`Listening for ${ports}.`);
  }

  /** Resolves once the instance may serve. */
  async waitUntilReady(): Promise<void> {
    while (!this.isReady && !this._shutdown.signal.aborted) await utils.sleep(readyPollMs);
  }

  /** Planned stop: takes nothing new, lets every request under way complete, tells the peers, ends. */
  async drain(): Promise<DrainReport> {
    if (!this._isDraining) {
      this._isDraining = true;
      this.timeline.add("drain-begun", { detail: `${this._inFlight.size} requests under way` });
      this._log.info(`Draining with ${this._inFlight.size} requests under way.`);
      this.membership.leave();
    }
    await this._inFlight.waitForIdle();
    this.timeline.add("drain-ended");
    await this._end();
    this._log.info("Drained.");
    return { abortedRequestIds: this._cut };
  }

  /** Cuts short what a drain still waits for. */
  abortInFlightRequests(): void {
    this._cut = this._inFlight.abortAll();
    for (const requestId of this._cut) this._log.warn(`Cut the request ${requestId} short.`);
  }

  /** Vanishes at once, as a killed process does. */
  async kill(): Promise<void> {
    this._inFlight.abortAll();
    await this._end();
  }

  /** Reads the certificate files again; new connections use them. */
  reloadCertificates(): void {
    const tls = this._readTls();
    if (tls === undefined) return;
    this._callers.setCertificate(tls.certificate, tls.key);
    this._operators.setCertificate(tls.certificate, tls.key);
    this._log.info("Read the certificates again.");
  }

  private async _end(): Promise<void> {
    this._shutdown.abort();
    this._callers.destroy();
    this._operators.destroy();
    this.membership.close();
    const { connector } = this.pipeline;
    if (connector instanceof pipeline.WsEngineConnector) connector.close();
    await Promise.allSettled(this._tasks);
  }

  private _checkReady(): boolean {
    const follower = this._parts.get<platform.LogFollower>(serviceIdentifiers.configurationFollower);
    if (this.configuration.offset < 0 || this.configuration.hasHistoryGap) return false;
    if (follower.isCaughtUp) return true;
    const hasWaited = utils.monotonicMs() - this._startedAtMs > peerGraceMs;
    return hasWaited && this._parts.get(ConfigurationSync).hasAskedPeers;
  }

  private _startTasks(signal: AbortSignal): void {
    const logParts = [
      serviceIdentifiers.configurationFollower,
      serviceIdentifiers.claimFollower,
      serviceIdentifiers.leaseFollower,
    ];
    const followers = logParts.map((part) => this._parts.get<platform.LogFollower>(part));
    const list = new ListFeed(this._parts.get(platform.InstanceList), (page) => this._takeList(page));
    const retire = (): void => markRetiringEngines(this.configuration, this.directory);
    this._tasks = [
      ...followers.map((follower) => follower.run(signal)),
      list.run(signal),
      this.membership.run(signal),
      this._parts.get(ConfigurationSync).run(signal),
      this._parts.get(ZoneStateExchange).run(signal),
      this._parts.get(ModelQueues).run(signal),
      this._parts.get(OrderReconciler).run(signal),
      utils.repeat(retiringTickMs, signal, retire, (error) => this._log.error(errors.describeError(error))),
    ];
    for (const task of this._tasks)
      task.catch((error: unknown) => this._log.error(errors.describeError(error)));
  }

  private _takeList(page: readonly platform.ListedInstance[]): void {
    this.directory.setListed(page);
    this.membership.setListed(page);
    const own = this.settings.instance.availabilityZone;
    const entries = page.filter((instance) => instance.role === "entry");
    const sources = new Set(entries.filter((e) => e.availabilityZone === own).map((e) => e.name));
    for (const entry of entries)
      if (entry.availabilityZone !== own) sources.add(getZoneSource(entry.availabilityZone));
    this._parts.get(admission.AccountLimits).retainSources(sources);
    this._parts.get(PipelineDemands).retainSources(sources);
    this._parts.get(VersionsInUse).retainSources(sources);
  }

  private _noteConfiguration(): void {
    this.timeline.add("configuration-in-force", { detail: `offset ${this.configuration.offset}` });
  }

  private _addRoutes(): void {
    const p = this._parts;
    const shared = {
      settings: this.settings,
      fold: this.configuration,
      accounts: p.get(AccountDirectory),
      once: p.get(claims.AtMostOnce) as claims.AtMostOnce<StoredAnswer>,
      timeline: this.timeline,
      metrics: this.metrics,
      inFlight: this._inFlight,
    };
    const completions = new CompletionHandler({
      ...shared,
      limits: p.get(admission.AccountLimits),
      queues: p.get(ModelQueues),
      versions: p.get(VersionsInUse),
      pipeline: this.pipeline,
      tokenizer: p.get(Tokenizer),
    });
    const services = new ServiceHandler({ ...shared, caller: p.get(claims.ServiceCaller) });
    const isReady = (): boolean => this.isReady;
    const isDraining = (): boolean => this._isDraining;
    addCallerRoutes(this._callers, { ...shared, completions, services, isReady, isDraining });
    addOperatorRoutes(this._operators, {
      tokenHash: p.get<InstanceSecrets>(serviceIdentifiers.secrets).operatorTokenHash,
      fold: this.configuration,
      planner: p.get(Planner),
      desk: p.get(PlanService),
      status: p.get(StatusGatherer),
      timelines: p.get(TimelineGatherer),
      timeline: this.timeline,
      metrics: this.metrics,
      logs: p.get<Logs>(serviceIdentifiers.logs),
    });
  }

  private _addMetricSources(): void {
    const queues = this._parts.get(ModelQueues);
    this.metrics.addSources({
      membership: this.membership,
      pipeline: this.pipeline,
      getConfigurationOffset: () => this.configuration.offset,
      getActive: () => this._inFlight.size,
      getWaiting: () => queues.waiting,
      getClaimKeys: () => this._parts.get(claims.ClaimProjection).size,
    });
  }

  private _createListener(name: string, address: string): HttpListener {
    const onFault = (error: unknown): void =>
      this._log.error(`Internal fault: ${errors.describeError(error)}`);
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
