/** Composition of an entry instance. Embedders may rebind any service before they request `EntryInstance`. */
import "reflect-metadata";
import * as admission from "@shedtiller/admission";
import * as claims from "@shedtiller/claims";
import { utils } from "@shedtiller/common";
import * as crashes from "@shedtiller/crashes";
import * as intent from "@shedtiller/intent";
import * as lease from "@shedtiller/lease";
import * as membership from "@shedtiller/membership";
import * as pipeline from "@shedtiller/pipeline";
import * as logservice from "@shedtiller/logservice";
import * as routing from "@shedtiller/routing";
import type { InstanceSettings } from "@shedtiller/settings";
import * as timeline from "@shedtiller/timeline";
import * as inversify from "inversify";
import { ConfigurationSync } from "./configuration/ConfigurationSync.js";
import { PeerCrashQuarantine } from "./crashes/PeerCrashQuarantine.js";
import { createAtMostOnceExecutor } from "./createAtMostOnceExecutor.js";
import { EntryInstance } from "./EntryInstance.js";
import { PipelineDemands } from "./feeds/PipelineDemands.js";
import { VersionsInUse } from "./feeds/VersionsInUse.js";
import { ZoneStateExchange } from "./feeds/ZoneStateExchange.js";
import { AccountDirectory } from "./http/authenticate.js";
import { splitAddress } from "./http/HttpListener.js";
import { InFlightRequests } from "./InFlightRequests.js";
import { createLogs, type LogOptions, type Logs } from "./logs/createLogs.js";
import { InstanceMetrics } from "./metrics/InstanceMetrics.js";
import { PipelineQueues } from "./PipelineQueues.js";
import { PlanService } from "./operators/PlanService.js";
import { Planner } from "./operators/Planner.js";
import { StatusGatherer } from "./operators/StatusGatherer.js";
import { TimelineGatherer } from "./operators/TimelineGatherer.js";
import { serviceIdentifiers } from "./serviceIdentifiers.js";
import { OrderReconciler } from "./orders/OrderReconciler.js";
import { VersionRetirement } from "./orders/VersionRetirement.js";
import type { InstanceSecrets } from "./secrets.js";
import { Tokenizer, WordTokenizer } from "./text/Tokenizer.js";

/** Options of an instance that are not part of its settings. */
export interface ComposeOptions {
  readonly logs?: Partial<LogOptions>;
  /** Seed of the instance's random choices; by default a hash of its name and the time. */
  readonly seed?: number;
  readonly silence?: pipeline.SilenceOptions;
}

const leaseDurationMs = 8_000;
/** Time in which a new process earns the reserve of retries, so that restarts in a row do not multiply it. */
const retryReserveEarnMs = 10_000;

/** Creates a container with bindings for all services of an instance. */
export function composeEntry(
  settings: InstanceSettings,
  secrets: InstanceSecrets,
  options: ComposeOptions = {},
): inversify.Container {
  const container = new inversify.Container({ defaultScope: "Singleton" });
  container.bind(serviceIdentifiers.settings).toConstantValue(settings);
  container.bind(serviceIdentifiers.secrets).toConstantValue(secrets);
  container.bind(serviceIdentifiers.shutdown).toConstantValue(new AbortController());
  const seed = options.seed ?? utils.hash32(`${settings.instance.name}${utils.wallMs()}`);
  container.bind(serviceIdentifiers.random).toConstantValue(new utils.RandomSource(seed));
  const logOptions = { instance: settings.instance.name, ...settings.logs, ...options.logs };
  container.bind(serviceIdentifiers.logs).toConstantValue(createLogs(logOptions));
  bindPlatform(container, settings);
  bindConfiguration(container, settings, secrets);
  bindRequests(container, settings, options);
  bindClaims(container, settings);
  bindOrders(container, settings);
  bindOperators(container, settings);
  container
    .bind(EntryInstance)
    .toDynamicValue((context) => new EntryInstance(context))
    .inSingletonScope();
  return container;
}

type Context = inversify.ResolutionContext;

function bindPlatform(container: inversify.Container, settings: InstanceSettings): void {
  const { logAddress, instanceListAddress } = settings.platform;
  container
    .bind(logservice.LogService)
    .toDynamicValue(() => new logservice.HttpLogService(logAddress))
    .inSingletonScope();
  container
    .bind(logservice.InstanceList)
    .toDynamicValue(() => new logservice.HttpInstanceList(instanceListAddress, settings.instance.name))
    .inSingletonScope();
}

