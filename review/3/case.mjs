/**
 * Planned stop of an instance while callers with slow links still receive large answers.
 *
 * The answers have left the endpoint whole, and the instance has all of their bytes in memory. The links of the callers carry 14 Mbit/s.
 * One instance gets SIGTERM half a second after its requests were sent.
 */
import * as net from "node:net";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createFolder, host, isTroubled, nowMs, runCase, sleep } from "../lib/common.mjs";
import { apiKey, callerHost, createConfiguration, createRoute } from "../lib/configuration.mjs";
import { Endpoint } from "../lib/Endpoint.mjs";
import { Gateway } from "../lib/Gateway.mjs";
import { SlowLink } from "../lib/SlowLink.mjs";
import { Store } from "../lib/Store.mjs";

const limitMs = 100_000;
const callers = 6;
const answerBytes = 12 * 1024 * 1024;
const workMs = 60;
/** A link of 14 Mbit/s. */
const linkBytesPerSecond = 1_750_000;
const stopAfterMs = 500;
const deadlineMs = 20_000;
const folder = path.dirname(fileURLToPath(import.meta.url));

/** Sends a request over a slow link, and resolves with what arrived once the connection has ended. */
function call(id, port, record) {
  return new Promise((resolve) => {
    const sentAtMs = nowMs();
    const socket = net.connect(port, host);
    const state = { id, status: undefined, expectedBytes: undefined, bodyBytes: 0 };
    let head = Buffer.alloc(0);
    const end = (how) => {
      const tookMs = Math.round(nowMs() - sentAtMs);
      record.add(
        `caller: ${id} ends (${how}) after ${tookMs} ms: status ${state.status}, ${state.bodyBytes} of ${state.expectedBytes} bytes of the body`,
      );
      socket.destroy();
      resolve({ ...state, isWhole: state.bodyBytes === state.expectedBytes });
    };
    socket.on("data", (bytes) => {
      if (state.status !== undefined) state.bodyBytes += bytes.length;
      else {
        head = Buffer.concat([head, bytes]);
        const at = head.indexOf("\r\n\r\n");
        if (at < 0) return;
        const text = head.toString("latin1", 0, at);
        state.status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
        state.expectedBytes = Number(/^content-length: (\d+)$/im.exec(text)?.[1]);
        state.bodyBytes = head.length - at - 4;
      }
      if (state.bodyBytes === state.expectedBytes) end("whole answer");
    });
    socket.once("end", () => end("the connection was closed"));
    socket.once("error", (error) => end(`the connection broke: ${error.code}`));
    record.add(`caller: ${id} sent`);
    socket.write(
      `GET /records/${id} HTTP/1.1\r\nHost: ${callerHost}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n` +
        `Authorization: Bearer ${apiKey}\r\n\r\n`,
    );
  });
}

await runCase(folder, limitMs, async (record, addCleanup) => {
  const store = new Store();
  await store.listen();
  addCleanup(() => store.close());
  const route = createRoute({
    name: "records",
    "path-prefix": "/records/",
    kind: "safe",
    service: "ops-api",
    "target-latency-ms": 300,
  });
  store.write("keyed.op", "config", createConfiguration(1, [route]));
  const body = Buffer.alloc(answerBytes, "x");
  const answer = async (request, response, _body, { id }) => {
    const requestId = request.headers["request-id"];
    record.add(`${id}: runs ${requestId}`);
    await sleep(workMs);
    response.writeHead(200, { "Request-Id": requestId, "Response-Stamp": id, "Content-Length": body.length });
    response.end(body, () => record.add(`${id}: has handed over the whole answer to ${requestId}`));
  };
  for (const id of ["i-records-1", "i-records-2"]) {
    const endpoint = new Endpoint({ id, service: "ops-api", availabilityZone: "zone-a", store, answer });
    await endpoint.start();
    addCleanup(() => endpoint.stop());
  }
  const temporary = createFolder();
  const gateways = [];
  for (const name of ["front-1", "front-2"]) {
    const gateway = new Gateway(name, "zone-a", store, temporary, record);
    addCleanup(() => gateway.end());
    await gateway.start();
    gateways.push(gateway);
  }
  const [stopped] = gateways;
  const link = new SlowLink(stopped.port, linkBytesPerSecond);
  await link.listen();
  addCleanup(() => link.close());
  await sleep(1_000);
  const calls = Array.from({ length: callers }, (_, index) => call(`c${index + 1}`, link.port, record));
  await sleep(stopAfterMs);
  if (isTroubled) stopped.signal("SIGTERM");
  const answers = await Promise.all(calls);
  const lost = answers.filter(({ isWhole }) => !isWhole);
  return {
    isHeld: lost.length === 0,
    text: `LOST: ${lost.length} of ${answers.length} requests lost their connection without a complete answer`,
  };
});
