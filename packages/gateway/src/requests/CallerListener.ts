/** The callers' HTTP side: reads requests within their limits, checks route and key, and hands them to a forwarder. */
import * as http from "node:http";
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
import { CallerRequest } from "./CallerRequest.js";
import { sendRefusal } from "./sendRefusal.js";

/** Connections rest longer than callers are told, so that a request never crosses our close. */
const idleReserveMs = 1_500;
const maxHeaderBytes = 64 * 1024;
/** Connections that wait to be accepted; the kernel may hold fewer. */
const maxWaitingConnections = 1_024;
/** When to come back after a refusal by an instance that stops: at once, on another connection to another instance. */
const stoppingRetryAfterMs = 20;

/**
 * Requests that come before the first configuration wait for it this long at most. When all of 195 instances start at once, half of them
 * know it 0.9 s after they listen and nine in ten after 1.4 s; a caller that is refused comes back once, most likely to another that does
 * not know it either, and is lost. Callers leave a stream that is silent for 2 s.
 */
const longestStartPatienceMs = 1_200;
/** The part of its deadline that a request may wait so; the rest is for its run. */
const startDeadlineShare = 0.5;

/** What a listener works with. */
export interface CallerListenerStructure {
  readonly host: string;
  readonly port: number;
  readonly activeConfiguration: ActiveConfiguration;
  readonly codec: MessageCodec;
  readonly log: DecisionLog;
  /** Whether keys may be taken at their word now. */
  readonly areKeysFresh: () => boolean;
  /** Whether what the configuration does not have may be denied for good. */
  readonly denialFreshness: Pick<DenialFreshness, "isFresh" | "waitUntilFresh">;
  readonly forward: (request: CallerRequest) => Promise<void>;
  /** How long a request may wait for the first configuration, replaced in tests. */
  readonly startupTimeoutMs?: number;
}

/** One listener an instance. */
export class CallerListener {
  private readonly _server: http.Server;
  private _inHand = 0;
  private _isDraining = false;
  private _endsAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly _structure: CallerListenerStructure) {
    this._server = http.createServer(
      { maxHeaderSize: maxHeaderBytes, requestTimeout: 0 },
      (message, response) => {
        void this._handle(message, response);
      },
    );
    this._server.on("clientError", (_error, socket) => socket.destroy());
    _structure.activeConfiguration.onChanged((table) => this._applyLimits(table.configuration.limits));
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this._inHand;
  }

  /** Resolves once it listens. */
  listen(): Promise<void> {
    const { host, port } = this._structure;
    return startListening(this._server, { host, port, backlog: maxWaitingConnections });
  }

  /** From now on each answer says that it is the last on its connection. */
  drain(): void {
    this._isDraining = true;
  }

  /**
   * From now on new requests are refused unless they surely end before the process does.
   * @param endsAtMs - Monotonic time of the end.
   */
  setStopDeadline(endsAtMs: number): void {
    this._endsAtMs = endsAtMs;
  }

  /** Ends the connections that carry no request now. */
  closeIdle(): void {
    this._server.closeIdleConnections();
  }

  /** Ends all connections. */
  close(): void {
    stopListening(this._server);
  }

  private _applyLimits(limits: CallerLimits): void {
    this._server.keepAliveTimeout = limits.idleTimeoutMs + idleReserveMs;
    this._server.headersTimeout = limits.headerTimeoutMs + idleReserveMs;
  }

  private async _handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAtMs = utils.monotonicMs();
    this._inHand += 1;
    response.once("close", () => (this._inHand -= 1));
    response.on("error", () => undefined);
    const fields = this._structure.codec.decodeCaller(message.rawHeaders);
    try {
      await this._structure.activeConfiguration.waitUntilKnown(this._getStartPatienceMs(fields));
      if (response.destroyed) return;
      const admitted = await this._admitProven(message, fields);
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

  private _getStartPatienceMs({ deadlineMs }: CallerFields): number {
    const patienceMs = this._structure.startupTimeoutMs ?? longestStartPatienceMs;
    return Math.min(patienceMs, (deadlineMs ?? Number.POSITIVE_INFINITY) * startDeadlineShare);
  }

  /** A denial needs a proof; without one the caller may come back, to an instance that knows more. */
  private async _admitProven(
    message: http.IncomingMessage,
    fields: CallerFields,
  ): Promise<AdmittedRequest | Refusal> {
    const { denialFreshness: denials } = this._structure;
    const admitted = this._admit(message, fields);
    if (!isDenial(admitted) || denials.isFresh()) return admitted;
    const isProven = await denials.waitUntilFresh(this._getStartPatienceMs(fields));
    const again = this._admit(message, fields);
    return isDenial(again) && !isProven ? staleConfigurationRefusal : again;
  }

  private _admit(message: http.IncomingMessage, fields: CallerFields): AdmittedRequest | Refusal {
    const { activeConfiguration: keeper, areKeysFresh } = this._structure;
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const claim = { host, path: message.url ?? "/", apiKey: fields.apiKey };
    const admitted = admitCaller(claim, keeper.table, areKeysFresh);
    if ("reason" in admitted) return admitted;
    const longestMs = Math.min(fields.deadlineMs ?? Number.POSITIVE_INFINITY, admitted.route.timeoutMs);
    if (utils.monotonicMs() + longestMs <= this._endsAtMs) return admitted;
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
    const isDraining = (): boolean => this._isDraining;
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
      ...request.details,
    });
  }

  private _refuse(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    fields: CallerFields,
    refusal: Refusal,
  ): void {
    const { activeConfiguration: keeper, codec, log } = this._structure;
    message.resume();
    sendRefusal(
      response,
      refusal.status,
      refusal.reason,
      codec.encodeRefusal(refusal.retryAfterMs),
      this._isDraining,
    );
    log.warn("request-refused", {
      requestId: fields.requestId,
      host: message.headers.host,
      path: message.url,
      reason: refusal.reason,
      version: keeper.version,
      proofAgeMs: Math.round(keeper.getFreshnessAgeMs()),
    });
  }
}

/** Reads a body whole; undefined if it is larger than allowed. */
async function readCallerBody(message: http.IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  for await (const part of message as AsyncIterable<Buffer>) {
    sizeBytes += part.length;
    if (sizeBytes > maxBytes) return undefined;
    parts.push(part);
  }
  return Buffer.concat(parts);
}