function bindConfiguration(
  container: inversify.Container,
  settings: InstanceSettings,
  secrets: InstanceSecrets,
): void {
  const { name, availabilityZone, peerAddress } = settings.instance;
  container.bind(timeline.Timeline).toConstantValue(new timeline.Timeline(name));
  container.bind(intent.ConfigurationProjection).toConstantValue(new intent.ConfigurationProjection());
  container
    .bind(serviceIdentifiers.configurationFollower)
    .toDynamicValue(
      (c) =>
        new logservice.LogFollower(
          c.get(logservice.LogService),
          intent.configurationStream,
          c.get(intent.ConfigurationProjection),
        ),
    )
    .inSingletonScope();
  container
    .bind(membership.Membership)
    .toDynamicValue((c) => {
      const [host, port] = splitAddress(peerAddress);
      const self = { name, availabilityZone };
      return new membership.Membership({
        self,
        secret: secrets.peerSecret,
        timeline: c.get(timeline.Timeline),
        host,
        port,
      });
    })
    .inSingletonScope();
  container
    .bind(ConfigurationSync)
    .toDynamicValue((c) => {
      return new ConfigurationSync({
        configuration: c.get(intent.ConfigurationProjection),
        membership: c.get(membership.Membership),
        log: c.get(logservice.LogService),
        logRetentionMs: settings.platform.logRetentionMs,
      });
    })
    .inSingletonScope();
}

function bindRequests(
  container: inversify.Container,
  settings: InstanceSettings,
  options: ComposeOptions,
): void {
  container.bind(routing.EndpointDirectory).toConstantValue(new routing.EndpointDirectory());
  container
    .bind(routing.RetryBudget)
    .toConstantValue(new routing.RetryBudget(undefined, undefined, { earnMs: retryReserveEarnMs }));
  container
    .bind(routing.ChainChooser)
    .toDynamicValue(
      (c) => new routing.ExpectedTimeChooser(c.get<utils.RandomSource>(serviceIdentifiers.random)),
    )
    .inSingletonScope();
  container
    .bind(PeerCrashQuarantine)
    .toDynamicValue((c) => {
      const peers = c.get(membership.Membership);
      const log = c.get<Logs>(serviceIdentifiers.logs).forComponent("callers");
      return new PeerCrashQuarantine({
        membership: peers,
        getInstanceNames: () => [peers.self.name, ...peers.getMembers().map((member) => member.name)],
        probe: crashes.probeConnection,
        warn: (message) => void log.warn(message),
      });
    })
    .inSingletonScope();
  container
    .bind(pipeline.PipelineContext)
    .toDynamicValue((c) => {
      const directory = c.get(routing.EndpointDirectory);
      const context: pipeline.PipelineContext = new pipeline.PipelineContext({
        availabilityZone: settings.instance.availabilityZone,
        directory,
        connector: new pipeline.WsEngineConnector({
          onDraining: (endpoint) => directory.markDraining(endpoint),
          onStrayReply: () => {
            context.counters.strayReplies += 1;
          },
          onLinkLost: (endpoint) => directory.markUnreachable(endpoint),
        }),
        chooser: c.get(routing.ChainChooser),
        timeline: c.get(timeline.Timeline),
        random: c.get<utils.RandomSource>(serviceIdentifiers.random),
        silence: options.silence,
        getInstanceCount: () => c.get(membership.Membership).getMembers().length + 1,
        crashes: c.get(PeerCrashQuarantine),
      });
      return context;
    })
    .inSingletonScope();
  container
    .bind(admission.AccountLimits)
    .toDynamicValue((c) => {
      const limits = new admission.AccountLimits();
      limits.setInstanceCounter(() => c.get(membership.Membership).getMembers().length + 1);
      return limits;
    })
    .inSingletonScope();
  container
    .bind(PipelineQueues)
    .toDynamicValue((c) => new PipelineQueues(c.get(routing.EndpointDirectory)))
    .inSingletonScope();
  container
    .bind(PipelineDemands)
    .toDynamicValue((c) => {
      const queues = c.get(PipelineQueues);
      const demands = new PipelineDemands(() => queues.getOwnDemands());
      queues.setDemands(demands, () => c.get(membership.Membership).getMembers().length + 1);
      return demands;
    })
    .inSingletonScope();
  container
    .bind(VersionsInUse)
    .toDynamicValue((c) => {
      const configuration = c.get(intent.ConfigurationProjection);
      return new VersionsInUse(c.get(routing.EndpointDirectory), () => configuration.getObjects("pipeline"));
    })
    .inSingletonScope();
  container
    .bind(Tokenizer)
    .toDynamicValue(() => new WordTokenizer())
    .inSingletonScope();
  container
    .bind(InFlightRequests)
    .toDynamicValue(() => new InFlightRequests())
    .inSingletonScope();
  container
    .bind(InstanceMetrics)
    .toDynamicValue(() => new InstanceMetrics())
    .inSingletonScope();
  container
    .bind(AccountDirectory)
    .toDynamicValue((c) => new AccountDirectory(c.get(intent.ConfigurationProjection)))
    .inSingletonScope();
  container.bind(ZoneStateExchange).toDynamicValue(createZoneStateExchange).inSingletonScope();
}

function createZoneStateExchange(c: Context): ZoneStateExchange {
  const metrics = c.get(InstanceMetrics);
  return new ZoneStateExchange({
    membership: c.get(membership.Membership),
    directory: c.get(routing.EndpointDirectory),
    limits: c.get(admission.AccountLimits),
    demands: c.get(PipelineDemands),
    versions: c.get(VersionsInUse),
    recordDutyTime: (duty, tookMs) => metrics.controlSeconds.inc({ duty }, tookMs / utils.msPerSecond),
  });
}

