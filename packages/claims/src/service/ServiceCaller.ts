import { type errors, results, utils, type ExecutionStatus } from "@shedtiller/common";
import { classifyHttpError } from "@shedtiller/logservice";
import {
  EndpointBackoff,
  maxBackoffMs,
  backoffStatuses,
  type EndpointDirectory,
  type EndpointEntry,
  type RetryBudget,
} from "@shedtiller/routing";
import got from "got";
import { ServiceError } from "./ServiceError.js";

/** A call of a service, as received from the caller. */
export interface ServiceCall {
  readonly service: string;
  readonly requestId: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  /** Path and query after the name of the service. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  readonly isRepeatable: boolean;
  /** Remaining time until the response is no longer needed. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** The response of the service, passed on unchanged. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** Name of the endpoint that responded. */
  readonly endpoint: string;
}

const connectTimeoutMs = 1_000;

/** Calls the endpoints of a plain service one after the other, and retries only if the call did not run or is repeatable. */
export class ServiceCaller {
  /** Number of endpoint selections so far, for the round-robin order. */
  private _selections = 0;
  /** Back-offs that endpoints requested, by endpoint name; those that have ended are dropped. */
  private readonly _backoffs = new Map<string, EndpointBackoff>();

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _retries: RetryBudget,
  ) {}

  /** Calls the service, and returns the first response. */
  async call(call: ServiceCall): Promise<results.Result<ServiceAnswer, ServiceError>> {
    this._retries.recordRequest();
    const tried = new Set<string>();
    let ran: ExecutionStatus = "no";
    let isRetry = false;
    for (;;) {
      const endpoint = this._selectEndpoint(call.service, tried);
      if (endpoint === undefined) return results.Err(new ServiceError(call.service, ran));
      if (isRetry && !this._retries.tryWithdraw()) return results.Err(new ServiceError(call.service, ran));
      tried.add(endpoint.name);
      const sentAtMs = utils.monotonicMs();
      this._backoffs.get(endpoint.name)?.noteSent(sentAtMs);
      const answer = await callEndpoint(endpoint, call);
      if (answer.ok) this._noteAnswer(endpoint, answer.val, sentAtMs);
      if (answer.ok) return answer;
      this._noteFailure(endpoint, answer.val);
      // A call that did not reach its endpoint is no load there.
      isRetry ||= answer.val.code !== "not_reached";
      if (answer.val.code !== "not_reached") ran = "unknown";
      // A call that may have run is retried only if it is declared repeatable.
      if (ran === "unknown" && !call.isRepeatable)
        return results.Err(new ServiceError(call.service, ran, answer.val));
      if (call.signal.aborted) return results.Err(new ServiceError(call.service, ran, answer.val));
    }
  }

  private _selectEndpoint(service: string, tried: ReadonlySet<string>): EndpointEntry | undefined {
    const nowMs = utils.monotonicMs();
    const available = this._directory
      .getServiceEndpoints(service)
      .filter(({ name }) => !tried.has(name) && this._backoffs.get(name)?.maySend(nowMs) !== false);
    this._selections += 1;
    return available[this._selections % Math.max(1, available.length)];
  }

  /** Starts a back-off, followed by a slow start, if the endpoint rejects a call with a Retry-After time. */
  private _noteAnswer(
    { name }: EndpointEntry,
    { status, retryAfterMs }: ReceivedAnswer,
    sentAtMs: number,
  ): void {
    const nowMs = utils.monotonicMs();
    const backoff = this._backoffs.get(name) ?? new EndpointBackoff();
    if (!backoffStatuses.includes(status)) {
      backoff.noteAnswered(sentAtMs);
      if (!backoff.isRecovering(nowMs)) this._backoffs.delete(name);
      return;
    }
    if (retryAfterMs === undefined) return;
    backoff.extendTo(nowMs + Math.min(retryAfterMs, maxBackoffMs), nowMs);
    this._backoffs.set(name, backoff);
  }

  private _noteFailure(endpoint: EndpointEntry, error: errors.ShedtillerError): void {
    this._directory.outliers.recordFailure(endpoint.name);
    if (error.code === "not_reached") this._directory.markUnreachable(endpoint.name);
  }
}

/** A response, and the time after which the endpoint accepts calls again, if the response states one. */
interface ReceivedAnswer extends ServiceAnswer {
  readonly retryAfterMs: number | undefined;
}

type CallError = errors.NotReachedError | errors.ConnectionLostError;

/** Calls an endpoint over a connection of its own, so that a refused connection proves that nothing was written. */
async function callEndpoint(
  endpoint: EndpointEntry,
  call: ServiceCall,
): Promise<results.Result<ReceivedAnswer, CallError>> {
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
      retryAfterMs: parseSeconds(response.headers["retry-after"]),
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

/** Parses integer or decimal seconds to milliseconds, and returns undefined for anything else. */
function parseSeconds(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+(\.\d+)?$/.test(text) ? Number(text) * utils.msPerSecond : undefined;
}
