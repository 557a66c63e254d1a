/** A gateway's request path over real sockets, with scripted endpoints. */
import * as http from "node:http";
import type * as net from "node:net";
import { results, utils, type connections } from "@shedtiller/common";
import { ChainAdmission } from "../../chains/ChainAdmission.js";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { ConcurrentRestarts } from "../../chains/ConcurrentRestarts.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { DenialFreshness } from "../../configuration/DenialFreshness.js";
import type { CallerLimits, Route } from "../../configuration/gatewayConfiguration.js";
import { CrashDetector } from "../../crashes/CrashDetector.js";
import { probeConnection, type ProbeResult } from "@shedtiller/crashes";
import { EndpointStatements } from "../../discovery/EndpointStatements.js";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import type { Connector } from "../../http/Connector.js";
import { HttpClient } from "../../http/HttpClient.js";
import { EndpointPaths } from "../../paths/EndpointPaths.js";
import type { EndpointConcurrency } from "../../loadcontrol/EndpointConcurrency.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import type { LogOutput } from "../../logs/LogOutput.js";
import {
  EngineOrders,
  OrderRefusedError,
  type EngineReport,
  type OrderError,
} from "../../orders/EngineOrders.js";
import type { AdmissionGate } from "../../loadcontrol/AdmissionGate.js";
import type { UrgencyLevels } from "../../loadcontrol/UrgencyLevels.js";
import { CallerListener } from "../../requests/CallerListener.js";
import type { CallerRequest } from "../../requests/CallerRequest.js";
import type { CloseCause } from "../../requests/getCloseCause.js";
import { PermitQueue } from "../../requests/PermitQueue.js";
import { PlainForwarder } from "../../requests/PlainForwarder.js";
import type { RefusalReason } from "../../requests/sendRefusal.js";
import { RetryBudgets, type RetryBudgetOptions } from "../../requests/RetryBudgets.js";
import { StallMonitor } from "../../requests/StallMonitor.js";
import type { StreamAttempt } from "../../requests/StreamAttempt.js";
import { StreamForwarder } from "../../requests/StreamForwarder.js";
import { createConfiguration, createListed, profile } from "../testData.js";
import { createPermitDependencies } from "../createPermitDependencies.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { getFreePort } from "./getFreePort.js";
import { TestCodec } from "./TestCodec.js";

/** A timeout that no test reaches, so that the speed of a test does not affect its result. */
const generousMs = 60_000;

/** Time between two crashes on the clock of quarantines. */
const crashIntervalMs = 150;

/** Engines that reject every query and order, since these tests do not cover stalls. */
class RejectingOrders extends EngineOrders {
  override getReport(): Promise<results.Result<EngineReport, OrderError>> {
    return Promise.resolve(results.Err(new OrderRefusedError("", 404, undefined)));
  }
  override placeLayers(): Promise<results.Result<void, OrderError>> {
    return Promise.resolve(results.Err(new OrderRefusedError("", 404, undefined)));
  }
  override changeChain(): Promise<results.Result<void, OrderError>> {
    return Promise.resolve(results.Err(new OrderRefusedError("", 404, undefined)));
  }
}

/** An answer as a caller receives it; `isWhole` is false if the connection was closed before its end. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly isWhole: boolean;
}

/** Handles one request at an endpoint. */
export type EndpointHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  crash: () => void,
) => void;

/** The decisions under load of a gateway. */
interface TestControls {
  readonly gates: readonly AdmissionGate[];
  readonly flows: undefined;
  levels?: UrgencyLevels;
}

/** A monitor that records the attempts that it monitors. */
class RecordingMonitor extends StallMonitor {
  readonly attempts: StreamAttempt[] = [];

  override add(attempt: StreamAttempt): void {
    super.add(attempt);
    this.attempts.push(attempt);
  }
}

