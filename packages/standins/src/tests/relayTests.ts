/** Tests of silenced connections, which forward nothing without being reset, and of closed relays. */
import * as net from "node:net";
import test from "ava";
import { Relay } from "../network/Relay.js";

/** Start of the range of ports that Linux uses for outgoing connections. */
const firstOutgoingPort = 32_768;

function connect(port: number): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1", () => resolve(socket));
    socket.once("error", reject);
  });
}

function readOnce(socket: net.Socket): Promise<string> {
  return new Promise((resolve) => socket.once("data", (chunk) => resolve(chunk.toString())));
}

test("a silenced connection forwards nothing, and a new connection is forwarded", async (t) => {
  const echo = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => echo.listen(0, "127.0.0.1", resolve));
  const relay = new Relay((echo.address() as net.AddressInfo).port, () => ({ isCut: false, delayMs: 0 }));
  const port = await relay.start();
  const old = await connect(port);
  old.write("a");
  t.is(await readOnce(old), "a");
  relay.silenceConnections();
  let received = "";
  old.on("data", (chunk) => (received += chunk.toString()));
  old.write("b");
  const fresh = await connect(port);
  for (const letter of ["c", "d"]) {
    fresh.write(letter);
    t.is(await readOnce(fresh), letter);
  }
  t.is(received, "");
  t.false(old.destroyed);
  old.destroy();
  relay.refuseConnections();
  echo.close();
});

// Guards against a link that is restored after its target was closed: the listening relay kept the process of a soak test from exiting.
test("a closed relay accepts no connections after acceptConnections", async (t) => {
  const relay = new Relay(1, () => ({ isCut: false, delayMs: 0 }));
  const port = await relay.start();
  relay.refuseConnections();
  relay.close();
  await relay.acceptConnections();
  await t.throwsAsync(connect(port), { code: "ECONNREFUSED" });
});

// Guards against a port that another connection or another stand-in has taken when the relay comes back to it.
test("the port of a relay that refuses connections stays reserved until the relay is closed", async (t) => {
  const relay = new Relay(1, () => ({ isCut: false, delayMs: 0 }));
  t.teardown(() => relay.close());
  const port = await relay.start();
  t.true(port < firstOutgoingPort);
  relay.refuseConnections();
  const other = net.createServer();
  t.teardown(() => other.close());
  const listen = (): Promise<unknown> =>
    new Promise((resolve, reject) => other.once("error", reject).listen(port, "127.0.0.2", () => resolve(0)));
  await t.throwsAsync(listen(), { code: "EADDRINUSE" });
  await relay.acceptConnections();
  (await connect(port)).destroy();
  relay.close();
  await t.notThrowsAsync(listen());
});
