/** Results of HTTP calls whose answers are complete, truncated, reset or missing. */
import * as net from "node:net";
import test from "ava";
import { errors, utils } from "@shedtiller/common";
import type { HttpCall } from "../../http/HttpCall.js";
import { HttpClient } from "../../http/HttpClient.js";
import { readBody } from "../../http/readBody.js";

const maxBytes = 1024;
const generousMs = 30_000;
const connectTimeoutMs = 400;
/** A pause of this process that is longer than the timeout of a connection. */
const pauseMs = 700;

/** Listens on a free port and handles each connection. */
async function listen(
  handle: (socket: net.Socket) => void,
  isPaused = false,
): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer({ pauseOnConnect: isPaused }, (socket) => {
    socket.on("error", () => undefined);
    handle(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

function createCall(address: string, isFresh: boolean): HttpCall {
  return {
    address,
    method: "GET",
    path: "/",
    headers: ["Host", address],
    isFresh,
    connectTimeoutMs: generousMs,
    headTimeoutMs: generousMs,
  };
}

/** Blocks the event loop, like a host that has no processor time for this process. */
function blockEventLoop(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, durationMs);
}

for (const isFresh of [true, false]) {
  const kind = isFresh ? "new" : "pooled";
  test(`an answer without a stated length is incomplete if its connection is reset (${kind} connection)`, async (t) => {
    const sockets: net.Socket[] = [];
    const { server, address } = await listen((socket) => {
      sockets.push(socket);
      // Closing a connection with unread data resets it, so the request stays unread.
      socket.pause();
      socket.write("HTTP/1.1 200 OK\r\n\r\npart of the bo");
    });
    const client = new HttpClient();
    const head = await client.send(createCall(address, isFresh));
    if (head.err) return t.fail(head.val.message);
    const body = readBody(head.val, address, maxBytes, generousMs);
    for (const socket of sockets) socket.destroy();
    const read = await body;
    t.true(read.err && read.val instanceof errors.ConnectionLostError);
    client.close();
    server.close();
  });

  test(`an answer without a stated length is incomplete if a reset arrives together with its data (${kind} connection)`, async (t) => {
    const sockets: net.Socket[] = [];
    const isConnected = new utils.Deferred<void>();
    const { server, address } = await listen((socket) => {
      sockets.push(socket);
      isConnected.resolve();
    }, true);
    const client = new HttpClient();
    const fetched = client.fetch(createCall(address, isFresh), maxBytes, generousMs);
    await isConnected.promise;
    // After two turns of the event loop the request has arrived. It stays unread, since closing with unread data resets the connection.
    await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    for (const socket of sockets) {
      socket.write("HTTP/1.1 200 OK\r\n\r\npart of the bo");
      socket.destroy();
    }
    const answer = await fetched;
    t.true(answer.err && answer.val instanceof errors.ConnectionLostError);
    client.close();
    server.close();
  });

  test(`an answer without a stated length is complete if its connection is closed (${kind} connection)`, async (t) => {
    const { server, address } = await listen((socket) => {
      socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\n\r\nthe whole body"));
    });
    const client = new HttpClient();
    const answer = await client.fetch(createCall(address, isFresh), maxBytes, generousMs);
    t.is(answer.ok ? answer.val.body.toString() : answer.val.code, "the whole body");
    client.close();
    server.close();
  });
}

test("an answer shorter than its stated length is incomplete", async (t) => {
  const { server, address } = await listen((socket) => {
    socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"));
  });
  const client = new HttpClient();
  const answer = await client.fetch(createCall(address, true), maxBytes, generousMs);
  t.true(answer.err && answer.val instanceof errors.ConnectionLostError);
  client.close();
  server.close();
});

test("a refused connection proves that the server received nothing", async (t) => {
  const { server, address } = await listen(() => undefined);
  await new Promise((resolve) => server.close(resolve));
  const client = new HttpClient();
  const answer = await client.fetch(createCall(address, true), maxBytes, generousMs);
  t.true(answer.err && answer.val instanceof errors.NotReachedError);
  client.close();
});

test("a connection that is closed after the server has read the request gives an unknown outcome", async (t) => {
  const { server, address } = await listen((socket) => {
    socket.once("data", () => socket.destroy());
  });
  const client = new HttpClient();
  const answer = await client.fetch(createCall(address, true), maxBytes, generousMs);
  t.true(answer.err && answer.val instanceof errors.ConnectionLostError);
  client.close();
  server.close();
});

test("a call on a dead pooled connection fails at its timeout, and the next call uses another connection", async (t) => {
  const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok";
  let connections = 0;
  const { server, address } = await listen((socket) => {
    connections += 1;
    // The first connection answers once and ignores all later requests.
    if (connections === 1) socket.once("data", () => socket.write(answer));
    else socket.on("data", () => socket.write(answer));
  });
  const client = new HttpClient();
  t.true((await client.fetch(createCall(address, false), maxBytes, generousMs)).ok);
  const silent = await client.fetch(
    { ...createCall(address, false), headTimeoutMs: 50 },
    maxBytes,
    generousMs,
  );
  t.true(silent.err && silent.val instanceof errors.DeadlineError);
  t.true((await client.fetch(createCall(address, false), maxBytes, generousMs)).ok);
  t.is(connections, 2);
  client.close();
  server.close();
});

test.serial(
  "a connection that is established while this process pauses for longer than the timeout is used",
  async (t) => {
    const { server, address } = await listen((socket) => {
      socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    });
    const client = new HttpClient();
    const sent = client.fetch({ ...createCall(address, true), connectTimeoutMs }, maxBytes, generousMs);
    blockEventLoop(pauseMs);
    const answer = await sent;
    t.is(answer.ok ? answer.val.body.toString() : answer.val.code, "ok");
    client.close();
    server.close();
  },
);

// Guards against requests that a cut holds up and delivers after they were given up, since their connection was only closed.
for (const isFresh of [true, false]) {
  test(`a call that is given up resets its connection (${isFresh ? "new" : "pooled"} connection)`, async (t) => {
    const arrived = new utils.Deferred<void>();
    const ended = new utils.Deferred<string>();
    const { server, address } = await listen((socket) => {
      socket.once("data", () => arrived.resolve());
      socket.once("error", (error: NodeJS.ErrnoException) => ended.resolve(error.code ?? ""));
      socket.once("close", () => ended.resolve("closed"));
    });
    const client = new HttpClient();
    const abort = new AbortController();
    let overCount = 0;
    const onOver = (): void => void (overCount += 1);
    const sent = client.send({ ...createCall(address, isFresh), signal: abort.signal, onOver });
    await arrived.promise;
    t.is(overCount, 0);
    abort.abort();
    const result = await sent;
    t.true(result.err && result.val instanceof errors.CancelledError);
    t.is(overCount, 1);
    t.is(await ended.promise, "ECONNRESET");
    client.close();
    server.close();
  });
}
