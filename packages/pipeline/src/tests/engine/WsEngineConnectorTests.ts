/** What a handshake that does not end says of an engine. */
import * as net from "node:net";
import { errors, utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import { WsEngineConnector } from "../../engine/WsEngineConnector.js";

const firstWaitMs = 20;
const longestWaitMs = 40;

/** Listens, and answers no handshake. */
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
  return new WsEngineConnector(events, new utils.AdaptiveTimeout(firstWaitMs, longestWaitMs));
}

test("one handshake that is late is no proof that an engine is gone; a second one that had more time is", async (t) => {
  const address = await listenSilently(t);
  const connector = createConnector();
  const first = await connector.getLink("g1", address);
  t.true(first.err && first.val instanceof errors.DeadlineError);
  const second = await connector.getLink("g1", address);
  t.true(second.err && second.val instanceof errors.NotReachedError);
});

test("an engine that refuses connections is not reached at once", async (t) => {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const link = await createConnector().getLink("g1", `127.0.0.1:${port}`);
  t.true(link.err && link.val instanceof errors.NotReachedError);
});
