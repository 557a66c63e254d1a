/** An engine whose streams continue when a test says so. */
import type * as http from "node:http";
import type { EndpointHandler } from "./GatewayFixture.js";

/** One run of a stream at a {@link ScriptedEngine}. */
export class ScriptedRun {
  /** Whether the connection was closed before the end of the run. */
  isCut = false;
  private _nextEvent: number;

  constructor(
    request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
  ) {
    const lastEventId = request.headers["x-last"];
    this._nextEvent = Number(lastEventId ?? 0) + 1;
    _response.on("close", () => (this.isCut = !_response.writableFinished));
    _response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
    _response.flushHeaders();
  }

  /** Sends the next events. */
  send(count: number): void {
    for (let sent = 0; sent < count; sent++) this._response.write(toEvent(this._nextEvent++));
  }

  /** Sends the beginning of the next event. */
  sendPart(): void {
    this._response.write(`id: ${this._nextEvent}\nda`);
  }

  /** Sends the next events and ends the stream. */
  finish(count: number): void {
    this.send(count);
    this._response.end();
  }

  /** Breaks the stream off. */
  breakOff(): void {
    this._response.destroy();
  }
}

/** Records the runs of its streams; each of them is silent until the test lets it go on. */
export class ScriptedEngine {
  readonly runs: ScriptedRun[] = [];

  readonly handle: EndpointHandler = (request, response) => {
    this.runs.push(new ScriptedRun(request, response));
  };
}

/** Returns the text of the events from 1 to `count`. */
export function toEvents(count: number): string {
  return Array.from({ length: count }, (_, index) => toEvent(index + 1)).join("");
}

function toEvent(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}