function bindClaims(container: inversify.Container, settings: InstanceSettings): void {
  const { name } = settings.instance;
  container
    .bind(claims.ClaimProjection)
    .toConstantValue(new claims.ClaimProjection(settings.claims.horizonMs));
  container
    .bind(serviceIdentifiers.claimFollower)
    .toDynamicValue(
      (c) =>
        new logservice.LogFollower(
          c.get(logservice.LogService),
          claims.claimsStream,
          c.get(claims.ClaimProjection),
        ),
    )
    .inSingletonScope();
  container
    .bind(claims.ClaimBatcher)
    .toDynamicValue((c) => {
      const peers = c.get(membership.Membership);
      const structure: claims.ClaimBatcherStructure = {
        log: c.get(logservice.LogService),
        holder: name,
        appendsPerSecond: settings.platform.appendsPerSecond,
        countAppenders: () => peers.getMembers().length + 1,
      };
      return new claims.ClaimBatcher(structure, c.get<AbortController>(serviceIdentifiers.shutdown).signal);
    })
    .inSingletonScope();
  container
    .bind(claims.AtMostOnceExecutor)
    .toDynamicValue((c) => createAtMostOnceExecutor(c, settings))
    .inSingletonScope();
  container
    .bind(claims.ServiceCaller)
    .toDynamicValue(
      (c) => new claims.ServiceCaller(c.get(routing.EndpointDirectory), c.get(routing.RetryBudget)),
    )
    .inSingletonScope();
}

function bindOrders(container: inversify.Container, settings: InstanceSettings): void {
  const { name, availabilityZone } = settings.instance;
  container.bind(lease.LeaseProjection).toConstantValue(new lease.LeaseProjection());
  container
    .bind(serviceIdentifiers.leaseFollower)
    .toDynamicValue(
      (c) =>
        new logservice.LogFollower(
          c.get(logservice.LogService),
          lease.leasesStream,
          c.get(lease.LeaseProjection),
        ),
    )
    .inSingletonScope();
  container
    .bind(lease.LeaseHolder)
    .toDynamicValue((c) => {
      return new lease.LeaseHolder({
        lease: `orders/${availabilityZone}`,
        holder: name,
        durationMs: leaseDurationMs,
        log: c.get(logservice.LogService),
        projection: c.get(lease.LeaseProjection),
        follower: c.get<logservice.LogFollower>(serviceIdentifiers.leaseFollower),
        timeline: c.get(timeline.Timeline),
      });
    })
    .inSingletonScope();
  container
    .bind(VersionRetirement)
    .toDynamicValue((c) => {
      const configuration = c.get(intent.ConfigurationProjection);
      return new VersionRetirement({
        membership: c.get(membership.Membership),
        versions: c.get(VersionsInUse),
        getPipeline: (model) => configuration.getObject("pipeline", model),
      });
    })
    .inSingletonScope();
  container
    .bind(OrderReconciler)
    .toDynamicValue((c) => {
      return new OrderReconciler({
        configuration: c.get(intent.ConfigurationProjection),
        directory: c.get(routing.EndpointDirectory),
        membership: c.get(membership.Membership),
        versions: c.get(VersionsInUse),
        retirement: c.get(VersionRetirement),
        holder: c.get(lease.LeaseHolder),
        timeline: c.get(timeline.Timeline),
        log: c.get<Logs>(serviceIdentifiers.logs).forComponent("orders"),
      });
    })
    .inSingletonScope();
}

function bindOperators(container: inversify.Container, settings: InstanceSettings): void {
  container
    .bind(Planner)
    .toDynamicValue(
      (c) =>
        new Planner(
          c.get(intent.ConfigurationProjection),
          c.get(routing.EndpointDirectory),
          settings.instance.name,
        ),
    )
    .inSingletonScope();
  container
    .bind(intent.Confirmer)
    .toDynamicValue(
      (c) => new intent.Confirmer(c.get(logservice.LogService), c.get(intent.ConfigurationProjection)),
    )
    .inSingletonScope();
  container
    .bind(TimelineGatherer)
    .toDynamicValue((c) => new TimelineGatherer(c.get(timeline.Timeline), c.get(membership.Membership)))
    .inSingletonScope();
  container
    .bind(StatusGatherer)
    .toDynamicValue((c) => {
      const follower = c.get<logservice.LogFollower>(serviceIdentifiers.configurationFollower);
      return new StatusGatherer({
        membership: c.get(membership.Membership),
        configuration: c.get(intent.ConfigurationProjection),
        getLogAgeMs: () =>
          follower.lastContactMs === undefined ? undefined : utils.monotonicMs() - follower.lastContactMs,
        isReady: () => c.get(EntryInstance).isReady,
        isDraining: () => c.get(EntryInstance).isDraining,
        getActiveRequests: () => c.get(InFlightRequests).size,
      });
    })
    .inSingletonScope();
  container
    .bind(PlanService)
    .toDynamicValue((c) => {
      return new PlanService({
        configuration: c.get(intent.ConfigurationProjection),
        membership: c.get(membership.Membership),
        confirmer: c.get(intent.Confirmer),
        status: c.get(StatusGatherer),
      });
    })
    .inSingletonScope();
}
