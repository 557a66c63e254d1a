/** Gauges of a gateway instance. */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { ActiveConfiguration } from "./configuration/ActiveConfiguration.js";
import type { CrashDetector } from "./crashes/CrashDetector.js";
import type { EndpointTable } from "./discovery/EndpointTable.js";
import type { GatewayMetrics } from "./GatewayMetrics.js";
import type { CallerListener } from "./requests/CallerListener.js";
import type { AnswerMemory } from "./http/AnswerMemory.js";
import type { RetryBudgets } from "./requests/RetryBudgets.js";
import type { Reachability } from "./paths/Reachability.js";
import type { ForwarderSet } from "./requests/ForwarderSet.js";

/** The components that the gauges read. */
export interface GaugeStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly crashes: Pick<CrashDetector, "ledger">;
  readonly membership: Pick<Membership, "getLinked" | "getLinkChanges">;
  readonly callerListener: Pick<CallerListener, "inFlight">;
  readonly forwarders: Pick<ForwarderSet, "waiting" | "monitor">;
  readonly reachability: Pick<Reachability, "paths" | "server">;
  readonly budgets: Pick<RetryBudgets, "slackShare" | "getUses">;
  readonly answerMemory: Pick<AnswerMemory, "sizeBytes">;
}

/** Adds the gauges, whose values are read from the components at scrape time. */
export function addGauges(metrics: GatewayMetrics, structure: GaugeStructure): void {
  addRequestGauges(metrics, structure);
  addConfigurationGauges(metrics, structure);
  addEndpointGauges(metrics, structure);
  addPathGauges(metrics, structure);
}

function addRequestGauges(
  metrics: GatewayMetrics,
  { callerListener, forwarders, crashes, budgets, answerMemory }: GaugeStructure,
): void {
  metrics.addGauge(
    "answer_buffer_bytes",
    "Memory of answers that are being received",
    () => answerMemory.sizeBytes,
  );
  metrics.addGauge(
    "retry_slack_share",
    "Retries per window and service beyond the ratio that this instance may send",
    () => budgets.slackShare,
  );
  metrics.addLabelledGauge({
    name: "retry_budget_window",
    help: "Retries per window that requests and slack allow this instance, and those that have ended or are open, by service",
    labelNames: ["service", "part"],
    getValues: () =>
      budgets
        .getUses()
        .flatMap(({ service, ...parts }) =>
          Object.entries(parts).map(([part, value]) => ({ labels: { service, part }, value })),
        ),
  });
  metrics.addGauge("requests_in_hand", "Requests without a final answer", () => callerListener.inFlight);
  metrics.addGauge("requests_waiting", "Requests that wait for room", () => forwarders.waiting);
  metrics.addGauge(
    "requests_held",
    "Different requests that are held back since they crash endpoints",
    () => crashes.ledger.quarantinedCount,
  );
  metrics.addGauge("streams", "Streams at chains", () => forwarders.monitor.size);
}

function addConfigurationGauges(
  metrics: GatewayMetrics,
  { activeConfiguration, membership }: GaugeStructure,
): void {
  metrics.addGauge("configuration_version", "Version in force", () => activeConfiguration.version);
  metrics.addGauge("configuration_proof_age_seconds", "Age of the proof that nothing newer exists", () =>
    Math.min(activeConfiguration.getFreshnessAgeMs() / utils.msPerSecond, Number.MAX_SAFE_INTEGER),
  );
  metrics.addGauge("peers", "Peers linked", () => membership.getLinked().length);
  metrics.addLabelledGauge({
    name: "peer_link_changes",
    help: "Changes of links to peers since the start, by kind",
    labelNames: ["kind"],
    getValues: () => [...membership.getLinkChanges()].map(([kind, value]) => ({ labels: { kind }, value })),
  });
}

function addEndpointGauges(metrics: GatewayMetrics, { endpoints }: GaugeStructure): void {
  metrics.addGauge(
    "endpoints_limited",
    "Endpoints that name how many requests a second they take",
    () => endpoints.getAll().filter((endpoint) => endpoint.limit?.perSecond !== undefined).length,
  );
  metrics.addGauge(
    "endpoints_resting",
    "Endpoints in a rest that they asked this instance for",
    () => endpoints.getAll().filter(({ backoff }) => backoff.getLeftMs(utils.monotonicMs()) > 0).length,
  );
  metrics.addGauge(
    "endpoints_leaving",
    "Endpoints that leave, by their own word or the list's",
    () => endpoints.getAll().filter(({ listed }) => listed.isDraining).length,
  );
  metrics.addGauge(
    "endpoints_tried",
    "Endpoints in doubt that have a request of this instance, since too few others are left",
    () => endpoints.getAll().filter(({ trials }) => trials > 0).length,
  );
  metrics.addGauge("endpoints", "Endpoints listed", () => endpoints.getAll().length);
}

function addPathGauges(metrics: GatewayMetrics, { reachability }: GaugeStructure): void {
  const { paths, server } = reachability;
  metrics.addGauge(
    "endpoint_paths_lost",
    "Endpoints that only peers reach",
    () => paths.lostAddresses.length,
  );
  metrics.addGauge("isolated", "1 while this instance reaches no endpoint at all", () =>
    Number(paths.isIsolated),
  );
  metrics.addGauge("tunnels_carried", "Connections that are forwarded for peers", () => server.carried);
}
