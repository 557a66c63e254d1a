/** The HTTP server for callers: reads requests within size limits, resolves route and API key, and passes them to a forwarder. */
import * as http from "node:http";
import { connections, utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { DenialFreshness } from "../configuration/DenialFreshness.js";
import type { CallerLimits } from "../configuration/gatewayConfiguration.js";
import type { CallerFields, MessageCodec } from "../http/MessageCodec.js";
import { closeListeningSocket, stopListening } from "../http/stopListening.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { AdmittedRequest, Refusal } from "./admitCaller.js";
import { CallerAdmission } from "./CallerAdmission.js";
import { CallerFaultWriter } from "./CallerFaultWriter.js";
import { CallerRequest } from "./CallerRequest.js";
import type { LimitedListener } from "./ConnectionGate.js";
import { ConnectionRefuser } from "./ConnectionRefuser.js";
import { getCloseCause, type CloseCause } from "./getCloseCause.js";
import { bodyTooLarge, failedBeforeRun, failedStatus, isLastRefusal, stopping } from "./listenerRefusals.js";
import { NewConnectionLimit, type ConnectionCounts } from "./NewConnectionLimit.js";
import { readCallerBody } from "./readCallerBody.js";
import { sendRefusal, type RefusalReason } from "./sendRefusal.js";
import { tryDecodeCaller, unreadFields } from "./unreadFields.js";

/** Time added to the announced timeouts, so that the gateway never closes a connection on which a request is on its way. */
const keepAliveMarginMs = 1_500;
/** Size of the heads that are read at least; a request that is over the limit of the configuration can then be named in the log. */
const minHeaderBytes = 64 * 1024;
/** Time for the refusals at the end of the process: a fraction of the reserve that a planned stop keeps for the exit. */
const maxRefusalMs = 100;
const refusalPollMs = 5;
/** Interval in which connections are checked for heads that take too long; Node's own is longer than the time for a head. */
const headerCheckIntervalMs = 1_000;
/** Length of the accept queue; the kernel may cap it lower. */
const acceptBacklog = 1_024;

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
  /** Called for each request whose connection ended before its whole answer. */
  readonly onUnanswered?: (cause: CloseCause) => void;
  /** Called for each caller that ended its sending half before its answers, once it is known whether it left. */
  readonly onCallerEnd?: (sign: connections.CallerEndSign) => void;
  /** Maximum time that a request waits for the first configuration; replaced in tests. */
  readonly startupTimeoutMs?: number;
}

/** Accepts the requests of callers and answers or rejects each of them. Each instance has one such listener. */
export class CallerListener implements LimitedListener {
  private readonly _server: http.Server;
  private readonly _connections: connections.ServerConnections;
  private readonly _connectionLimit = new NewConnectionLimit();
  private readonly _admission: CallerAdmission;
  /** The requests that have been passed to a forwarder and not ended. */
  private readonly _requests = new Set<CallerRequest>();
  private _inFlight = 0;
  private _isDraining = false;
  /** Refuses the requests that have not been passed to a forwarder yet because of the stop of this instance, by response. */
  private readonly _unadmitted = new Map<http.ServerResponse, () => void>();
  /** Whether no further request is passed to a forwarder. */
  private _isEnding = false;
  private _isStopped = false;