/** The request path of one gateway. */
export class GatewayFixture {
  readonly activeConfiguration = new ActiveConfiguration();
  readonly endpoints = new EndpointTable();
  /** The gates that streams pass on arrival. */
  readonly gates: AdmissionGate[] = [];
  /** The decisions under load; none is on unless a test sets it. */
  readonly controls: TestControls = { gates: this.gates, flows: undefined };
  areKeysFresh = true;
  /** Receives the log lines; set before the start. */
  logOutput: LogOutput = new SilentLogOutput();
  /** Engines that answer questions and orders; set before the start. */
  orders: EngineOrders = new RejectingOrders();
  /** Generous unless a test sets it before the start. */
  retryBudget: RetryBudgetOptions = { ratio: 1, slack: 1_000, windowMs: 10_000 };
  /** Concurrency of plain endpoints; set before the start. */
  concurrency: EndpointConcurrency | undefined;
  /** The clock of quarantines. It advances only with crashes and when a test sets it, so that the speed of a test does not affect its result. */
  crashClockMs = 0;
  crashes: CrashDetector | undefined;
  monitor: RecordingMonitor | undefined;
  /** Time since which a newer configuration is known to exist. */
  behindMs = 0;
  /** Number of requests that were passed to a forwarder, and of those that the forwarder has ended. */
  readonly forwarded = { begun: 0, ended: 0 };
  /** Reasons for which requests were rejected before they were forwarded. */
  readonly refusals: RefusalReason[] = [];
  /** Why connections ended before the answers to their requests. */
  readonly unanswered: CloseCause[] = [];
  /** By what it was known whether callers that ended their sending half had left. */
  readonly callerEnds: connections.CallerEndSign[] = [];
  private readonly _servers: http.Server[] = [];
  private readonly _httpClient = new HttpClient();
  private _listener: CallerListener | undefined;
  private _port = 0;

  /** Establishes the connections to endpoints with `connector`. */
  useConnector(connector: Connector): void {
    this._httpClient.useConnector(connector);
  }

  /** Starts the gateway with one route. */
  async start(route: Route): Promise<void> {
    await this.listen(route);
    this.configure(route);
  }

  /** Starts the gateway without a configuration. */
  async listen(route: Route): Promise<void> {
    const log = new DecisionLog(this.logOutput, utils.monotonicMs);
    // The only instance, which has run for long.
    const getSharing = () => ({ count: 1, sinceMs: Number.NEGATIVE_INFINITY });
    const budgets = new RetryBudgets(this.retryBudget, { getSharing });
    const codec = new TestCodec();
    const permits = createPermitDependencies(this.endpoints);
    this.crashes = new CrashDetector({
      endpoints: this.endpoints,
      log,
      probe: (address, timeoutMs) => this._probe(address, timeoutMs),
      broadcast: () => undefined,
      getTrialRank: () => 0,
      nowMs: () => this.crashClockMs,
    });
    const context = {
      activeConfiguration: this.activeConfiguration,
      endpoints: this.endpoints,
      httpClient: this._httpClient,
      paths: new EndpointPaths({ endpoints: this.endpoints, log }),
      codec,
      budgets,
      log,
      availabilityZone: "east",
      failureDetector: {
        noteUnresponsive: (id: string) => void this.endpoints.suspect(id),
        noteReportedFaulty: async (id: string) => void this.endpoints.suspect(id),
        noteLayersMissing: () => Promise.resolve(),
      },
      crashes: this.crashes,
      statements: new EndpointStatements({
        endpoints: this.endpoints,
        limits: new EndpointLimits({ log }),
        log,
      }),
      ...permits,
      restarts: new ConcurrentRestarts(() => 1),
      controls: { ...this.controls, concurrency: this.concurrency },
      broadcastFull: () => undefined,
    };
    const chooser = new ChainChooser();
    const admission = new ChainAdmission(
      this.activeConfiguration,
      this.endpoints,
      chooser,
      permits.demand,
      permits.forecast,
      this.controls,
    );
    const plain = new PlainForwarder(context, new PermitQueue(permits.demand, permits.forecast));
    this.monitor = new RecordingMonitor(context, chooser, this.orders);
    const streams = new StreamForwarder(context, admission, this.monitor);
    const forward = async (request: CallerRequest): Promise<void> => {
      const service = route.targets[0]?.service ?? "";
      budgets.recordRequest(service);
      this.forwarded.begun += 1;
      await (route.kind === "streaming" ? streams : plain).run(request, service);
      this.forwarded.ended += 1;
    };
    const areKeysFresh = (): boolean => this.areKeysFresh;
    this._port = await getFreePort();
    const { activeConfiguration } = this;
    this._listener = new CallerListener({
      host: "127.0.0.1",
      port: this._port,
      activeConfiguration,
      codec,
      log,
      areKeysFresh,
      denialFreshness: new DenialFreshness({
        activeConfiguration,
        getBehindMs: () => this.behindMs,
        getDeadlineMs: () => generousMs,
      }),
      forward,
      onRefused: (reason) => void this.refusals.push(reason),
      startupTimeoutMs: generousMs,
      onUnanswered: (cause) => this.unanswered.push(cause),
      onCallerEnd: (sign) => this.callerEnds.push(sign),
    });
    await this._listener.listen();
  }

