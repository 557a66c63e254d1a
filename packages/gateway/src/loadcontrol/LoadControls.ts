/** The decisions under load that the settings and the configuration switch on. */
import { FirstEngineShares } from "../chains/FirstEngineShares.js";
import { FirstEventForecast } from "../chains/FirstEventForecast.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { LoadControlSettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import { EarlyMoves } from "../requests/moves/EarlyMoves.js";
import type { AdmissionGate } from "./AdmissionGate.js";
import { createAccountGates } from "./createAccountGates.js";
import { EndpointConcurrency } from "./EndpointConcurrency.js";
import { BeginningStreams } from "./BeginningStreams.js";
import { getStreamPriorities } from "./getStreamPriorities.js";
import type { PressureSource } from "./PressureSource.js";
import { SharedZoneFlows } from "./SharedZoneFlows.js";
import { UrgencyLevels } from "./UrgencyLevels.js";
import type { ZoneFlows } from "./ZoneFlows.js";

/** Dependencies of {@link LoadControls}. */
export interface LoadControlStructure {
  readonly settings: LoadControlSettings;
  readonly availabilityZone: string;
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly figures: SharedFigures;
  readonly metrics: GatewayMetrics;
  /** Time for which a draining endpoint serves; undefined if it is not known. */
  readonly drainMs?: number | undefined;
  readonly log: DecisionLog;
}

/** Creates the decisions that are switched on. Each instance has one such object. */
export class LoadControls {
  /** The gates that a request passes one after the other. */
  readonly gates: readonly AdmissionGate[];
  /** Undefined if all zones have the usual costs. */
  readonly flows: ZoneFlows | undefined;
  /** Undefined if streams are moved only once they have been silent for long. */
  readonly earlyMoves: EarlyMoves | undefined;
  /** Undefined if an engine may begin any share of the streams. */
  readonly firstEngines: FirstEngineShares | undefined;
  /** Undefined if plain requests go to the endpoint with the fewest requests. */
  readonly concurrency: EndpointConcurrency | undefined;
  /** Undefined if chains are chosen without a forecast of first events. */
  readonly firstEvents: FirstEventForecast | undefined;
  /** Undefined if streams are not forecast. */
  readonly streams: BeginningStreams | undefined;
  /** Undefined if nobody is rejected by urgency. */
  readonly levels: UrgencyLevels | undefined;
  /** The decisions that operators can look at. */
  readonly pressureSources: readonly PressureSource[];

  constructor(structure: LoadControlStructure) {
    const { settings, log } = structure;
    log.info("load-control", { ...settings });
    this.firstEngines = createFirstEngineShares(structure);
    const flows = createFlows(structure);
    this.flows = flows;
    this.earlyMoves = createEarlyMoves(structure);
    this.concurrency =
      settings.endpointConcurrency === "auto" ? new EndpointConcurrency(structure) : undefined;
    if (settings.firstEventForecast === "auto") {
      this.firstEvents = new FirstEventForecast();
      this.streams = createStreams(structure, this.firstEvents);
    }
    // Without forecasts, nothing tells that prompts are in front.
    if (settings.urgencyLevels === "auto" && this.streams !== undefined) {
      this.levels = createLevels(structure);
      this.streams.addListener(this.levels);
    }
    const byAccount = createAccountGates(structure, []);
    this.gates = byAccount.gates;
    const sources = [
      this.levels,
      this.streams,
      flows,
      this.firstEngines,
      this.earlyMoves,
      this.concurrency,
      ...byAccount.pressureSources,
    ];
    this.pressureSources = sources.filter((source) => source !== undefined);
  }
}

function createEarlyMoves({
  settings,
  activeConfiguration,
  metrics,
  drainMs,
  log,
}: LoadControlStructure): EarlyMoves | undefined {
  if (settings.earlyMoves === "off") {
    log.info("early-moves", { isOn: false, reason: "the setting is off" });
    return undefined;
  }
  let isOn: boolean | undefined;
  const logCondition = (): void => {
    const services = activeConfiguration.table?.configuration.services ?? [];
    const hasEngines = services.some((service) => service.engine !== undefined);
    if (hasEngines === isOn) return;
    isOn = hasEngines;
    log.info("early-moves", {
      isOn,
      reason: hasEngines ? "a service has an engine profile" : "no service has an engine profile",
    });
  };
  logCondition();
  activeConfiguration.onChanged(logCondition);
  return new EarlyMoves(metrics, drainMs);
}

function createFirstEngineShares({
  settings,
  metrics,
  log,
}: LoadControlStructure): FirstEngineShares | undefined {
  if (settings.firstEngineShare === "off") return undefined;
  return new FirstEngineShares({ log, count: (service) => metrics.firstEngineBounds.inc({ service }) });
}

function createFlows(structure: LoadControlStructure): SharedZoneFlows | undefined {
  const { settings, availabilityZone, activeConfiguration, endpoints, figures, metrics, log } = structure;
  if (settings.zoneFlows === "off") return undefined;
  return new SharedZoneFlows({
    availabilityZone,
    endpoints,
    figures,
    log,
    getProfiles: () => activeConfiguration.table?.getEngineProfiles() ?? new Map(),
    count: (service) => metrics.zoneFlowChanges.inc({ service }),
  });
}

function createStreams(structure: LoadControlStructure, forecast: FirstEventForecast): BeginningStreams {
  const { endpoints, log, metrics } = structure;
  const countQueued = (service: string): void => metrics.queuedStreams.inc({ service });
  return new BeginningStreams({ endpoints, forecast, log, countQueued });
}

function createLevels(structure: LoadControlStructure): UrgencyLevels {
  const { activeConfiguration, figures, log, metrics } = structure;
  let priorities: ReadonlyMap<string, readonly number[]> = new Map();
  let description = "";
  activeConfiguration.onChanged((table) => {
    priorities = getStreamPriorities(table);
    const present = JSON.stringify([...priorities]);
    if (present === description) return;
    description = present;
    log.info("urgency-levels-apply", { prioritiesByService: present });
  });
  return new UrgencyLevels({
    figures,
    getPriorities: () => priorities,
    log,
    countChange: (service, direction) => metrics.levelChanges.inc({ service, direction }),
  });
}
