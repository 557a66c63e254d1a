/** Tests of silenced connections, which forward nothing without being reset, and of closed relays. */
import * as net from "node:net";
import test from "ava";
import { Relay } from "../network/Relay.js";

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
