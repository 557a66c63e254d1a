/** The decisions under load that the settings and the configuration switch on. */
import { FirstEngineShares } from "../chains/FirstEngineShares.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { LoadControlSettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import type { AdmissionGate } from "./AdmissionGate.js";
import type { PressureSource } from "./PressureSource.js";
import { SharedZoneFlows } from "./SharedZoneFlows.js";
import type { ZoneFlows } from "./ZoneFlows.js";

/** Dependencies of {@link LoadControls}. */
export interface LoadControlStructure {
  readonly settings: LoadControlSettings;
  readonly availabilityZone: string;
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly figures: SharedFigures;
  readonly metrics: GatewayMetrics;
  readonly log: DecisionLog;
}

/** Creates the decisions that are switched on. Each instance has one such object. */
export class LoadControls {
  /** The gates that a request passes one after the other. */
  readonly gates: readonly AdmissionGate[] = [];
  /** Undefined if all zones have the usual costs. */
  readonly flows: ZoneFlows | undefined;
  /** Undefined if an engine may begin any share of the streams. */
  readonly firstEngines: FirstEngineShares | undefined;
  /** The decisions that operators can look at. */
  readonly pressureSources: readonly PressureSource[];

  constructor(structure: LoadControlStructure) {
    this.firstEngines = createFirstEngineShares(structure);
    const flows = createFlows(structure);
    this.flows = flows;
    this.pressureSources = [flows, this.firstEngines].filter((source) => source !== undefined);
    structure.log.info("load-control", { ...structure.settings });
  }
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
