/** HTTP listener: a restify server with limits on header time, body size and connections. */
import type * as http from "node:http";
import * as net from "node:net";
import { connections, errors, utils } from "@shedtiller/common";
import type { InstanceSettings } from "@shedtiller/settings";
import getRawBody from "raw-body";
import * as restify from "restify";
import { ApiError, sendError } from "./apiErrors.js";
import { ApiFaultWriter } from "./ApiFaultWriter.js";

/** Handles one request. An error that the handler throws is sent as the response. */
export type Handler = (request: restify.Request, response: http.ServerResponse) => Promise<void> | void;

/** Settings and dependencies of {@link HttpListener}. */
export interface HttpListenerStructure {
  readonly name: string;
  /** IP address and port, as in the settings. */
  readonly address: string;
  readonly limits: InstanceSettings["limits"];
  /** Certificate and key in PEM form; absent for plain HTTP. */
  readonly tls?: { readonly certificate: string; readonly key: string } | undefined;
  readonly onFault: (error: unknown) => void;
}

const payloadTooLargeStatus = 413;

/** Listens on one address and dispatches requests to handlers. An error that a handler throws becomes an error response. */
export class HttpListener {
  private readonly _server: restify.Server;
  private readonly _sockets = new Set<net.Socket>();
  private readonly _connections: connections.ServerConnections;
  /** Requests that followed an announced end of their connection, and are not handled. */
  private readonly _ignored = new WeakSet<http.IncomingMessage>();

  constructor(private readonly _structure: HttpListenerStructure) {
    const { limits, tls } = _structure;
    this._server = restify.createServer({
      name: _structure.name,
      // `httpServerOptions` is not part of restify's types, hence the cast. restify 11.1 does not read this option, so Node's
      // default limit of 16 KiB on headers applies whatever `headerSizeBytes` is.
      ...(tls === undefined ? {} : { certificate: tls.certificate, key: tls.key }),
      httpServerOptions: { maxHeaderSize: limits.headerSizeBytes },
    } as restify.ServerOptions);
    this._connections = new connections.ServerConnections({
      server: this._httpServer,
      writer: new ApiFaultWriter(),
      onFault: () => undefined,
    });
    // Restify calls its handlers later, and what follows the request may have been read by then.
    this._httpServer.prependListener("request", (message, response) => {
      if (!this._connections.get(message.socket).add(message, response)) this._ignored.add(message);
    });
    this._server.pre((request: restify.Request, _response: restify.Response, next: restify.Next) => {
      if (!this._ignored.delete(request)) return next();
      request.resume();
      return next(false);
    });
    this._server.use(restify.plugins.queryParser({ mapParams: false }));
    this._server.pre((request: restify.Request, response: restify.Response, next: restify.Next) => {
      if (Number(request.header("content-length") ?? 0) <= limits.bodySizeBytes) return next();
      sendError(response, createBodyTooLargeError(limits.bodySizeBytes));
      return next(false);
    });
    this._server.use(
      createBodyReader(limits.bodySizeBytes, (response, error) =>
        sendError(response, this._toApiError(error)),
      ),
    );
    this._setLimits();
    this._server.on(
      "restifyError",
      (_request: restify.Request, response: http.ServerResponse, error: unknown, done: () => void) => {
        sendError(response, this._toApiError(error));
        done();
      },
    );
  }

  /** Port that the listener is bound to; 0 before that. */
  get port(): number {
    const bound = this._httpServer.address();
    return bound === null || typeof bound === "string" ? 0 : bound.port;
  }

  /** Adds a route for GET requests. */
  get(path: string, handler: Handler): void {
    this._server.get(path, this._wrap(handler));
  }

  /** Adds a route for POST requests. */
  post(path: string, handler: Handler): void {
    this._server.post(path, this._wrap(handler));
  }

  /** Adds a route for PUT requests. */
  put(path: string, handler: Handler): void {
    this._server.put(path, this._wrap(handler));
  }