  constructor(private readonly _structure: CallerListenerStructure) {
    this._admission = new CallerAdmission(_structure);
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
    this._connections = this._createConnections();
    this._screenConnections();
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
  listen(options?: utils.ListenOptions): Promise<void> {
    const { host, port } = this._structure;
    return utils.listen(this._server, { host, port, backlog: acceptBacklog }, options);
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
    this._admission.setStopDeadline(endsAtMs);
  }

  /** Whether a request is in progress, or has begun to arrive. */
  get isBusy(): boolean {
    return this._inFlight > 0 || this._connections.isBusy;
  }

  /** Closes the connections that wait for another request; resolves once that is done. */
  closeIdle(): Promise<void> {
    return this._connections.closeIdle();
  }

  /**
   * Accepts the connections that have reached this instance, and stops listening unless they brought requests. Open connections stay.
   * @returns Whether the instance has stopped listening.
   */
  async tryStopAccepting(): Promise<boolean> {
    await utils.readArrived();
    if (this.isBusy) return false;
    closeListeningSocket(this._server);
    return true;
  }

  /**
   * Refuses the requests whose answers have not begun, and those that arrive, and closes the connections on which none is in progress. Resolves
   * once the refusals have been written and new connections have brought their first requests, or after a short time.
   */
  async refuseInFlight(): Promise<void> {
    this._isEnding = true;
    // Connections that are accepted from now on would be closed unread.
    closeListeningSocket(this._server);
    for (const refuse of this._unadmitted.values()) refuse();
    for (const request of this._requests)
      request.refuse(
        request.attempts === 0 ? stopping.status : failedStatus,
        "stopping",
        stopping.retryAfterMs,
      );
    await utils.readArrived();
    // A connection that stays open until the exit takes requests that nothing answers.
    await this._connections.closeIdle();
    const dueAtMs = utils.monotonicMs() + maxRefusalMs;
    const isAwaited = (): boolean => this.isBusy || this._connections.hasUnused;
    while (isAwaited() && utils.monotonicMs() < dueAtMs) await utils.sleep(refusalPollMs);
    // The last sleep may end before what has arrived meanwhile is read.
    await utils.readArrived();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this._isStopped = true;
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

  private _createConnections(): connections.ServerConnections {
    return new connections.ServerConnections({
      server: this._server,
      writer: new CallerFaultWriter(),
      onFault: (cause, fault, { remotePort, inProgress }) =>
        this._structure.log.info("connection-invalid", {
          cause,
          ...fault,
          callerPort: remotePort,
          inProgress,
        }),
      onCallerEnd: (end, { remotePort, inProgress }) => {
        this._structure.onCallerEnd?.(end.sign);
        this._structure.log.info("caller-ended", { ...end, callerPort: remotePort, inProgress });
      },
    });
  }

  /** Reports why the connection of a request ended before its whole answer. */
  private _noteUnanswered({ socket }: http.IncomingMessage, fields: CallerFields, isHeadSent: boolean): void {
    const hasCallerEnded = socket.readableEnded || socket.errored !== null;
    const cause = getCloseCause({ hasCallerEnded, isStopped: this._isStopped });
    this._structure.onUnanswered?.(cause);
    this._structure.log.info("request-unanswered", {
      requestId: fields.requestId,
      closedBy: hasCallerEnded ? "caller" : "instance",
      cause,
      isHeadSent,
    });
  }

  private _applyLimits(limits: CallerLimits): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
    this._connections.raiseIdleTimeout(this._server.keepAliveTimeout);
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
      request = await this._admit(message, response, fields, arrivedAtMs);
      if (request === undefined) return;
      await this._forward(request);
    } catch (error) {
      this._structure.log.error("request-failed", { requestId: fields.requestId, cause: String(error) });
      if (isOver(response)) return;
      // A request that was passed to a forwarder may have run, or may still run.
      if (request === undefined) this._refuse(message, response, fields, failedBeforeRun);
      else request.refuse(failedStatus, "failed");
    }
  }

  /** Reads and admits a request; returns undefined if it is over before it is passed to a forwarder. */
  private async _admit(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    fields: CallerFields,
    arrivedAtMs: number,
  ): Promise<CallerRequest | undefined> {
    const refuse = (refusal: Refusal): void => this._refuse(message, response, fields, refusal);
    if (this._isEnding) return void refuse(stopping);
    this._unadmitted.set(response, () => refuse(stopping));
    try {
      // An answer that announces the end of the connection has to come after the requests that arrived with this one.
      if (this._endsConnections) await utils.readArrived();
      const admitted = await this._admission.admit(message, fields, () => isOver(response));
      if (admitted === undefined || isOver(response)) return undefined;
      if ("reason" in admitted) return void refuse(admitted);
      const body = await readCallerBody(message, admitted.table.configuration.limits.maxBodyBytes);
      if (body === "cut" || isOver(response)) return undefined;
      if (body === "too-large") return void refuse(bodyTooLarge);
      return this._createRequest(message, response, fields, admitted, body, arrivedAtMs);
    } finally {
      this._unadmitted.delete(response);
    }
  }

  /** Reads a request that followed an announced close and is not processed. */
  private _ignore(message: http.IncomingMessage): void {
    message.resume();
    const { requestId } = tryDecodeCaller(this._structure.codec, message.rawHeaders);
    this._structure.log.info("request-ignored", { requestId, cause: "close-announced" });
  }

  /**
   * Decides, as the head of an answer is written, whether the connection ends after it.
   * @param isWanted - Whether the connection should end after the answers to all requests that were read.
   */
  private _endsConnection(response: http.ServerResponse, isWanted = this._endsConnections): boolean {
    return isWanted && this._connections.get(response.req.socket).announceClose(response);
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
      presence: this._connections.get(message.socket),
    });
  }

  private async _forward(request: CallerRequest): Promise<void> {
    const { forward, log } = this._structure;
    this._requests.add(request);
    await forward(request).finally(() => this._requests.delete(request));
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
