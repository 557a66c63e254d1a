/** Writing of a model's answer in OpenAI's formats. */
import type * as http from "node:http";
import { ranHeader, sendJson, toErrorBody, type ApiError } from "./apiErrors.js";

/** Format of the answer: chat completion or text completion. */
export type CompletionFormat = "chat" | "text";

/** Dependencies and properties of one answer. */
export interface AnswerWriterStructure {
  readonly response: http.ServerResponse;
  readonly format: CompletionFormat;
  readonly isStream: boolean;
  readonly requestId: string;
  readonly model: string;
  readonly promptTokens: number;
}

const okStatus = 200;
const msPerSecond = 1000;

/** Writes one answer to one caller, as a stream of events or as one JSON object. */
export class AnswerWriter {
  private _text = "";
  private _tokens = 0;
  private _isHeadWritten = false;
  private readonly _createdS = Math.floor(Date.now() / msPerSecond);
  /** Start of every stream event. It is rendered once, since it is the same in all events. */
  private readonly _prefix: string;

  constructor(private readonly _structure: AnswerWriterStructure) {
    const { requestId, format, model } = _structure;
    const object = format === "chat" ? "chat.completion.chunk" : "text_completion";
    const commonFields = JSON.stringify({
      id: getId(format, requestId),
      object,
      created: this._createdS,
      model,
    });
    this._prefix = `data: ${commonFields.slice(0, -1)},"choices":[{"index":0,`;
  }

  /** Writes the text of the next token, or collects it for an answer that is not streamed. */
  addToken(text: string): void {
    this._tokens += 1;
    if (!this._structure.isStream) {
      this._text += text;
      return;
    }
    this._writeHead();
    const quoted = JSON.stringify(text);
    const delta = this._structure.format === "chat" ? `"delta":{"content":${quoted}}` : `"text":${quoted}`;
    this._structure.response.write(`${this._prefix}${delta},"finish_reason":null}]}\n\n`);
  }

  /**
   * Completes the answer.
   * @param isEnd - Whether the model ended its answer; otherwise the maximum length was reached.
   */
  finish(isEnd: boolean): void {
    const { response, isStream } = this._structure;
    const reason = isEnd ? "stop" : "length";
    if (!isStream) return sendJson(response, okStatus, this._createJsonBody(reason));
    this._writeHead();
    const delta = this._structure.format === "chat" ? `"delta":{}` : `"text":""`;
    response.write(`${this._prefix}${delta},"finish_reason":"${reason}"}]}\n\n`);
    response.end("data: [DONE]\n\n");
  }

  /** Ends a stream with an error event and without `[DONE]`, so that no client mistakes the answer for complete. */
  fail(error: ApiError): void {
    this._structure.response.end(`data: ${JSON.stringify(toErrorBody(error))}\n\n`);
  }

  private _writeHead(): void {
    if (this._isHeadWritten) return;
    this._isHeadWritten = true;
    const { response, format } = this._structure;
    response.writeHead(okStatus, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      [ranHeader]: "yes",
    });
    if (format === "chat")
      response.write(`${this._prefix}"delta":{"role":"assistant","content":""},"finish_reason":null}]}\n\n`);
  }

  private _createJsonBody(reason: string): object {
    const { format, requestId, model, promptTokens } = this._structure;
    const content =
      format === "chat" ? { message: { role: "assistant", content: this._text } } : { text: this._text };
    return {
      id: getId(format, requestId),
      object: format === "chat" ? "chat.completion" : "text_completion",
      created: this._createdS,
      model,
      choices: [{ index: 0, ...content, finish_reason: reason }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: this._tokens,
        total_tokens: promptTokens + this._tokens,
      },
    };
  }
}

function getId(format: CompletionFormat, requestId: string): string {
  return `${format === "chat" ? "chatcmpl" : "cmpl"}-${requestId}`;
}
