/** Errors of opening a link: a slow engine must not be taken for a lost one after a single late handshake. */
import * as net from "node:net";
import { errors, utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import { WsEngineConnector } from "../../engine/WsEngineConnector.js";

const initialTimeoutMs = 20;
const maxTimeoutMs = 40;
/** A pause of this process that is longer than the longest timeout. */
const pauseMs = 100;

/** Starts a server that accepts TCP connections and never answers a WebSocket handshake. */
async function listenSilently(t: ExecutionContext): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => sockets.add(socket.on("error", () => undefined)));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function createConnector(): WsEngineConnector {
  const ignore = (): void => undefined;
  const events = { onDraining: ignore, onStrayReply: ignore, onLinkLost: ignore };
  return new WsEngineConnector(events, new utils.AdaptiveTimeout(initialTimeoutMs, maxTimeoutMs));
}

test("a first handshake timeout fails with DeadlineError, a second one with a longer timeout with NotReachedError", async (t) => {
  const address = await listenSilently(t);
  const connector = createConnector();
  const first = await connector.getLink("g1", address);
  t.true(first.err && first.val instanceof errors.DeadlineError);
  const second = await connector.getLink("g1", address);
  t.true(second.err && second.val instanceof errors.NotReachedError);
});

/** Returns an address at which nothing listens. */
async function getRefusingAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Blocks the event loop, like a host that has no processor time for this process. */
function blockEventLoop(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, durationMs);
}

test("an engine that refuses connections counts as not reached after a single attempt", async (t) => {
  const link = await createConnector().getLink("g1", await getRefusingAddress());
  t.true(link.err && link.val instanceof errors.NotReachedError);
});

test.serial(
  "a refusal that is read after a pause of this process counts as one, and not as a timeout",
  async (t) => {
    const address = await getRefusingAddress();
    const opening = createConnector().getLink("g1", address);
    blockEventLoop(pauseMs);
    const link = await opening;
    t.true(link.err && link.val instanceof errors.NotReachedError);
  },
);
