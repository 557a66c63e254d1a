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
  /** Changes of the limits of plain endpoints that are slower or less reliable than their peers. */
  readonly endpointDecisions: prom.Counter<"service" | "cause">;
  /** Requests that were sent to a second endpoint while the first one had not answered. */
  readonly hedges: prom.Counter<"service">;
  /** Requests of accounts that ask for more than their fair share, which were rejected. */
  readonly accountRefusals: prom.Counter<"service">;
  /** Requests that came back after a rejection: in time or early. */
  readonly returns: prom.Counter<"service" | "kind">;
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
    this.namedLimits = new prom.Counter({
      name: "shedtiller_gateway_named_limits_total",
      help: "Answers in which endpoints named the requests a second that they take, by service",
      labelNames: ["service"],
      registers,
    });
    this.endpointDecisions = new prom.Counter({
      name: "shedtiller_gateway_endpoint_decisions_total",
      help: "Changes of the limits of plain endpoints, by service and cause",
      labelNames: ["service", "cause"],
      registers,
    });
    this.hedges = new prom.Counter({
      name: "shedtiller_gateway_hedges_total",
      help: "Requests that were sent to a second endpoint while the first one had not answered, by service",
      labelNames: ["service"],
      registers,
    });
    this.accountRefusals = new prom.Counter({
      name: "shedtiller_gateway_account_refusals_total",
      help: "Requests rejected since their account asks for more than its fair share, by service",
      labelNames: ["service"],
      registers,
    });
    this.returns = new prom.Counter({
      name: "shedtiller_gateway_returns_total",
      help: "Requests that came back after a rejection, by service and whether they were in time",
      labelNames: ["service", "kind"],
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
