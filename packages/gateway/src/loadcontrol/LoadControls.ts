/** The decisions under load that the settings and the configuration switch on. */
import { FirstEventForecast } from "../chains/FirstEventForecast.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { LoadControlSettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import type { AdmissionGate } from "./AdmissionGate.js";
import { BeginningStreams } from "./BeginningStreams.js";
import { getStreamPriorities } from "./getStreamPriorities.js";
import type { PressureSource } from "./PressureSource.js";
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
  readonly log: DecisionLog;
}

/** Creates the decisions that are switched on. Each instance has one such object. */
export class LoadControls {
  /** The gates that a request passes one after the other. */
  readonly gates: readonly AdmissionGate[] = [];
  /** Undefined if all zones have the usual costs. */
  readonly flows: ZoneFlows | undefined;
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
    if (settings.firstEventForecast === "auto") {
      this.firstEvents = new FirstEventForecast();
      this.streams = createStreams(structure, this.firstEvents);
    }
    // Without forecasts, nothing tells that prompts are in front.
    if (settings.urgencyLevels === "auto" && this.streams !== undefined) {
      this.levels = createLevels(structure);
      this.streams.addListener(this.levels);
    }
    this.pressureSources = [this.streams, this.levels].filter((source) => source !== undefined);
    const hasLevels = this.levels !== undefined;
    const reason = hasLevels ? "by its setting" : "by its setting, or for lack of a forecast";
    log.info("load-control", { ...settings, urgencyLevels: hasLevels ? "auto" : "off", reason });
  }
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
