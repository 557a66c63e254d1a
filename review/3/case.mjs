/**
 * Callers that leave while an engine has just crashed.
 *
 * An engine crashes while it reads the prompt of a stream, and the stream goes on at another engine. Meanwhile more callers ask the same
 * instance for streams with the same beginning of their prompts, and leave after a few milliseconds. Their requests have not reached an
 * engine by then. Half of them use a route whose streams may not be resumed, so that they may run only once.
 */
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createFolder, host, isTroubled, nowMs, runCase, sleep, waitUntil } from "../lib/common.mjs";
import { apiKey, callerHost, createConfiguration, createRoute, engineKind } from "../lib/configuration.mjs";
import { Engine } from "../lib/Endpoint.mjs";
import { Gateway } from "../lib/Gateway.mjs";
import { Store } from "../lib/Store.mjs";

const limitMs = 100_000;
const leavers = 12;
/** Time after which these callers leave. */
const stayMs = 30;
const events = 40;
const eventIntervalMs = 50;
/** Time that the engines take to read the common prompt. */
const readMs = 1_000;
const deadlineMs = 20_000;
/** A request may reach an endpoint up to this long after its caller has left. */
const allowedMs = 500;
/** "More than a few requests". */
const allowedRequests = 3;
const folder = path.dirname(fileURLToPath(import.meta.url));
const prompt = JSON.stringify({ prompt: "outage notice for the east loop" });

/** By request id: when the caller left, and when the request reached an engine and its run ended there. */
const leftAtMs = new Map();
const arrivals = new Map();
let crashing;

async function runStream(record, request, response, engine) {
  const requestId = request.headers["request-id"];
  const atMs = nowMs();
  arrivals.set(requestId, { atMs, endedAtMs: undefined });
  const left = leftAtMs.get(requestId);
  const since = left === undefined ? "" : `, ${Math.round(atMs - left)} ms after its caller left`;
  record.add(`${engine.id}: runs ${requestId}${since}`);
  if (crashing === requestId) {
    crashing = undefined;
    await sleep(20);
    record.add(`${engine.id}: crashes`);
    engine.stop();
    return;
  }
  const noteEnd = (how) => {
    if (arrivals.get(requestId).endedAtMs !== undefined) return;
    arrivals.get(requestId).endedAtMs = nowMs();
    record.add(`${engine.id}: ${how} ${requestId}`);
  };
  response.once("close", () => {
    if (!response.writableFinished) noteEnd("drops, since its connection was closed,");
  });
  response.writeHead(200, {
    "Request-Id": requestId,
    "Response-Stamp": engine.id,
    "Content-Type": "text/event-stream",
  });
  response.flushHeaders();
  await sleep(request.headers["prefix-hash"].startsWith("5c1e07a2") ? readMs : 0);
  for (let event = Number(request.headers["last-event-id"] ?? 0) + 1; event <= events; event++) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: token ${event}\n\n`);
    await sleep(eventIntervalMs);
  }
  response.end();
  noteEnd("has ended");
}

/** Sends a stream and resolves once it is over; the caller leaves after `leaveMs` if that is given. */
function call(
  id,
  port,
  record,
  { body = prompt, urlPath = "/a/notice", parts = "5c1e07a2:40,91bd3f06:720", leaveMs } = {},
) {
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port,
        method: "POST",
        path: urlPath,
        agent: false,
        headers: {
          Host: callerHost,
          "Request-Id": id,
          "Deadline-Ms": String(deadlineMs),
          Authorization: `Bearer ${apiKey}`,
          Model: "m0",
          "Token-Usage": "760,120",
          "Prefix-Hash": parts,
          "Content-Length": String(body.length),
        },
      },
      (answer) => {
        answer.resume();
        answer.on("error", () => undefined);
        answer.on("close", () => {
          const isWhole = answer.complete && answer.statusCode === 200;
          record.add(`caller: ${id} gets ${answer.statusCode}, ${answer.complete ? "whole" : "not whole"}`);
          resolve(isWhole);
        });
      },
    );
    request.on("error", () => resolve(false));
    request.end(body);
    record.add(`caller: ${id} sent`);
    if (leaveMs === undefined) return;
    setTimeout(() => {
      leftAtMs.set(id, nowMs());
      record.add(`caller: ${id} closes its connection`);
      request.destroy();
    }, leaveMs);
  });
}

await runCase(folder, limitMs, async (record, addCleanup) => {
  const store = new Store();
  addCleanup(() => store.close());
  const stream = { kind: "streaming", service: "assist-llm", "session-affinity": true, gap_aim_ms: 200 };
  const draft = createRoute({ ...stream, name: "draft", "path-prefix": "/a/", "stream-resume": true });
  const send = createRoute({ ...stream, name: "send", "path-prefix": "/b/", "stream-resume": false });
  store.write("keyed.op", "config", createConfiguration(1, [draft, send]));
  const answer = (request, response, _body, engine) => runStream(record, request, response, engine);
  for (const id of ["i-llm-1", "i-llm-2", "i-llm-3", "i-llm-4"]) {
    const engine = new Engine({
      ...{ id, service: "assist-llm", availabilityZone: "zone-a", store, answer },
      ...{ kind: engineKind, slots: 134, loadMsPerLayer: 20 },
    });
    await engine.start();
    addCleanup(() => engine.stop());
  }
  const temporary = createFolder(addCleanup);
  const gateways = [];
  for (const name of ["front-1", "front-2"]) {
    const gateway = new Gateway(name, "zone-a", store, temporary, record);
    addCleanup(() => gateway.end());
    await gateway.start();
    gateways.push(gateway);
  }
  const { port } = gateways[0];
  let isServed = false;
  for (let tries = 0; !isServed; tries++) {
    if (tries > 30) throw new Error("no stream was served");
    await sleep(500);
    isServed = await call(`w${tries}`, port, record, { body: "{}", parts: `aa:40,${tries + 10}:10` });
  }
  crashing = isTroubled ? "first" : undefined;
  const first = call("first", port, record);
  await waitUntil("the first request runs", () => arrivals.has("first") && crashing === undefined, 5_000);
  await sleep(150);
  const calls = Array.from({ length: leavers }, (_, index) =>
    call(`leaver-${index + 1}${index % 2 === 0 ? "" : "-once"}`, port, record, {
      leaveMs: stayMs,
      urlPath: index % 2 === 0 ? "/a/notice" : "/b/notice",
      parts: `5c1e07a2:40,91bd${index + 10}:720`,
    }),
  );
  await Promise.all([first, ...calls]);
  await sleep(3_000);
  const late = [...leftAtMs].filter(([id, atMs]) => (arrivals.get(id)?.atMs ?? 0) > atMs + allowedMs);
  const workedOn = late.filter(([id]) => {
    const { atMs, endedAtMs } = arrivals.get(id);
    return (endedAtMs ?? Number.POSITIVE_INFINITY) > atMs + allowedMs;
  });
  return {
    isHeld: late.length <= allowedRequests,
    text:
      `GONE: ${late.length} of ${leftAtMs.size} requests reached an endpoint over ${allowedMs} ms after their caller had left; ` +
      `at ${workedOn.length} of them the endpoint was still at work another ${allowedMs} ms later`,
  };
});
