/** The decisions under load that the settings and the configuration switch on. */
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { LoadControlSettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import type { AdmissionGate } from "./AdmissionGate.js";
import { createAccountGates } from "./createAccountGates.js";
import { EndpointConcurrency } from "./EndpointConcurrency.js";
import type { PressureSource } from "./PressureSource.js";
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
  readonly gates: readonly AdmissionGate[];
  /** Undefined if all zones have the usual costs. */
  readonly flows: ZoneFlows | undefined;
  /** Undefined if plain requests go to the endpoint with the fewest requests. */
  readonly concurrency: EndpointConcurrency | undefined;
  /** The decisions that operators can look at. */
  readonly pressureSources: readonly PressureSource[];

  constructor(structure: LoadControlStructure) {
    const { settings, log } = structure;
    this.concurrency =
      settings.endpointConcurrency === "auto" ? new EndpointConcurrency(structure) : undefined;
    const byAccount = createAccountGates(structure, []);
    this.gates = byAccount.gates;
    this.pressureSources = [this.concurrency, ...byAccount.pressureSources].filter(
      (source) => source !== undefined,
    );
    log.info("load-control", { ...settings });
  }
}
