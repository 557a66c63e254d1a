/** The HTTP server for callers: reads requests within size limits, resolves route and API key, and passes them to a forwarder. */
import * as http from "node:http";
import type * as net from "node:net";
import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { DenialFreshness } from "../configuration/DenialFreshness.js";
import type { CallerLimits } from "../configuration/gatewayConfiguration.js";
import type { CallerFields, MessageCodec } from "../http/MessageCodec.js";
import { startListening, stopListening } from "../http/startListening.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  admitCaller,
  isDenial,
  staleConfigurationRefusal,
  type AdmittedRequest,
  type Refusal,
} from "./admitCaller.js";
import { CallerConnections } from "./CallerConnections.js";
import { CallerRequest } from "./CallerRequest.js";
import type { LimitedListener } from "./ConnectionGate.js";
import { ConnectionRefuser } from "./ConnectionRefuser.js";
import { getHeadBytes } from "./getHeadBytes.js";
import {
  bodyTooLarge,
  failedBeforeRun,
  failedStatus,
  headTooLarge,
  isLastRefusal,
  stopping,
} from "./listenerRefusals.js";
import { NewConnectionLimit, type ConnectionCounts } from "./NewConnectionLimit.js";
import { readCallerBody } from "./readCallerBody.js";
import { sendRefusal, type RefusalReason } from "./sendRefusal.js";
import { invalidRequest, toReadFault } from "./toReadFault.js";
import { unreadFields } from "./unreadFields.js";

/** Time added to the announced timeouts, so that the gateway never closes a connection on which a request is on its way. */
const keepAliveMarginMs = 1_500;
/** Size of the heads that are read at least; a request that is over the limit of the configuration can then be named in the log. */
const minHeaderBytes = 64 * 1024;
/** Interval in which connections are checked for heads that take too long; Node's own is longer than the time for a head. */
const headerCheckIntervalMs = 1_000;
/** Length of the accept queue; the kernel may cap it lower. */
const acceptBacklog = 1_024;

/**
 * Maximum time that a request waits for the first configuration. When 195 instances start at once, half of them have a configuration
 * 0.9 s after they begin to listen and 90 % after 1.4 s. A rejected caller retries once, and the request fails if the retry reaches
 * another instance without a configuration, which is likely. Callers abandon a stream that is silent for 2 s.
 */
const maxStartupWaitMs = 1_200;
/** Share of its deadline that a request may spend on waiting for the configuration; the remainder is left for its execution. */
const startupDeadlineShare = 0.5;

/** Dependencies of {@link CallerListener}. */
export interface CallerListenerStructure {
  readonly host: string;
  readonly port: number;
  readonly activeConfiguration: ActiveConfiguration;
  readonly codec: MessageCodec;
  readonly log: DecisionLog;
  /** Whether the configuration is recent enough to decide on API keys. */
  readonly areKeysFresh: () => boolean;
  /** Whether the configuration is recent enough to reject unknown routes and keys permanently. */
  readonly denialFreshness: Pick<DenialFreshness, "isFresh" | "waitUntilFresh">;
  readonly forward: (request: CallerRequest) => Promise<void>;
  /** Called for each request that is rejected before it is forwarded. */
  readonly onRefused?: (reason: RefusalReason) => void;
  /** Maximum time that a request waits for the first configuration; replaced in tests. */
  readonly startupTimeoutMs?: number;
}

