/** Calls to plain services, retried only where that is safe. */
import { errors, results, type Ran } from "@shedtiller/common";
import { classifyHttpError } from "@shedtiller/logservice";
import type { EndpointDirectory, EndpointEntry, RetryBudget } from "@shedtiller/routing";
import got from "got";

/** A call as the caller made it. */
export interface ServiceCall {
  readonly service: string;
  readonly requestId: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query behind the service's name. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly isRepeatable: boolean;
  /** What is left until nobody wants the answer. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** The service's answer, passed on as it is. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Endpoint that gave it. */
  readonly endpoint: string;
}

/** The service gave no answer. */
export class ServiceError extends errors.ShedtillerError {
  readonly code: "service_unreachable" | "service_lost";

  constructor(
    readonly service: string,
    readonly ran: Ran,
    cause?: unknown,
  ) {
    super(
      ran === "no" ? `The service ${service} can't be reached.` : `The service ${service} gave no answer.`,
      { cause },
    );
    this.code = ran === "no" ? "service_unreachable" : "service_lost";
  }
}

const connectTimeoutMs = 1_000;

/** Calls one endpoint of a service after the other until one answers or it may have run. */
export class ServiceCaller {
  private _turn = 0;

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _retries: RetryBudget,
  ) {}

  async call(call: ServiceCall): Promise<results.Result<ServiceAnswer, ServiceError>> {
    this._retries.recordRequest();
    const tried = new Set<string>();
    let ran: Ran = "no";
    for (;;) {
      const endpoint = this._pickEndpoint(call.service, tried);
      if (endpoint === undefined) return results.Err(new ServiceError(call.service, ran));
      if (tried.size > 0 && !this._retries.tryTake()) return results.Err(new ServiceError(call.service, ran));
      tried.add(endpoint.name);
      const answer = await callEndpoint(endpoint, call);
      if (answer.ok) return answer;
      this._noteFailure(endpoint, answer.val);
      if (answer.val.code !== "not_reached") ran = "unknown";
      // Whatever may have run is called again only if the service says that this does no harm.
      if (ran === "unknown" && !call.isRepeatable)
        return results.Err(new ServiceError(call.service, ran, answer.val));
      if (call.signal.aborted) return results.Err(new ServiceError(call.service, ran, answer.val));
    }
  }

  private _pickEndpoint(service: string, tried: ReadonlySet<string>): EndpointEntry | undefined {
    const open = this._directory.getServiceEndpoints(service).filter((endpoint) => !tried.has(endpoint.name));
    this._turn += 1;
    return open[this._turn % Math.max(1, open.length)];
  }

  private _noteFailure(endpoint: EndpointEntry, error: errors.ShedtillerError): void {
    this._directory.outliers.recordFailure(endpoint.name);
    if (error.code === "not_reached") this._directory.markUnreachable(endpoint.name);
  }
}

type CallError = errors.NotReachedError | errors.ConnectionLostError;

/** Each call has a connection of its own, so that a refused connection proves that nothing was written. */
async function callEndpoint(
  endpoint: EndpointEntry,
  call: ServiceCall,
): Promise<results.Result<ServiceAnswer, CallError>> {
  try {
    const response = await got(`http://${endpoint.address}${call.path}`, {
      method: call.method,
      headers: createHeaders(call),
      body: call.body.byteLength > 0 ? Buffer.from(call.body) : undefined,
      responseType: "buffer",
      throwHttpErrors: false,
      followRedirect: false,
      retry: { limit: 0 },
      signal: call.signal,
      timeout: { connect: connectTimeoutMs, request: Math.max(1, call.timeoutMs) },
    });
    return results.Ok({
      status: response.statusCode,
      contentType: response.headers["content-type"],
      body: response.rawBody,
      endpoint: endpoint.name,
    });
  } catch (error) {
    return results.Err(classifyHttpError(endpoint.address, error));
  }
}

function createHeaders(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = { "shedtiller-request-id": call.requestId };
  if (call.contentType !== undefined) headers["content-type"] = call.contentType;
  if (call.idempotencyKey !== undefined) headers["idempotency-key"] = call.idempotencyKey;
  return headers;
}