  /** Sets the gateway's configuration. */
  configure(route: Route): void {
    const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: profile }];
    this.activeConfiguration.accept({
      ...createConfiguration(this.activeConfiguration.version + 1, [route]),
      services,
    });
    this.activeConfiguration.confirmFreshness(this.activeConfiguration.version, utils.monotonicMs());
  }

  /** Changes the limits on callers. */
  setLimits(changes: Partial<CallerLimits>): void {
    const { table } = this.activeConfiguration;
    if (table === undefined) throw new Error("The gateway has no configuration.");
    const { configuration } = table;
    const limits = { ...configuration.limits, ...changes };
    this.activeConfiguration.accept({ ...configuration, version: configuration.version + 1, limits });
    this.activeConfiguration.confirmFreshness(this.activeConfiguration.version, utils.monotonicMs());
  }

  get port(): number {
    return this._port;
  }

  get listener(): CallerListener {
    if (this._listener === undefined) throw new Error("The gateway has not been started.");
    return this._listener;
  }

  /** Resolves once a request is in flight. */
  async waitForRequest(): Promise<void> {
    await utils.waitUntil(() => (this._listener?.inFlight ?? 0) > 0, generousMs);
  }

  /** Adds endpoints that are listed in this order; an undefined handler stands for a closed port. */
  async list(
    handlers: readonly (EndpointHandler | undefined)[],
    changes: Partial<ListedEndpoint>,
  ): Promise<void> {
    const listed = new Map<string, ListedEndpoint>();
    for (const [index, handler] of handlers.entries()) {
      const id = `endpoint-${index}`;
      const port = handler === undefined ? await getFreePort() : await this._serve(handler);
      listed.set(id, createListed(id, { ...changes, address: `127.0.0.1:${port}` }));
    }
    this.endpoints.setAll(listed);
  }

  /** Limits new connections as in an overload. */
  setAcceptLimit(limit: number | undefined): void {
    this._listener?.setAcceptLimit(limit);
  }

  /** Announces that the process stops after `remainingMs`. */
  stopAfter(remainingMs: number): void {
    this._listener?.setStopDeadline(utils.monotonicMs() + remainingMs);
  }

  /** Sends a request as a caller. */
  request(
    method: string,
    headers: Record<string, string>,
    path = "/a/x",
    agent?: http.Agent,
  ): Promise<ReceivedAnswer> {
    return new Promise((resolve, reject) => {
      const options = { host: "127.0.0.1", port: this._port, method, path, agent: agent ?? false };
      const request = http.request(
        { ...options, headers: { host: "notes.example", ...headers } },
        (message) => {
          let body = "";
          message.on("data", (part: Buffer) => (body += part.toString()));
          message.on("error", () => undefined);
          message.on("close", () =>
            resolve({
              status: message.statusCode ?? 0,
              headers: message.headers,
              body,
              isWhole: message.complete,
            }),
          );
        },
      );
      request.on("error", reject);
      request.end();
    });
  }

  close(): void {
    this._listener?.close();
    this._httpClient.close();
    for (const server of this._servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Probes an endpoint; the clock of quarantines advances, so that no two crashes count as one event. */
  private async _probe(address: string, timeoutMs: number): Promise<ProbeResult> {
    const result = await probeConnection(address, timeoutMs);
    this.crashClockMs += crashIntervalMs;
    return result;
  }

  private async _serve(handler: EndpointHandler): Promise<number> {
    const server = http.createServer((request, response) =>
      handler(request, response, () => {
        server.close();
        server.closeAllConnections();
      }),
    );
    this._servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as net.AddressInfo).port;
  }
}
