import * as http from "node:http";
import type * as net from "node:net";
import { errors, utils } from "@shedtiller/common";
import * as prom from "prom-client";
import { stopListening } from "./http/stopListening.js";
import type { CallerListenerStructure } from "./requests/CallerListener.js";

/** Upper bounds of the duration buckets in seconds, from fast plain requests to the longest streams. */
const durationBuckets = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20];

/** A gauge with one value for each combination of labels. */
export interface LabelledGauge {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  /** Returns the values at scrape time; combinations of labels that are not among them disappear. */
  readonly getValues: () => readonly { readonly labels: Record<string, string>; readonly value: number }[];
}

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
  /** Answers of endpoints that were ended since they went on beyond their limits. */
  readonly endedAnswers: prom.Counter<"service" | "cause">;
  /** Requests, and retries granted and denied by the retry budget; over all instances, granted retries are bounded by the requests. */
  readonly retryBudget: prom.Counter<"service" | "event">;
  /** Responses in which an endpoint states something about itself, such as a back-off or that it drains. */
  readonly statements: prom.Counter<"what" | "service">;
  /** Streams moved or resumed at the first sign of a lost engine. */
  readonly earlyMoves: prom.Counter<"cause">;
  /** Questions to engines of silent streams. */
  readonly engineQuestions: prom.Counter<"result">;
  /** Choices of chains in which an engine had begun more than its share of a zone's streams. */
  readonly firstEngineBounds: prom.Counter<"service">;
  /** Pages beside the metrics, by path. */
  private readonly _pages = new Map<string, () => unknown>();
  private readonly _server = http.createServer((message, response) => void this._answer(message, response));
  /** Changes of the limits of plain endpoints that are slower or less reliable than their peers. */
  readonly endpointDecisions: prom.Counter<"service" | "cause">;
  /** Requests that were sent to a second endpoint while the first one had not answered. */
  readonly hedges: prom.Counter<"service">;
  /** Requests of callers that were rejected before they were forwarded. */
  readonly callerRefusals: prom.Counter<"reason">;
  /** Requests whose connections ended before their whole answers, by cause. */
  readonly unansweredRequests: prom.Counter<"cause">;
  /** Callers that ended their sending half before their answers, by the sign that they left or stayed. */
  readonly callerEnds: prom.Counter<"sign">;
  /** Changes of the zones to which requests of the own zone go, at the collector of the zone. */
  readonly zoneFlowChanges: prom.Counter<"service">;
  /** Streams sent to chains with prompts in front that take a considerable part of the target latency. */
  readonly queuedStreams: prom.Counter<"service">;
  /** Requests of accounts that ask for more than their fair share, which were rejected. */
  readonly accountRefusals: prom.Counter<"service">;
  /** Requests that came back after a rejection: in time or early. */
  readonly returns: prom.Counter<"service" | "kind">;
  /** Runs of streams in doubt, by the cause of the doubt and what became of them. */
  readonly streamDoubts: prom.Counter<"cause" | "result">;
  /** Changes of the level of admission by urgency that this instance decided as a collector. */
  readonly levelChanges: prom.Counter<"service" | "direction">;

  constructor() {
    this.requests = this._createCounter("requests_total", "Requests ended, by kind and outcome", [
      "kind",
      "outcome",
    ]);
    this.duration = new prom.Histogram({
      name: "shedtiller_gateway_request_seconds",
      help: "Time from arrival to the end of the answer, by kind",
      labelNames: ["kind"],
      buckets: durationBuckets,
      registers: [this.registry],
    });
    this.suspicions = this._createCounter(
      "suspicions_total",
      "Endpoints taken out of the choice for a while, by cause",
      ["cause"],
    );
    this.crashes = this._createCounter(
      "crashes_total",
      "Crashes of endpoints with requests at their beginning, as this instance found them",
      [],
    );
    this.quarantinedRequests = this._createCounter(
      "held_back_total",
      "Requests that were refused since equal ones crashed endpoints",
      [],
    );
    this.permits = this._createCounter(
      "permits_total",
      "Permits that came for endpoints that name a limit, by service",
      ["service"],
    );
    this.endedAnswers = this._createCounter(
      "ended_answers_total",
      "Answers of endpoints that were ended since they went on beyond their limits, by service and cause",
      ["service", "cause"],
    );
    this.retryBudget = this._createCounter(
      "retry_budget_total",
      "Requests, granted retries and denied retries, by service",
      ["service", "event"],
    );
    this.statements = this._createCounter(
      "endpoint_statements_total",
      "Answers in which endpoints ask for rest, say that they leave, or have an unknown or unreadable header, by service",
      ["what", "service"],
    );
    this.earlyMoves = this._createCounter(
      "early_moves_total",
      "Streams moved or resumed at the first sign of a lost engine, by cause",
      ["cause"],
    );
    this.streamDoubts = this._createCounter(
      "stream_doubts_total",
      "Runs of streams in doubt, by the cause of the doubt and whether the run was replaced, recovered or ended",
      ["cause", "result"],
    );
    this.engineQuestions = this._createCounter(
      "engine_questions_total",
      "Questions to engines of silent streams whether they still work, by result",
      ["result"],
    );
    this.firstEngineBounds = this._createCounter(
      "first_engine_bounds_total",
      "Choices of chains in which an engine had begun more than its share of the streams of its zone, by service",
      ["service"],
    );
    this.zoneFlowChanges = this._createCounter(
      "zone_flow_changes_total",
      "Changes of the zones to which requests of the own zone go, as decided by this instance, by service",
      ["service"],
    );
    this.queuedStreams = this._createCounter(
      "queued_streams_total",
      "Streams whose forecast first event waits for prompts in front, by service",
      ["service"],
    );
    this.levelChanges = this._createCounter(
      "level_changes_total",
      "Changes of the level of admission by urgency, by service and direction",
      ["service", "direction"],
    );
    this.namedLimits = this._createCounter(
      "named_limits_total",
      "Answers in which endpoints named the requests a second that they take, by service",
      ["service"],
    );
    this.endpointDecisions = this._createCounter(
      "endpoint_decisions_total",
      "Changes of the limits of plain endpoints, by service and cause",
      ["service", "cause"],
    );
    this.callerRefusals = this._createCounter(
      "caller_refusals_total",
      "Requests of callers rejected before they were forwarded, by reason",
      ["reason"],
    );
    this.unansweredRequests = this._createCounter(
      "unanswered_requests_total",
      "Requests whose connections ended before their whole answers, by cause",
      ["cause"],
    );
    this.callerEnds = this._createCounter(
      "caller_ends_total",
      "Callers that ended their sending half before their answers, by the sign that they left or stayed",
      ["sign"],
    );
    this.hedges = this._createCounter(
      "hedges_total",
      "Requests that were sent to a second endpoint while the first one had not answered, by service",
      ["service"],
    );
    this.accountRefusals = this._createCounter(
      "account_refusals_total",
      "Requests rejected since their account asks for more than its fair share, by service",
      ["service"],
    );
    this.returns = this._createCounter(
      "returns_total",
      "Requests that came back after a rejection, by service and whether they were in time",
      ["service", "kind"],
    );
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

  /** Adds a gauge with labels, whose values are read at scrape time. */
  addLabelledGauge({ name, help, labelNames, getValues }: LabelledGauge): void {
    new prom.Gauge({
      name: `shedtiller_gateway_${name}`,
      help,
      labelNames,
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { labels, value } of getValues()) this.set(labels, value);
      },
    });
  }

  /** Adds a page that the listener serves as JSON. */
  addPage(path: string, getContent: () => unknown): void {
    this._pages.set(path, getContent);
  }

  /** Starts the listener, and resolves once it accepts connections. */
  listen({ host, port }: utils.ListenAddress, options?: utils.ListenOptions): Promise<void> {
    return utils.listen(this._server, { host, port }, options);
  }

  /** Counts what the listener for callers reports. */
  get callerEvents(): Required<Pick<CallerListenerStructure, "onRefused" | "onUnanswered" | "onCallerEnd">> {
    return {
      onRefused: (reason) => this.callerRefusals.inc({ reason }),
      onUnanswered: (cause) => this.unansweredRequests.inc({ cause }),
      onCallerEnd: (sign) => this.callerEnds.inc({ sign }),
    };
  }

  /** The port of the listener, which the system picks if the given one is 0. */
  get port(): number {
    return (this._server.address() as net.AddressInfo).port;
  }

  /** Stops the listener and closes all connections. */
  close(): void {
    stopListening(this._server);
  }

  private _createCounter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): prom.Counter<Label> {
    return new prom.Counter({
      name: `shedtiller_gateway_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  /** A value that cannot be read is answered with 500: an operator who looks must not end the process. */
  private async _answer({ url }: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    try {
      const getContent = this._pages.get(url ?? "");
      const isPage = getContent !== undefined;
      const body = isPage ? JSON.stringify(getContent()) : await this.registry.metrics();
      const type = isPage ? "application/json" : this.registry.contentType;
      response.writeHead(200, { "Content-Type": type }).end(body);
    } catch (error) {
      response.writeHead(500, { "Content-Type": "text/plain" }).end(errors.describeError(error));
    }
  }
}
