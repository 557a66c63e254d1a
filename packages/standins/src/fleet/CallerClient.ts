/** Client of the caller interface for trace replays and benchmarks: sends requests and reports their outcomes. */
import { getExpectedTokens } from "../engine/layerFunction.js";
import { errors, utils, type ExecutionStatus } from "@shedtiller/common";
import { WordTokenizer } from "@shedtiller/entry";
import { createParser } from "eventsource-parser";
import got from "got";
import * as zod from "zod";

/** Outcome of a request as its caller observed it. */
export type CallerOutcome = "answered" | "wrong" | "refused-not-run" | "unknown" | "cut";

/** Observations of a caller about one request. */
export interface CallerReport {
  readonly outcome: CallerOutcome;
  /** Request id that the instance returned; undefined if the response had none. */
  readonly requestId: string | undefined;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly status: number | undefined;
  readonly retryAfterS: number | undefined;
  /** Arrival time of each token, relative to the sending of the request. */
  readonly tokenTimesMs: readonly number[];
  readonly detail: string;
}

/** Parameters of a streamed model request. */
export interface ModelRequest {
  readonly address: string;
  readonly key: string;
  readonly model: string;
  readonly layerCount: number;
  readonly prompt: string;
  readonly outputTokens: number;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

const requestTimeoutMs = 120_000;
const okStatus = 200;
const tokenizer = new WordTokenizer();
const errorBodySchema = zod.object({
  error: zod.object({ ran: zod.enum(["no", "unknown"]), code: zod.string() }),
});
const chunkSchema = zod.object({
  choices: zod.array(zod.object({ text: zod.string(), finish_reason: zod.string().nullable() })),
});

/** Returns a prompt of exactly `tokens` tokens that is unique to `name`. */
export function createPrompt(name: string, tokens: number): string {
  return `${name} `.repeat(Math.ceil(tokens / (name.length + 1))).slice(0, tokens);
}

/** Sends a streamed model request and compares the answer with the expected tokens. */
export async function sendModelRequest(request: ModelRequest): Promise<CallerReport> {
  const reader = new AnswerReader(request);
  const startMs = utils.monotonicMs();
  try {
    const stream = got.stream.post(`http://${request.address}/v1/completions`, {
      json: { model: request.model, prompt: request.prompt, max_tokens: request.outputTokens, stream: true },
      headers: { authorization: `Bearer ${request.key}`, ...request.headers },
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: requestTimeoutMs },
      signal: request.signal,
    });
    stream.once(
      "response",
      (response: { statusCode: number; headers: Record<string, string | undefined> }) => {
        reader.status = response.statusCode;
        reader.headers = response.headers;
      },
    );
    // The loop below rethrows the error. Without a listener, the stream would also raise it as an uncaught exception.
    stream.on("error", () => undefined);
    for await (const chunk of stream) reader.accept(String(chunk));
    return reader.finish(startMs, undefined);
  } catch (error) {
    return reader.finish(startMs, error);
  }
}

/** Parses the response of one streamed request incrementally and classifies its outcome. */
class AnswerReader {
  status: number | undefined;
  headers: Record<string, string | undefined> = {};
  private _errorBody = "";
  private _text = "";
  private _isDone = false;
  private _executionStatus: ExecutionStatus | undefined;
  private readonly _tokenTimesMs: number[] = [];
  private readonly _startMs = utils.monotonicMs();
  private readonly _parser = createParser({ onEvent: (event) => this._acceptEvent(event.data) });

  constructor(private readonly _request: ModelRequest) {}

  accept(chunk: string): void {
    if (this.status === okStatus) this._parser.feed(chunk);
    else this._errorBody += chunk;
  }

