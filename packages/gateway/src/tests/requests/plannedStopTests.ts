/** A planned stop while callers read their answers slowly, over real sockets. */
import * as http from "node:http";
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { answer, callerHeaders, generousMs, setUp } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";

/** Larger than the socket buffers of both ends together, and smaller than the largest answer that is forwarded. */
const bodyBytes = 15 * 1024 * 1024;

/** Starts a gateway whose endpoint gives a large answer on one path and a small one on all others. */
async function setUpAnswers(t: ExecutionContext): Promise<GatewayFixture> {
  const fixture = await setUp(t, { kind: "safe" });
  const large = answer(200, "x".repeat(bodyBytes));
  const small = answer(200, "whole");
  await fixture.list(
    [(request, ...rest) => (request.url === "/a/large" ? large : small)(request, ...rest)],
    {},
  );
  return fixture;
}

/** Requests the large answer; resolves with its headers received and its body unread. */
function requestLarge(fixture: GatewayFixture): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const options = { host: "127.0.0.1", port: fixture.port, path: "/a/large", agent: false };
    const request = http.get({ ...options, headers: { host: "notes.example", ...callerHeaders } }, resolve);
    request.on("error", reject);
  });
}

/** Reads an answer to its end; returns the number of bytes, and whether the answer was whole. */
function read(message: http.IncomingMessage): Promise<{ sizeBytes: number; isWhole: boolean }> {
  return new Promise((resolve) => {
    let sizeBytes = 0;
    message.on("data", (chunk: Buffer) => (sizeBytes += chunk.length));
    message.on("error", () => undefined);
    message.on("close", () => resolve({ sizeBytes, isWhole: message.complete }));
  });
}

// Guards against a planned stop that takes connections for idle whose answers have been ended but not yet written.
test("an answer that is still being written when idle connections are closed arrives whole", async (t) => {
  const fixture = await setUpAnswers(t);
  const message = await requestLarge(fixture);
  t.is(fixture.listener.inFlight, 1, "the caller has not read the answer");
  fixture.listener.drain();
  fixture.listener.closeIdle();
  const received = read(message);
  t.true(await utils.waitUntil(() => fixture.listener.inFlight === 0, generousMs));
  fixture.listener.close();
  t.deepEqual(await received, { sizeBytes: bodyBytes, isWhole: true });
});

// Guards against a stop that keeps idle connections, over which callers would send further requests to the stopping instance.
test("an idle connection is closed at a planned stop while another answer is being written", async (t) => {
  const fixture = await setUpAnswers(t);
  const agent = new http.Agent({ keepAlive: true });
  t.teardown(() => agent.destroy());
  t.is((await fixture.request("GET", callerHeaders, "/a/small", agent)).body, "whole");
  const idle = Object.values(agent.freeSockets).flat()[0];
  const closed = new Promise((resolve) => idle?.once("close", () => resolve("closed")));
  const message = await requestLarge(fixture);
  fixture.listener.closeIdle();
  t.is(await closed, "closed");
  t.true((await read(message)).isWhole);
});

// Guards against a stop that takes a kept connection for idle while the next request is being read from it.
test("a connection on which the next request has begun is not closed at a planned stop", async (t) => {
  const fixture = await setUpAnswers(t);
  const socket = net.connect(fixture.port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  let received = "";
  socket.on("data", (bytes: Buffer) => (received += bytes.toString()));
  const countAnswers = (): number => received.split("whole").length - 1;
  const lines = ["GET /a/small HTTP/1.1", "host: notes.example", "x-id: r1", "x-key: k1", "", ""];
  const request = lines.join("\r\n");
  socket.write(request);
  t.true(await utils.waitUntil(() => countAnswers() === 1, generousMs));
  await new Promise((resolve) => socket.write(request.slice(0, -2), resolve));
  // The gateway has read the bytes above once a later request on another connection is answered.
  await fixture.request("GET", callerHeaders, "/a/small");
  fixture.listener.closeIdle();
  socket.write(request.slice(-2));
  t.true(await utils.waitUntil(() => countAnswers() === 2 || socket.destroyed, generousMs));
  t.is(countAnswers(), 2);
});
