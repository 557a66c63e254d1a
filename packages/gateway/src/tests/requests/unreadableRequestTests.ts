/** Bytes that can't be read as a request, over real sockets. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";
import { formatRequest, RawCaller } from "./RawCaller.js";
import { setUpCaller } from "./setUpCaller.js";

const noRequest = "this is no request\r\n\r\n";
/** More than any head that is read. */
const largeHead = formatRequest("r2", "/a/x", [`x-large: ${"x".repeat(80_000)}`]);
/** More than the configuration of the tests allows, and less than is read. */
const longHead = formatRequest("r2", "/a/x", [`x-long: ${"x".repeat(20_000)}`]);
const brokenChunk = formatRequest("r2", "/a/x", ["transfer-encoding: chunked"])
  .replace("content-length: 0\r\n", "")
  .concat("not a size\r\n");

const withoutHost = formatRequest("r2", "/a/x").replace("host: notes.example\r\n", "");
const connect = "CONNECT notes.example:443 HTTP/1.1\r\nhost: notes.example\r\n\r\n";

const faults: Record<string, { readonly bytes: string; readonly status: number }> = {
  "bytes that are no request": { bytes: noRequest, status: 400 },
  "a body that is no body": { bytes: brokenChunk, status: 400 },
  "a head of 80 kB": { bytes: largeHead, status: 431 },
  "a head over the limit of the configuration": { bytes: longHead, status: 431 },
  "a request for a tunnel": { bytes: connect, status: 400 },
};

for (const [name, { bytes, status }] of Object.entries(faults)) {
  // Guards against the close of a connection without any status.
  test(`${name} at the beginning of a connection: ${status}`, async (t) => {
    const { fixture, caller } = await setUpCaller(t, { kind: "unsafe" });
    await caller.send(bytes);
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [status]);
    t.regex(caller.received, /connection: close/i);
    t.true(await utils.waitUntil(() => fixture.listener.inFlight === 0, generousMs));
  });

  // Guards against the loss of an answer whose request is followed by bytes that can't be read.
  test(`${name} behind a request in progress: its answer, then ${status}`, async (t) => {
    const { endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
    await caller.send(formatRequest("r1", "/a/x") + bytes);
    await endpoint.waitFor("r1");
    endpoint.release("r1");
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [200, status]);
    t.deepEqual(endpoint.abandoned, []);
  });
}

// Guards against the cut of a stream whose caller sends bytes that can't be read.
test("bytes that are no request during a stream are refused after its end", async (t) => {
  const { endpoint, caller } = await setUpCaller(t, { kind: "streaming", isResumable: true });
  await caller.send(formatRequest("r1", "/a/x"));
  await endpoint.waitFor("r1");
  endpoint.begin("r1");
  await caller.waitForAnswers(1);
  await caller.send(noRequest);
  const other = new RawCaller(caller.port);
  t.teardown(() => other.close());
  await other.send(formatRequest("r3", "/a/x"));
  // The gateway has read the bytes above once a later request has arrived.
  await endpoint.waitFor("r3");
  endpoint.release("r1");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200, 400]);
  t.regex(caller.received, /id: 2\ndata: r1\n\n/);
});

// Guards against bytes after the last answer that reset the connection before the caller has read the answer.
test("bytes behind a request that asks for the end of the connection do not harm its answer", async (t) => {
  const { endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
  await caller.send(formatRequest("r1", "/a/x", ["connection: close"]) + noRequest);
  await endpoint.waitFor("r1");
  endpoint.release("r1");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200]);
});

// Guards against a second answer to a request that was refused before its body was found to be broken.
test("a refused request whose body can't be read is answered once", async (t) => {
  const { caller } = await setUpCaller(t, { kind: "unsafe" });
  await caller.send(brokenChunk.replace("/a/x", "/unknown").replace("not a size\r\n", ""));
  await caller.waitForAnswers(1);
  await caller.send("not a size\r\n");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [404]);
});

// Guards against a request that runs behind one without a host, after whose answer the connection was closed.
test("a request without a host is refused, and the one behind it is answered", async (t) => {
  const { endpoint, caller } = await setUpCaller(t, { kind: "unsafe" });
  await caller.send(withoutHost + formatRequest("r3", "/a/x"));
  await endpoint.waitFor("r3");
  endpoint.release("r3");
  await caller.waitForAnswers(2);
  t.deepEqual(caller.statuses, [400, 200]);
});

// Guards against the close without a status of a connection whose head is not completed in time.
test("a head that does not arrive in time: 408", async (t) => {
  const { fixture, caller } = await setUpCaller(t, { kind: "unsafe" });
  fixture.setLimits({ headerTimeoutMs: 1 });
  await caller.send(formatRequest("r1", "/a/x").slice(0, -2));
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [408]);
});
