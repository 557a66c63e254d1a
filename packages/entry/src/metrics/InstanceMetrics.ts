/** Metrics of one instance. Labels have few values each; ids of requests and names of client accounts are never labels. */
import type { Membership } from "@shedtiller/membership";
import type { PipelineContext } from "@shedtiller/pipeline";
import * as prom from "prom-client";

const firstTokenBuckets = [0.02, 0.05, 0.1, 0.2, 0.4, 0.58, 1, 2, 5];
const tokenGapBuckets = [0.005, 0.01, 0.02, 0.04, 0.064, 0.1, 0.2, 0.5, 1, 2];

/** Sources of the values that are read at each scrape. */
export interface MetricSources {
  readonly membership: Membership;
  readonly pipeline: PipelineContext;
  readonly getConfigurationOffset: () => number;
  readonly getActive: () => number;
  readonly getWaiting: () => number;
  readonly getClaimKeys: () => number;
}

/**
 * Registry of an instance's metrics: latency, traffic, errors and saturation, rejected requests by reason, and the cost of
 * control traffic and control work.
 */
export class InstanceMetrics {
  readonly registry = new prom.Registry();
  readonly requests: prom.Counter<"kind" | "outcome">;
  readonly refusals: prom.Counter<"reason">;
  readonly firstToken: prom.Histogram<"rank">;
  readonly tokenGap: prom.Histogram<"rank">;
  readonly controlSeconds: prom.Counter<"duty">;

  constructor() {
    const registers = [this.registry];
    this.requests = new prom.Counter({
      name: "shedtiller_requests_total",
      help: "Requests ended, by kind and outcome",
      labelNames: ["kind", "outcome"],
      registers,
    });
    this.refusals = new prom.Counter({
      name: "shedtiller_refusals_total",
      help: "Requests refused before anything ran, by reason",
      labelNames: ["reason"],
      registers,
    });
    this.firstToken = new prom.Histogram({
      name: "shedtiller_first_token_seconds",
      help: "Time from arrival to the first token, by rank of the priority class",
      labelNames: ["rank"],
      buckets: firstTokenBuckets,
      registers,
    });
    this.tokenGap = new prom.Histogram({
      name: "shedtiller_token_gap_seconds",
      help: "Time between tokens, by rank of the priority class",
      labelNames: ["rank"],
      buckets: tokenGapBuckets,
      registers,
    });
    this.controlSeconds = new prom.Counter({
      name: "shedtiller_control_cpu_seconds_total",
      help: "Time that control duties kept the event loop, by duty",
      labelNames: ["duty"],
      registers,
    });
  }

  /** Adds the metrics whose values are read at each scrape. */
  addSources(sources: MetricSources): void {
    const { pipeline } = sources;
    this._addGauge("shedtiller_requests_active", "Requests under way", sources.getActive);
    this._addGauge("shedtiller_requests_waiting", "Requests in the admission queues", sources.getWaiting);
    this._addGauge("shedtiller_configuration_offset", "Offset in force", sources.getConfigurationOffset);
    this._addGauge("shedtiller_claim_keys", "Keys held by the claims fold", sources.getClaimKeys);
    this._addGauge(
      "shedtiller_history_bytes",
      "Activations kept for rebuilding",
      () => pipeline.historyBudget.usedBytes,
    );
    this._addGauge("shedtiller_tokens", "Tokens generated so far", () => pipeline.counters.tokens);
    this._addGauge("shedtiller_stages_lost", "Stages lost so far", () => pipeline.counters.stagesLost);
    this._addGauge(
      "shedtiller_stages_silent",
      "Stages whose engines fell silent so far",
      () => pipeline.counters.stagesSilent,
    );
    this._addGauge(
      "shedtiller_stages_resumed",
      "Stages whose silent engines answered after all so far",
      () => pipeline.counters.stagesResumed,
    );
    this._addGauge(
      "shedtiller_stages_rebuilt",
      "Stages rebuilt so far",
      () => pipeline.counters.stagesRebuilt,
    );
    this._addGauge("shedtiller_probes", "Engines asked after silence so far", () => pipeline.counters.probes);
    this._addGauge(
      "shedtiller_stray_replies",
      "Replies dropped so far",
      () => pipeline.counters.strayReplies,
    );
    this._addGauge(
      "shedtiller_members_linked",
      "Peers linked now",
      () => sources.membership.getLinked().length,
    );
    this._addTraffic(sources.membership);
  }

  private _addGauge(name: string, help: string, getValue: () => number): void {
    new prom.Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(getValue());
      },
    });
  }

  private _addTraffic(membership: Membership): void {
    new prom.Gauge({
      name: "shedtiller_control_bytes",
      help: "Bytes of control traffic so far, by duty and direction",
      labelNames: ["duty", "direction"],
      registers: [this.registry],
      collect() {
        for (const direction of ["sent", "received"] as const) {
          for (const [duty, { bytes }] of membership.traffic.getByTopic(direction))
            this.set({ duty, direction }, bytes);
        }
      },
    });
  }
}
