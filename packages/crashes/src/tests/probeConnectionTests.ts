import * as net from "node:net";
import test from "ava";
import { probeConnection } from "../probeConnection.js";

const timeoutMs = 60_000;

async function listen(): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer((socket) => socket.on("error", () => undefined));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

test("an address is open while a process listens, and refuses connections afterwards", async (t) => {
  const { server, address } = await listen();
  t.is(await probeConnection(address, timeoutMs), "open");
  await new Promise((resolve) => server.close(resolve));
  t.is(await probeConnection(address, timeoutMs), "refused");
});

test("the probe of an unreachable address reports that there was no answer", async (t) => {
  t.is(await probeConnection("256.0.0.1:80", timeoutMs), "nothing");
});
