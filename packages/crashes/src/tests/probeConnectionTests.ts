import * as net from "node:net";
import test from "ava";
import { probeConnection } from "../probeConnection.js";

const patienceMs = 60_000;

async function listen(): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer((socket) => socket.on("error", () => undefined));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

test("an address where something listens is open, and one where nothing does any more refuses", async (t) => {
  const { server, address } = await listen();
  t.is(await probeConnection(address, patienceMs), "open");
  await new Promise((resolve) => server.close(resolve));
  t.is(await probeConnection(address, patienceMs), "refused");
});

test("an address that can't be reached shows nothing", async (t) => {
  t.is(await probeConnection("256.0.0.1:80", patienceMs), "nothing");
});
