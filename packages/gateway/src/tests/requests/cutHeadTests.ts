/** Endpoints that stop in the middle of an answer, at each of its bytes, and close or reset the connection. */
import type * as http from "node:http";
import type * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import { answer, callerHeaders, setUp } from "./endpointHandlers.js";
import type { EndpointHandler, GatewayFixture } from "./GatewayFixture.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"] as const;
const wholeStream = events.join("");
/** Path on which the endpoint gives a whole answer and keeps the connection. */
const wholePath = "/a/whole";
const successStatus = 200;

type Framing = "length" | "chunks" | "none" | "length after an interim answer";
const framings: readonly Framing[] = ["length", "chunks", "none", "length after an interim answer"];

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Returns the head and the body of an answer as an endpoint writes them. */
function formatAnswer(id: string, framing: Framing, parts: readonly string[]): readonly [string, string] {
  const body = parts.join("");
  const chunks = `${parts.map(formatChunk).join("")}0\r\n\r\n`;
  const line =
    framing === "chunks"
      ? "Transfer-Encoding: chunked\r\n"
      : framing === "none"
        ? "Connection: close\r\n"
        : `Content-Length: ${body.length}\r\n`;
  const interim = framing === "length after an interim answer" ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
  return [`${interim}HTTP/1.1 200 OK\r\nX-Id: ${id}\r\n${line}\r\n`, framing === "chunks" ? chunks : body];
}

/** Writes the beginning of an answer, and ends the connection behind it. */
function writeCut(socket: net.Socket, bytes: string, isReset: boolean): void {
  const end = (): void => void (isReset ? socket.resetAndDestroy() : socket.end());
  if (bytes === "") end();
  else socket.write(bytes, end);
}

function getId(request: http.IncomingMessage): string {
  return String(request.headers["x-id"]);
}

/** Cuts the answers of an endpoint at each byte in turn, and passes what the caller receives to `check`. */
async function cutEach(
  fixture: GatewayFixture,
  cases: { readonly parts: readonly string[]; readonly framing: Framing; readonly isReset: boolean },
  check: (cutAt: number) => Promise<void>,
): Promise<void> {
  const { parts, framing, isReset } = cases;
  const [head, body] = formatAnswer("r1", framing, parts);
  // Without framing, the end of the connection is the end of the answer.
  const end = framing === "none" && !isReset ? head.length : head.length + body.length;
  let cutAt = 0;
  const handler: EndpointHandler = (request, response, crash) => {
    if (request.url === wholePath) return answer(successStatus, "whole")(request, response, crash);
    const after = Number(request.headers["x-last"] ?? 0);
    const bytes = formatAnswer(getId(request), framing, parts.slice(after)).join("");
    writeCut(request.socket, bytes.slice(0, cutAt), isReset);
  };
  await fixture.list([handler], allLayers);
  for (; cutAt < end; cutAt++) await check(cutAt);
}

function getName(framing: Framing, isReset: boolean): string {
  return `${isReset ? "resets" : "closes"} the connection in the middle, framed by ${framing}`;
}

async function checkPlain(
  t: ExecutionContext,
  isKept: boolean,
  framing: Framing,
  isReset: boolean,
): Promise<void> {
  const fixture = await setUp(t, { kind: "safe", maxAttempts: 1 });
  await cutEach(fixture, { parts: ["answer"], framing, isReset }, async (cutAt) => {
    if (isKept) t.is((await fixture.request("GET", callerHeaders, wholePath)).status, successStatus);
    const received = await fixture.request("GET", callerHeaders);
    t.true(received.status >= 500, `status ${received.status} after ${cutAt} bytes`);
  });
}

for (const framing of framings)
  for (const isReset of [false, true]) {
    // Guards against successes with an empty or short body for answers that an endpoint did not finish.
    test(`no success is made of a plain answer whose endpoint ${getName(framing, isReset)}`, async (t) => {
      await checkPlain(t, false, framing, isReset);
    });

    // Guards against the same on a connection that has brought a whole answer before.
    test(`no success is made on a kept connection whose endpoint ${getName(framing, isReset)}`, async (t) => {
      await checkPlain(t, true, framing, isReset);
    });

    // Guards against streams that look whole and lack events.
    test(`no stream looks whole that lacks events, whose engine ${getName(framing, isReset)}`, async (t) => {
      const fixture = await setUp(t, { kind: "streaming", isResumable: true, maxAttempts: 2 });
      await cutEach(fixture, { parts: events, framing, isReset }, async (cutAt) => {
        const received = await fixture.request("POST", callerHeaders);
        if (received.status !== successStatus || !received.isWhole) return;
        t.is(received.body, wholeStream, `after ${cutAt} bytes`);
      });
      t.pass();
    });
  }
