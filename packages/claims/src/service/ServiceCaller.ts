/** Calls to plain services, retried only where that is safe. */
import { errors, results, utils, type ExecutionStatus } from "@shedtiller/common";
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
    readonly ran: ExecutionStatus,
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
  /** Rests that endpoints asked for, by their names; those that are over are dropped. */
  private readonly _rests = new Map<string, EndpointBackoff>();

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _retries: RetryBudget,
  ) {}

  async call(call: ServiceCall): Promise<results.Result<ServiceAnswer, ServiceError>> {
    this._retries.recordRequest();
    const tried = new Set<string>();
    let ran: ExecutionStatus = "no";
    for (;;) {
      const endpoint = this._pickEndpoint(call.service, tried);
      if (endpoint === undefined) return results.Err(new ServiceError(call.service, ran));
      if (tried.size > 0 && !this._retries.tryTake()) return results.Err(new ServiceError(call.service, ran));
      tried.add(endpoint.name);
      const sentAtMs = utils.monotonicMs();
      this._rests.get(endpoint.name)?.noteSent(sentAtMs);
      const answer = await callEndpoint(endpoint, call);
      if (answer.ok) this._noteAnswer(endpoint, answer.val, sentAtMs);
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
    const nowMs = utils.monotonicMs();
    const open = this._directory
      .getServiceEndpoints(service)
      .filter(({ name }) => !tried.has(name) && this._rests.get(name)?.maySend(nowMs) !== false);
    this._turn += 1;
    return open[this._turn % Math.max(1, open.length)];
  }

  /** An endpoint that turns calls away and names a time gets nothing until then, and few calls at first. */
  private _noteAnswer(
    { name }: EndpointEntry,
    { status, retryAfterMs }: HeardAnswer,
    sentAtMs: number,
  ): void {
    const nowMs = utils.monotonicMs();
    const rest = this._rests.get(name) ?? new EndpointBackoff();
    if (!backoffStatuses.includes(status)) {
      rest.noteAnswered(sentAtMs);
      if (!rest.isUnproven(nowMs)) this._rests.delete(name);
      return;
    }
    if (retryAfterMs === undefined) return;
    rest.extendTo(nowMs + Math.min(retryAfterMs, maxBackoffMs), nowMs);
    this._rests.set(name, rest);
  }

  private _noteFailure(endpoint: EndpointEntry, error: errors.ShedtillerError): void {
    this._directory.outliers.recordFailure(endpoint.name);
    if (error.code === "not_reached") this._directory.markUnreachable(endpoint.name);
  }
}

/** An answer, and when the endpoint wants to be asked again, if it names a time. */
interface HeardAnswer extends ServiceAnswer {
  readonly retryAfterMs: number | undefined;
}

type CallError = errors.NotReachedError | errors.ConnectionLostError;

/** Each call has a connection of its own, so that a refused connection proves that nothing was written. */
async function callEndpoint(
  endpoint: EndpointEntry,
  call: ServiceCall,
): Promise<results.Result<HeardAnswer, CallError>> {
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
      retryAfterMs: readSeconds(response.headers["retry-after"]),
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

/** Whole or decimal seconds in ms; undefined for anything else. */
function readSeconds(text: string | undefined): number | undefined {
  return text !== undefined && /^\d+(\.\d+)?$/.test(text) ? Number(text) * utils.msPerSecond : undefined;
}
