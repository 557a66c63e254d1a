/**
 * TCP relay in a process of its own. While the process is stopped by a signal, its connections deliver nothing and keep what was sent, and
 * new connections hang as soon as the short accept queues of its ports are full. So a stopped relay behaves like a silent cut of the links.
 */
import * as net from "node:net";

const backlog = 1;
/** Both sides of the open connections. */
const pairs = new Set();

/** Listens at a free port and forwards each connection to `target` once its first bytes have arrived. */
function listen(target) {
  const [host, port] = target.split(":");
  const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    client.on("error", () => undefined);
    client.once("data", (first) => {
      client.pause();
      const upstream = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
      upstream.on("error", () => client.resetAndDestroy());
      client.on("error", () => upstream.resetAndDestroy());
      const pair = [client, upstream];
      pairs.add(pair);
      client.once("close", () => pairs.delete(pair));
      upstream.write(first);
      upstream.pipe(client);
      client.pipe(upstream);
    });
  });
  return new Promise((resolve) => {
    server.listen({ host: "127.0.0.1", port: 0, backlog }, () => resolve(server.address().port));
  });
}

/** Open connections deliver nothing from now on, and are not closed; new ones work. */
function silence() {
  for (const [client, upstream] of pairs) {
    client.unpipe(upstream);
    upstream.unpipe(client);
    for (const socket of [client, upstream]) socket.on("data", () => undefined);
  }
  pairs.clear();
}

process.on("message", async ({ id, target }) => {
  if (target === undefined) return silence();
  process.send({ id, port: await listen(target) });
});
process.on("disconnect", () => process.exit(0));
