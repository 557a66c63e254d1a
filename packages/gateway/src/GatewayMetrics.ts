import * as http from "node:http";
import * as prom from "prom-client";
import { startListening, stopListening } from "./http/startListening.js";

/** Upper bounds of the duration buckets in seconds, from fast plain requests to the longest streams. */
const durationBuckets = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20];

/** Collects the metrics of a gateway instance in a registry of its own and serves them as text. Labels have few and bounded values. */
export class GatewayMetrics {
  readonly registry = new prom.Registry();
  readonly requests: prom.Counter<"kind" | "outcome">;
  readonly duration: prom.Histogram<"kind">;
  readonly suspicions: prom.Counter<"cause">;
  /** Crashes of endpoints that this instance has detected. */
  readonly crashes: prom.Counter;
  readonly quarantinedRequests: prom.Counter;
  readonly namedLimits: prom.Counter<"service">;
  readonly permits: prom.Counter<"service">;
  /** Responses in which an endpoint states something about itself, such as a back-off or that it drains. */
  readonly statements: prom.Counter<"what" | "service">;
  /** Streams sent to chains with prompts in front that take a considerable part of the target latency. */
  readonly queuedStreams: prom.Counter<"service">;
  /** Changes of the level of admission by urgency that this instance decided as a collector. */
  readonly levelChanges: prom.Counter<"service" | "direction">;
  private readonly _server = http.createServer((_message, response) => void this._sendMetrics(response));

  constructor() {
    const registers = [this.registry];
    this.requests = new prom.Counter({
      name: "shedtiller_gateway_requests_total",
      help: "Requests ended, by kind and outcome",
      labelNames: ["kind", "outcome"],
      registers,
    });
    this.duration = new prom.Histogram({
      name: "shedtiller_gateway_request_seconds",
      help: "Time from arrival to the end of the answer, by kind",
      labelNames: ["kind"],
      buckets: durationBuckets,
      registers,
    });
    this.suspicions = new prom.Counter({
      name: "shedtiller_gateway_suspicions_total",
      help: "Endpoints taken out of the choice for a while, by cause",
      labelNames: ["cause"],
      registers,
    });
    this.crashes = new prom.Counter({
      name: "shedtiller_gateway_crashes_total",
      help: "Crashes of endpoints with requests at their beginning, as this instance found them",
      registers,
    });
    this.quarantinedRequests = new prom.Counter({
      name: "shedtiller_gateway_held_back_total",
      help: "Requests that were refused since equal ones crashed endpoints",
      registers,
    });
    this.permits = new prom.Counter({
      name: "shedtiller_gateway_permits_total",
      help: "Permits that came for endpoints that name a limit, by service",
      labelNames: ["service"],
      registers,
    });
    this.statements = new prom.Counter({
      name: "shedtiller_gateway_endpoint_statements_total",
      help: "Answers in which endpoints ask for rest, say that they leave, or have an unknown or unreadable header, by service",
      labelNames: ["what", "service"],
      registers,
    });
    this.queuedStreams = new prom.Counter({
      name: "shedtiller_gateway_queued_streams_total",
      help: "Streams whose forecast first event waits for prompts in front, by service",
      labelNames: ["service"],
      registers,
    });
    this.levelChanges = new prom.Counter({
      name: "shedtiller_gateway_level_changes_total",
      help: "Changes of the level of admission by urgency, by service and direction",
      labelNames: ["service", "direction"],
      registers,
    });
    this.namedLimits = new prom.Counter({
      name: "shedtiller_gateway_named_limits_total",
      help: "Answers in which endpoints named the requests a second that they take, by service",
      labelNames: ["service"],
      registers,
    });
  }

  /** Adds a gauge whose value is read at scrape time. */
  addGauge(name: string, help: string, getValue: () => number): void {
    new prom.Gauge({
      name: `shedtiller_gateway_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(getValue());
      },
    });
  }

  /** Starts the listener, and resolves once it accepts connections. */
  listen(host: string, port: number): Promise<void> {
    return startListening(this._server, { host, port });
  }

  /** Stops the listener and closes all connections. */
  close(): void {
    stopListening(this._server);
  }

  private async _sendMetrics(response: http.ServerResponse): Promise<void> {
    const text = await this.registry.metrics();
    response.writeHead(200, { "Content-Type": this.registry.contentType }).end(text);
  }
}