/** Accepts the requests of callers and answers or rejects each of them. Each instance has one such listener. */
export class CallerListener implements LimitedListener {
  private readonly _server: http.Server;
  private readonly _connections = new CallerConnections();
  private readonly _connectionLimit = new NewConnectionLimit();
  private _inFlight = 0;
  private _isDraining = false;
  private _stopAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly _structure: CallerListenerStructure) {
    this._server = http.createServer(
      {
        maxHeaderSize: minHeaderBytes,
        requestTimeout: 0,
        requireHostHeader: false,
        connectionsCheckingInterval: headerCheckIntervalMs,
      },
      (message, response) => {
        void this._handle(message, response);
      },
    );
    this._screenConnections();
    // Not part of Node's types. Without it, Node ends a connection when the caller ends its sending half.
    Object.assign(this._server, { httpAllowHalfOpen: true });
    this._server.on("clientError", (error, socket) => {
      // A server without TLS has no other streams.
      this._noteInvalidBytes(error, socket as net.Socket);
    });
    this._server.on("connect", (message, socket) => {
      this._connections.get(message.socket).fail(invalidRequest);
      socket.resume();
    });
    _structure.activeConfiguration.onChanged((table) => this._applyLimits(table.configuration.limits));
  }

  /** Number of requests whose final answer has not been written to the connection. */
  get inFlight(): number {
    return this._inFlight;
  }

  /**
   * Limits how many new connections are served until the next call. The requests of further ones are rejected, and answers end their
   * connections.
   * @param limit - Number of connections, or undefined for no limit.
   */
  setAcceptLimit(limit: number | undefined): void {
    this._connectionLimit.set(limit);
  }

  /** Returns how many connections were accepted and refused since the last call. */
  takeConnectionCounts(): ConnectionCounts {
    return this._connectionLimit.takeCounts();
  }

  /** Starts to listen; resolves once the port is open. */
  listen(): Promise<void> {
    const { host, port } = this._structure;
    return startListening(this._server, { host, port, backlog: acceptBacklog });
  }

  /** Sends `Connection: close` with every answer from now on. */
  drain(): void {
    this._isDraining = true;
  }

  /**
   * Rejects new requests whose deadline lies after the stop of the process.
   * @param endsAtMs - Monotonic time at which the process stops.
   */
  setStopDeadline(endsAtMs: number): void {
    this._stopAtMs = endsAtMs;
  }

  /** Closes the connections that wait for another request. */
  closeIdle(): void {
    this._connections.closeIdle();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    stopListening(this._server);
  }

  /** Whether answers end their connections, so that callers reach another instance with their next requests. */
  private get _endsConnections(): boolean {
    return this._isDraining || this._connectionLimit.isSet;
  }

  /** Passes new connections to the HTTP server unless they are beyond the limit. */
  private _screenConnections(): void {
    const { codec, log, onRefused } = this._structure;
    const refuser = new ConnectionRefuser(codec, (requestId, reason) => {
      onRefused?.(reason);
      log.warn("request-refused", { requestId, reason });
    });
    const serve = this._server.listeners("connection");
    this._server.removeAllListeners("connection");
    this._server.on("connection", (socket) => {
      if (!this._connectionLimit.tryAccept()) return refuser.refuse(socket);
      for (const listener of serve) listener.call(this._server, socket);
    });
  }

  private _noteInvalidBytes(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const fault = toReadFault(error);
    if (fault === undefined) return void socket.destroy();
    this._structure.log.info("connection-invalid", { cause: error.code ?? String(error), ...fault });
    this._connections.get(socket).fail(fault);
  }

  /** Logs which side closed the connection of a request that has no whole answer. */
  private _noteUnanswered({ socket }: http.IncomingMessage, fields: CallerFields, isHeadSent: boolean): void {
    const side = socket.readableEnded || socket.errored !== null ? "caller" : "instance";
    this._structure.log.info("request-unanswered", {
      requestId: fields.requestId,
      closedBy: side,
      isHeadSent,
    });
  }

  private _applyLimits(limits: CallerLimits): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
    // Not part of Node's types; applies to new connections.
    Object.assign(this._server, { maxHeaderSize: Math.max(minHeaderBytes, limits.maxHeaderBytes) });
    this._server.headersTimeout = limits.headerTimeoutMs + keepAliveMarginMs;
  }

  private async _handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAtMs = utils.monotonicMs();
    if (!this._connections.get(message.socket).add(message, response)) return this._ignore(message);
    let fields = unreadFields;
    let request: CallerRequest | undefined;
    this._inFlight += 1;
    response.once("close", () => {
      this._inFlight -= 1;
      if (!response.writableFinished) this._noteUnanswered(message, fields, response.headersSent);
    });
    response.on("error", () => undefined);
    try {
      fields = this._structure.codec.decodeCaller(message.rawHeaders);
      await this._structure.activeConfiguration.waitUntilLoaded(this._getMaxWaitMs(fields));
      if (isOver(response)) return;
      const admitted = await this._admitWhenFresh(message, fields);
      if (isOver(response)) return;
      if ("reason" in admitted) return this._refuse(message, response, fields, admitted);
      const body = await readCallerBody(message, admitted.table.configuration.limits.maxBodyBytes);
      if (body === "cut") return;
      if (body === "too-large") return this._refuse(message, response, fields, bodyTooLarge);
      request = this._createRequest(message, response, fields, admitted, body, arrivedAtMs);
      await this._forward(request);
    } catch (error) {
      this._structure.log.error("request-failed", { requestId: fields.requestId, cause: String(error) });
      if (isOver(response)) return;
      // A request that was passed to a forwarder may have run, or may still run.
      if (request === undefined) this._refuse(message, response, fields, failedBeforeRun);
      else request.refuse(failedStatus, "failed");
    }
  }

  /** Reads a request that followed an announced close and is not processed. */
  private _ignore(message: http.IncomingMessage): void {
    message.resume();
    const { requestId } = this._tryDecode(message);
    this._structure.log.info("request-ignored", { requestId, cause: "close-announced" });
  }

  private _tryDecode({ rawHeaders }: http.IncomingMessage): CallerFields {
    try {
      return this._structure.codec.decodeCaller(rawHeaders);
    } catch {
      return unreadFields;
    }
  }

  /**
   * Decides, as the head of an answer is written, whether the connection ends after it.
   * @param isWanted - Whether the connection should end after the answers to all requests that were read.
   */
  private _endsConnection(response: http.ServerResponse, isWanted = this._endsConnections): boolean {
    return isWanted && this._connections.get(response.req.socket).announceClose(response);
  }

  private _getMaxWaitMs({ deadlineMs }: CallerFields): number {
    const maxWaitMs = this._structure.startupTimeoutMs ?? maxStartupWaitMs;
    return Math.min(maxWaitMs, (deadlineMs ?? Number.POSITIVE_INFINITY) * startupDeadlineShare);
  }

  /**
   * Admits the request, or rejects it permanently only if the configuration is known to be current. Otherwise the rejection is
   * retryable, since another instance may have a newer configuration.
   */
  private async _admitWhenFresh(
    message: http.IncomingMessage,
    fields: CallerFields,
  ): Promise<AdmittedRequest | Refusal> {
    const { denialFreshness } = this._structure;
    const admitted = this._admit(message, fields);
    if (!isDenial(admitted) || denialFreshness.isFresh()) return admitted;
    const isFresh = await denialFreshness.waitUntilFresh(this._getMaxWaitMs(fields));
    const decision = this._admit(message, fields);
    return isDenial(decision) && !isFresh ? staleConfigurationRefusal : decision;
  }

  private _admit(message: http.IncomingMessage, fields: CallerFields): AdmittedRequest | Refusal {
    const { activeConfiguration, areKeysFresh } = this._structure;
    const { table } = activeConfiguration;
    if (table !== undefined && getHeadBytes(message) > table.configuration.limits.maxHeaderBytes)
      return headTooLarge;
    if (message.headers.host === undefined && message.httpVersion === "1.1") return invalidRequest;
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const input = { host, path: message.url ?? "/", apiKey: fields.apiKey };
    const admitted = admitCaller(input, table, areKeysFresh);
    if ("reason" in admitted) return admitted;
    const timeoutMs = Math.min(fields.deadlineMs ?? Number.POSITIVE_INFINITY, admitted.route.timeoutMs);
    if (utils.monotonicMs() + timeoutMs <= this._stopAtMs) return admitted;
    return stopping;
  }

  private _createRequest(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    fields: CallerFields,
    { route, account }: AdmittedRequest,
    body: Buffer,
    arrivedAtMs: number,
  ): CallerRequest {
    return new CallerRequest({
      message,
      response,
      fields,
      route,
      account,
      body,
      arrivedAtMs,
      codec: this._structure.codec,
      endsConnection: () => this._endsConnection(response),
    });
  }

  private async _forward(request: CallerRequest): Promise<void> {
    const { forward, log } = this._structure;
    await forward(request);
    const tookMs = Math.round(utils.monotonicMs() - request.arrivedAtMs);
    const outcome = request.signal.aborted && request.outcome === "open" ? "caller-left" : request.outcome;
    log.info("request-ended", {
      requestId: request.id,
      route: request.route.name,
      outcome,
      attempts: request.attempts,
      tookMs,
      peer: request.peer,
      ...request.details,
    });
  }

  private _refuse(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    fields: CallerFields,
    refusal: Refusal,
  ): void {
    const { activeConfiguration, codec, log } = this._structure;
    message.resume();
    sendRefusal(
      response,
      refusal.status,
      refusal.reason,
      codec.encodeRefusal(refusal.retryAfterMs),
      this._endsConnection(response, this._endsConnections || isLastRefusal(refusal)),
    );
    this._structure.onRefused?.(refusal.reason);
    log.warn("request-refused", {
      requestId: fields.requestId,
      host: message.headers.host,
      path: message.url,
      reason: refusal.reason,
      version: activeConfiguration.version,
      proofAgeMs: Math.round(activeConfiguration.getFreshnessAgeMs()),
    });
  }
}

/** Whether the request has been answered, or its caller has left. */
function isOver(response: http.ServerResponse): boolean {
  return response.destroyed || response.writableEnded;
}