  /** Adds a route for DELETE requests. */
  del(path: string, handler: Handler): void {
    this._server.del(path, this._wrap(handler));
  }

  /** Binds the address; resolves once connections are accepted. */
  listen(): Promise<void> {
    const [host, port] = splitAddress(this._structure.address);
    return utils.listen(this._httpServer, { host, port });
  }

  /** Replaces the certificate for new connections. */
  setCertificate(certificate: string, key: string): void {
    const server = this._httpServer as http.Server & { setSecureContext?: (options: object) => void };
    server.setSecureContext?.({ cert: certificate, key });
  }

  /** Stops accepting connections and closes idle ones; resolves once that is done. */
  async stopAccepting(): Promise<void> {
    // Unlike `close` of an HTTP server, this closes no connection on which a request has arrived that has not been read.
    if (this._httpServer.listening) net.Server.prototype.close.call(this._httpServer);
    await this._connections.closeIdle();
  }

  /** Stops accepting connections and resets all open ones. */
  destroy(): void {
    if (this._httpServer.listening) this._httpServer.close();
    for (const socket of this._sockets) utils.resetSocket(socket);
  }

  private get _httpServer(): http.Server {
    return this._server.server as http.Server;
  }

  private _setLimits(): void {
    const { limits } = this._structure;
    this._httpServer.headersTimeout = limits.headerTimeoutMs;
    this._httpServer.requestTimeout = limits.requestTimeoutMs;
    this._httpServer.maxConnections = limits.connections;
    this._httpServer.on("connection", (socket: net.Socket) => {
      socket.setNoDelay(true);
      this._sockets.add(socket);
      socket.once("close", () => this._sockets.delete(socket));
    });
  }

  private _wrap(handler: Handler): (request: restify.Request, response: restify.Response) => Promise<void> {
    return async (request, response) => {
      // Nothing is begun for a caller that may have left.
      await this._connections.get(request.socket).whenCallerCertain();
      if (response.destroyed) return;
      try {
        await handler(request, response);
      } catch (error) {
        sendError(response, this._toApiError(error));
      }
    };
  }

  private _toApiError(error: unknown): ApiError {
    if (error instanceof ApiError) return error;
    const status = (error as { statusCode?: unknown } | null)?.statusCode;
    if (status === payloadTooLargeStatus)
      return createBodyTooLargeError(this._structure.limits.bodySizeBytes);
    if (typeof status === "number" && status >= 400 && status < 500) {
      const type = status === 404 ? "not_found_error" : "invalid_request_error";
      return new ApiError(status, type, "bad_request", errors.describeError(error));
    }
    this._structure.onFault(error);
    return new ApiError(500, "api_error", "internal", "An internal error ended the request.", "unknown");
  }
}

/** Creates a handler that reads the whole body of any type. restify's own reader skips `application/octet-stream`. */
function createBodyReader(
  limitBytes: number,
  onFailed: (response: http.ServerResponse, error: unknown) => void,
): restify.RequestHandler {
  return (request: restify.Request, response: restify.Response, next: restify.Next) => {
    const length = request.header("content-length") || undefined;
    getRawBody(request, { limit: limitBytes, length }).then(
      (body) => {
        request.body = body;
        next();
      },
      (error: unknown) => {
        onFailed(response, error);
        next(false);
      },
    );
  };
}

function createBodyTooLargeError(limitBytes: number): ApiError {
  return new ApiError(
    payloadTooLargeStatus,
    "invalid_request_error",
    "body_too_large",
    `The body is larger than ${limitBytes} bytes.`,
  );
}

/** Splits an address from the settings into host and port. */
export function splitAddress(address: string): [host: string, port: number] {
  const separator = address.lastIndexOf(":");
  return [address.slice(0, separator).replace(/^\[|\]$/g, ""), Number(address.slice(separator + 1))];
}
