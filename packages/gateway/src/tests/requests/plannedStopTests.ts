/** A planned stop while callers read their answers slowly, over real sockets. */
import * as http from "node:http";
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