  finish(startMs: number, error: unknown): CallerReport {
    return {
      outcome: this._getOutcome(error),
      requestId: this.headers["shedtiller-request-id"],
      firstTokenMs: this._tokenTimesMs[0],
      totalMs: utils.monotonicMs() - startMs,
      status: this.status,
      retryAfterS: parseOptionalNumber(this.headers["retry-after"]),
      tokenTimesMs: this._tokenTimesMs,
      detail: error === undefined ? this._errorBody : errors.describeError(error),
    };
  }

  private _acceptEvent(data: string): void {
    if (data === "[DONE]") {
      this._isDone = true;
      return;
    }
    const value: unknown = JSON.parse(data);
    const failure = errorBodySchema.safeParse(value);
    if (failure.success) {
      this._executionStatus = failure.data.error.ran;
      return;
    }
    const text = chunkSchema.parse(value).choices[0]?.text ?? "";
    if (text === "") return;
    this._text += text;
    this._tokenTimesMs.push(utils.monotonicMs() - this._startMs);
  }

  private _getOutcome(error: unknown): CallerOutcome {
    const { prompt, layerCount, outputTokens } = this._request;
    const expected = getExpectedTokens(tokenizer.encode(prompt), layerCount, outputTokens);
    const text = expected.map((token) => tokenizer.decode(token)).join("");
    if (this._isDone) return this._text === text ? "answered" : "wrong";
    // Tokens received before a failure must be a prefix of the expected answer.
    if (!text.startsWith(this._text)) return "wrong";
    return getFailedOutcome(
      this.status,
      this._executionStatus ?? readExecutionStatus(this._errorBody),
      error,
    );
  }
}

/** Parameters of a service call. */
export interface ServiceRequest {
  readonly address: string;
  readonly key: string;
  readonly service: string;
  readonly idempotencyKey?: string | undefined;
  readonly body: object;
}

/** Sends a call to a service and reports its outcome. */
export async function sendServiceCall(request: ServiceRequest): Promise<CallerReport> {
  const startMs = utils.monotonicMs();
  const headers: Record<string, string> = { authorization: `Bearer ${request.key}` };
  if (request.idempotencyKey !== undefined) headers["idempotency-key"] = request.idempotencyKey;
  try {
    const response = await got.post(`http://${request.address}/services/${request.service}/entries`, {
      json: request.body,
      headers,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: requestTimeoutMs },
    });
    const isAnswer = response.statusCode === okStatus;
    return {
      outcome: isAnswer
        ? "answered"
        : getFailedOutcome(response.statusCode, readExecutionStatus(response.body), undefined),
      requestId: getFirstHeader(response.headers["shedtiller-request-id"]),
      firstTokenMs: undefined,
      totalMs: utils.monotonicMs() - startMs,
      status: response.statusCode,
      retryAfterS: parseOptionalNumber(getFirstHeader(response.headers["retry-after"])),
      tokenTimesMs: [],
      detail: response.body,
    };
  } catch (error) {
    return {
      outcome: getFailedOutcome(undefined, undefined, error),
      requestId: undefined,
      firstTokenMs: undefined,
      totalMs: utils.monotonicMs() - startMs,
      status: undefined,
      retryAfterS: undefined,
      tokenTimesMs: [],
      detail: errors.describeError(error),
    };
  }
}

/**
 * Classifies a request that was not answered. A refused connection proves that nothing ran. A connection that broke without an error
 * response proves nothing.
 */
function getFailedOutcome(
  status: number | undefined,
  ran: ExecutionStatus | undefined,
  error: unknown,
): CallerOutcome {
  if (ran !== undefined) return ran === "no" ? "refused-not-run" : "unknown";
  const code = (error as { code?: unknown } | null)?.code;
  if (status === undefined && code === "ECONNREFUSED") return "refused-not-run";
  return "cut";
}

function readExecutionStatus(body: string): ExecutionStatus | undefined {
  try {
    const parsed = errorBodySchema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data.error.ran : undefined;
  } catch {
    return undefined;
  }
}

function parseOptionalNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function getFirstHeader(header: string | string[] | undefined): string | undefined {
  return Array.isArray(header) ? header[0] : header;
}
