/**
 * An endpoint leaves while one instance has just reached the store again and another one is still cut off from it.
 *
 * The endpoint does not say that it drains: its entry goes, and it serves on for some seconds. A third instance is stopped and started again
 * meanwhile, as planned. Callers send requests to the instance that was cut off longest.
 */
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { createFolder, host, isTroubled, nowMs, runCase, sleep, waitUntil } from "../lib/common.mjs";
import { apiKey, callerHost, createConfiguration, createRoute } from "../lib/configuration.mjs";
import { Endpoint } from "../lib/Endpoint.mjs";
import { bounds, Gateway } from "../lib/Gateway.mjs";
import { Store } from "../lib/Store.mjs";

const limitMs = 100_000;
const callers = 3;
const callIntervalMs = 20;
const workMs = 20;
const deadlineMs = 1_500;
/** Time for which the first instance is cut off from the store; the second one stays so for longer. */
const cutMs = 4_000;
/** The entry goes shortly before the first instance reaches the store again, and the second one returns some time after it. */
const entryGoesBeforeMs = 100;
const secondReturnsAfterMs = 1_900;
/** A stopping instance without requests exits 2.5 s after the signal. */
const stopBeforeMs = 2_700;
/** For how long the leaving endpoint serves after its entry has gone. */
const servesMs = 9_000;
const observedMs = 3_000;
const leavingId = "i-ops-leaving";
const folder = path.dirname(fileURLToPath(import.meta.url));

await runCase(folder, limitMs, async (record, addCleanup) => {
  const store = new Store();
  addCleanup(() => store.close());
  const route = createRoute({
    name: "status",
    "path-prefix": "/status/",
    service: "ops-api",
    "timeout-ms": 800,
    "target-latency-ms": 300,
  });
  store.write("keyed.op", "config", createConfiguration(1, [route]));
  let goneAtMs = Number.POSITIVE_INFINITY;
  /** Monotonic time from which the instance that is called is in touch again. */
  let inTouchAtMs = Number.POSITIVE_INFINITY;
  const late = [];
  const answer = async (request, response, _body, { id }) => {
    const requestId = request.headers["request-id"];
    const sinceMs = nowMs() - goneAtMs;
    const isLate = id === leavingId && sinceMs > bounds["drain-timeout-ms"] && nowMs() > inTouchAtMs;
    if (isLate) late.push(sinceMs);
    record.add(
      `${id}: runs ${requestId}${isLate ? `, ${Math.round(sinceMs)} ms after its entry has gone` : ""}`,
    );
    await sleep(workMs);
    const body = "the endpoint's answer";
    response.writeHead(200, { "Request-Id": requestId, "Response-Stamp": id, "Content-Length": body.length });
    response.end(body);
  };
  const endpoints = new Map();
  for (const [id, availabilityZone] of [
    [leavingId, "zone-b"],
    ["i-ops-2", "zone-a"],
    ["i-ops-3", "zone-c"],
  ]) {
    const endpoint = new Endpoint({ id, service: "ops-api", availabilityZone, store, answer });
    await endpoint.start();
    addCleanup(() => endpoint.stop());
    endpoints.set(id, endpoint);
  }
  const temporary = createFolder(addCleanup);
  const gateways = [];
  for (const [name, availabilityZone] of [
    ["front-a", "zone-a"],
    ["front-b", "zone-b"],
    ["front-c", "zone-c"],
  ]) {
    const gateway = new Gateway(name, availabilityZone, store, temporary, record);
    addCleanup(() => gateway.end());
    await gateway.start();
    gateways.push(gateway);
  }
  const [first, called, restarted] = gateways;
  await sleep(3_000);
  const statuses = new Map();
  let count = 0;
  let isOver = false;
  const call = (id) =>
    new Promise((resolve) => {
      const headers = {
        Host: callerHost,
        "Request-Id": id,
        "Deadline-Ms": String(deadlineMs),
        Authorization: `Bearer ${apiKey}`,
      };
      const options = { host, port: called.port, path: "/status/now", agent: false, headers };
      record.add(`caller: ${id} sent`);
      const end = (status) => {
        record.add(`caller: ${id} gets ${status}`);
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        resolve();
      };
      const request = http.get(options, (message) => {
        message.resume();
        message.on("error", () => undefined);
        message.on("close", () => end(message.statusCode));
      });
      request.on("error", (error) => end(error.code));
    });
  const runCaller = async () => {
    while (!isOver) {
      await call(`r${++count}`);
      await sleep(callIntervalMs);
    }
  };
  const calls = Array.from({ length: callers }, runCaller);
  if (isTroubled) {
    first.storeAccess.state = "cut";
    called.storeAccess.state = "cut";
    record.add("front-a and front-b are cut off from the store");
  }
  await sleep(cutMs - stopBeforeMs);
  restarted.signal("SIGTERM");
  await sleep(stopBeforeMs - entryGoesBeforeMs);
  const leaving = endpoints.get(leavingId);
  leaving.leave();
  goneAtMs = nowMs();
  record.add(`${leavingId}: the store has taken that its entry goes; it serves on`);
  await sleep(entryGoesBeforeMs);
  first.storeAccess.state = "served";
  record.add("front-a reaches the store");
  await sleep(secondReturnsAfterMs);
  called.storeAccess.state = "served";
  inTouchAtMs = nowMs() + bounds["contact-ms"];
  record.add("front-b reaches the store");
  await waitUntil("front-c has stopped", () => restarted.hasExited, 8_000);
  await restarted.start();
  await sleep(goneAtMs + servesMs - nowMs());
  leaving.stop();
  record.add(`${leavingId}: ends`);
  await sleep(observedMs);
  isOver = true;
  await Promise.all(calls);
  for (const [status, number] of statuses) record.add(`answers with ${status}: ${number} of ${count}`);
  return {
    isHeld: late.length === 0,
    text:
      `DRAIN: ${late.length} requests reached an endpoint over ${bounds["drain-timeout-ms"]} ms after its entry had gone, ` +
      `from an instance in touch; the last of them ${Math.round(late.at(-1) ?? 0)} ms after`,
  };
});
