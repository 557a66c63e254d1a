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

/** Holds up this process, so that timers expire before anything that arrives meanwhile is read. */
function holdUp(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

// Guards against crashes that are not counted, since a probe ran out of time while its answer waited to be read.
test("a probe whose answer arrives while this process is held up reports the answer", async (t) => {
  const { server, address } = await listen();
  t.teardown(() => server.close());
  const open = probeConnection(address, 1);
  holdUp(50);
  t.is(await open, "open");
  await new Promise((resolve) => server.close(resolve));
  const refused = probeConnection(address, 1);
  holdUp(50);
  t.is(await refused, "refused");
});
