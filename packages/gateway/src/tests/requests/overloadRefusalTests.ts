/** Guards against an overloaded instance that closes connections on which whole requests have arrived, and answers nothing. */
import * as http from "node:http";
import * as net from "node:net";
import { utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { createRoute } from "../testData.js";
import { GatewayFixture } from "./GatewayFixture.js";

const targets = [{ service: "engines", weight: 1 }];
const routes: readonly Route[] = [
  createRoute({ targets, kind: "safe" }),
  createRoute({ targets, kind: "unsafe" }),
  createRoute({ targets, kind: "streaming" }),
];

for (const route of routes) {
  // Guards against callers that get neither an answer nor a refusal, and whose requests no log names.
  test(`a whole request beyond the limit on new connections is refused, and its id is logged (${route.kind})`, async (t) => {
    const fixture = new GatewayFixture();
    t.teardown(() => fixture.close());
    const output = new RecordingLogOutput();
    fixture.logOutput = output;
    await fixture.start(route);
    const agent = new http.Agent({ keepAlive: true });
    t.teardown(() => agent.destroy());
    await fixture.request("GET", { "x-id": "r0", "x-key": "k1" }, "/a/x", agent);
    const before = fixture.forwarded.begun;
    fixture.setAcceptLimit(0);
    const method = route.kind === "safe" ? "GET" : "POST";
    const answer = await fixture.request(method, { "x-id": "r1", "x-key": "k1" });
    t.is(answer.status, 503);
    t.true(answer.isWhole);
    t.is(answer.headers.connection, "close");
    t.true(Number(answer.headers["x-retry-after-ms"]) > 0);
    t.is(fixture.forwarded.begun, before);
    t.deepEqual(fixture.refusals, ["overloaded"]);
    t.true(output.fields.some(({ requestId, reason }) => requestId === "r1" && reason === "overloaded"));
  });
}

/** Sends the beginning of a request, and the parts of its body once the answer has come; returns the answer and how the connection ended. */
async function sendInParts(t: ExecutionContext, port: number): Promise<{ answer: string; end: string }> {
  // A reset shows with the write after the one that it answers.
  const parts = ["first", "second", "third"];
  const caller = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  t.teardown(() => caller.destroy());
  const refused = new utils.Deferred<void>();
  const closed = new utils.Deferred<string>();
  let answer = "";
  caller.on("data", (part: Buffer) => {
    answer += part.toString();
    if (answer.endsWith('"}')) refused.resolve();
  });
  caller.on("error", (error) => closed.resolve(String(error)));
  caller.on("close", () => closed.resolve("closed"));
  const length = parts.join("").length;
  caller.write(`POST /a/x HTTP/1.1\r\nHost: notes.example\r\nx-key: k1\r\nContent-Length: ${length}\r\n\r\n`);
  await refused.promise;
  for (const part of parts) await new Promise((resolve) => caller.write(part, resolve));
  caller.end();
  return { end: await closed.promise, answer };
}

// Guards against callers that lose the refusal since the connection is closed with a part of their body unread, and so is reset.
for (const reason of ["overloaded", "stopping"] as const) {
  test(`a caller that is refused while its body is on its way gets the whole refusal at once, and no reset (${reason})`, async (t) => {
    const fixture = new GatewayFixture();
    t.teardown(() => fixture.close());
    await fixture.start(createRoute({ targets, kind: "unsafe" }));
    if (reason === "overloaded") fixture.setAcceptLimit(0);
    else {
      fixture.stopAfter(0);
      fixture.listener.drain();
    }
    const { answer, end } = await sendInParts(t, fixture.port);
    t.is(end, "closed");
    t.deepEqual(fixture.refusals, [reason]);
    t.true(answer.startsWith("HTTP/1.1 503 ") && answer.endsWith(`{"error":"${reason}"}`), answer);
  });
}
