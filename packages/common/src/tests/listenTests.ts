/** Tests that a server waits for its address if it is in use, but not for good. */
import * as net from "node:net";
import test from "ava";
import * as errors from "../errors/index.js";
import { listen } from "../utils/listen.js";

const host = "127.0.0.1";

/** Starts a server on a port that the system picks. */
async function holdPort(): Promise<{ holder: net.Server; port: number }> {
  const holder = net.createServer();
  await listen(holder, { host, port: 0 });
  return { holder, port: (holder.address() as net.AddressInfo).port };
}

// Guards against an instance that ends at its start because a connection holds one of its ports for a moment.
test("a server whose address is in use for a moment listens once it is free", async (t) => {
  const { holder, port } = await holdPort();
  const server = net.createServer();
  t.teardown(() => server.close());
  const inUse: string[] = [];
  let pauses = 0;
  const pause = async (): Promise<void> => {
    pauses += 1;
    if (pauses === 3) await new Promise((resolve) => holder.close(resolve));
  };
  await listen(server, { host, port }, { onInUse: (address) => inUse.push(address), pause });
  t.true(server.listening);
  t.deepEqual(inUse, [`${host}:${port}`]);
  for (const event of ["error", "listening"]) t.is(server.listenerCount(event), 0, event);
});

test("a server whose address stays in use fails with an error that names the address", async (t) => {
  const { holder, port } = await holdPort();
  t.teardown(() => holder.close());
  let pausedMs = 0;
  const pause = async (durationMs: number): Promise<void> => void (pausedMs += durationMs);
  const error = await t.throwsAsync(listen(net.createServer(), { host, port }, { pause }), {
    instanceOf: errors.NotListeningError,
  });
  t.true(error.message.includes(`${host}:${port}`), error.message);
  t.is(pausedMs, 10_000);
});

test("a server whose address does not exist fails at once", async (t) => {
  const pause = (): Promise<void> => Promise.reject(new Error("no pause is expected"));
  await t.throwsAsync(listen(net.createServer(), { host: "192.0.2.1", port: 0 }, { pause }), {
    instanceOf: errors.NotListeningError,
  });
});
