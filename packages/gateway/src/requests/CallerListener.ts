/** The HTTP server for callers: reads requests within size limits, resolves route and API key, and passes them to a forwarder. */
import * as http from "node:http";
import type * as net from "node:net";
import type { Duplex } from "node:stream";
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
import type { ConnectionCounts, LimitedListener } from "./ConnectionGate.js";
import { sendRefusal } from "./sendRefusal.js";

/** Time added to the announced timeouts, so that the gateway never closes a connection on which a request is on its way. */
const keepAliveMarginMs = 1_500;
const maxHeaderBytes = 64 * 1024;
/** Length of the accept queue; the kernel may cap it lower. */
const acceptBacklog = 1_024;
/** Retry-After of a stopping instance: the caller should retry at once, over a new connection to another instance. */
const stoppingRetryAfterMs = 20;

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
  /** Called for each connection that is closed unread because of the limit on new ones. */
  readonly onDropped?: () => void;
  /** Maximum time that a request waits for the first configuration; replaced in tests. */
  readonly startupTimeoutMs?: number;
}

/** Accepts the requests of callers and answers or rejects each of them. Each instance has one such listener. */
export class CallerListener implements LimitedListener {
  private readonly _server: http.Server;
  private readonly _connections = new CallerConnections();
  private _inFlight = 0;
  private _accepted = 0;
  private _dropped = 0;
  private _acceptLimit: number | undefined;
  private _acceptedSinceLimit = 0;
  private _isDraining = false;
  private _stopAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly _structure: CallerListenerStructure) {
    this._server = http.createServer(
      { maxHeaderSize: maxHeaderBytes, requestTimeout: 0 },
      (message, response) => {
        void this._handle(message, response);
      },
    );
    this._server.on("connection", () => this._noteConnection());
    this._server.on("drop", (dropped) => this._noteDrop(dropped));
    this._server.on("clientError", (error, socket) => this._noteInvalidBytes(error, socket));
    _structure.activeConfiguration.onChanged((table) => this._applyLimits(table.configuration.limits));
  }

  /** Number of requests whose final answer has not been written to the connection. */
  get inFlight(): number {
    return this._inFlight;
  }

  /**
   * Limits how many connections are accepted until the next call. Further ones are closed unread, and answers end their connections.
   * @param limit - Number of connections, or undefined for no limit.
   */
  setAcceptLimit(limit: number | undefined): void {
    this._acceptLimit = limit;
    this._acceptedSinceLimit = 0;
    this._applyAcceptLimit();
  }

  /** Returns how many connections were accepted and closed unread since the last call. */
  takeConnectionCounts(): ConnectionCounts {
    const counts = { accepted: this._accepted, dropped: this._dropped };
    this._accepted = 0;
    this._dropped = 0;
    return counts;
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
    return this._isDraining || this._acceptLimit !== undefined;
  }

  private _noteConnection(): void {
    this._accepted += 1;
    this._acceptedSinceLimit += 1;
    this._applyAcceptLimit();
  }

  private _noteDrop(dropped: net.DropArgument | undefined): void {
    this._dropped += 1;
    this._structure.onDropped?.();
    this._structure.log.info("connection-dropped", {
      callerPort: dropped?.remotePort,
      acceptLimit: this._acceptLimit,
    });
  }

  private _noteInvalidBytes(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code !== "ECONNRESET")
      this._structure.log.info("connection-invalid", { cause: error.code ?? String(error) });
    socket.destroy();
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

  private _applyAcceptLimit(): void {
    const isReached = this._acceptLimit !== undefined && this._acceptedSinceLimit >= this._acceptLimit;
    // Node closes a connection unread if there are this many open ones; it takes 0 for no limit.
    this._server.maxConnections = isReached ? 1 : Number.MAX_SAFE_INTEGER;
  }

  private _applyLimits(limits: CallerLimits): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
    this._server.headersTimeout = limits.headerTimeoutMs + keepAliveMarginMs;
  }

  private async _handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAtMs = utils.monotonicMs();
    this._inFlight += 1;
    this._connections.add(message, response);
    const fields = this._structure.codec.decodeCaller(message.rawHeaders);
    response.once("close", () => {
      this._inFlight -= 1;
      if (!response.writableFinished) this._noteUnanswered(message, fields, response.headersSent);
    });
    response.on("error", () => undefined);
    try {
      await this._structure.activeConfiguration.waitUntilLoaded(this._getMaxWaitMs(fields));
      if (response.destroyed) return;
      const admitted = await this._admitWhenFresh(message, fields);
      if (response.destroyed) return;
      if ("reason" in admitted) return this._refuse(message, response, fields, admitted);
      const body = await readCallerBody(message, admitted.table.configuration.limits.maxBodyBytes);
      if (body === undefined)
        return this._refuse(message, response, fields, { status: 413, reason: "body-too-large" });
      await this._forward(message, response, fields, admitted, body, arrivedAtMs);
    } catch (error) {
      this._structure.log.error("request-failed", { requestId: fields.requestId, cause: String(error) });
      response.destroy();
    }
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
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const input = { host, path: message.url ?? "/", apiKey: fields.apiKey };
    const admitted = admitCaller(input, activeConfiguration.table, areKeysFresh);
    if ("reason" in admitted) return admitted;
    const timeoutMs = Math.min(fields.deadlineMs ?? Number.POSITIVE_INFINITY, admitted.route.timeoutMs);
    if (utils.monotonicMs() + timeoutMs <= this._stopAtMs) return admitted;
    return { status: 503, reason: "stopping", retryAfterMs: stoppingRetryAfterMs };
  }

  private async _forward(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    fields: CallerFields,
    admitted: AdmittedRequest,
    body: Buffer,
    arrivedAtMs: number,
  ): Promise<void> {
    const { codec, forward, log } = this._structure;
    const { route, account } = admitted;
    const isDraining = (): boolean => this._endsConnections;
    const request = new CallerRequest({
      message,
      response,
      fields,
      route,
      account,
      body,
      arrivedAtMs,
      codec,
      isDraining,
    });
    await forward(request);
    const tookMs = Math.round(utils.monotonicMs() - arrivedAtMs);
    const outcome = request.signal.aborted && request.outcome === "open" ? "caller-left" : request.outcome;
    log.info("request-ended", {
      requestId: request.id,
      route: route.name,
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
      this._endsConnections,
    );
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

/** Reads the whole body; returns undefined if it is larger than `maxBytes`. */
async function readCallerBody(message: http.IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
