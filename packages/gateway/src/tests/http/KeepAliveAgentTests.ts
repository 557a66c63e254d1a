/** The time for which idle connections are kept for reuse. */
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import test from "ava";
import { KeepAliveAgent } from "../../http/KeepAliveAgent.js";

/** Makes one call to a server that answers with `headers`; returns the idle timeout of the connection afterwards. */
async function getIdleTimeoutMs(headers: http.OutgoingHttpHeaders): Promise<number | undefined> {
  const server = http.createServer({ keepAliveTimeout: 0 }, (_, response) => {
    response.writeHead(200, headers).end("answer");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const agent = new KeepAliveAgent();
  const freed = once(agent, "free");
  const { port } = server.address() as net.AddressInfo;
  const request = http.get({ host: "127.0.0.1", port, agent });
  const [message] = (await once(request, "response")) as [http.IncomingMessage];
  agent.noteAnswer(message.socket, message.headers);
  const { socket } = message;
  message.resume();
  await freed;
  const idleTimeoutMs = socket.timeout;
  agent.destroy();
  server.close();
  return idleTimeoutMs;
}

test("an idle connection is kept for the time that the server announces, less one second", async (t) => {
  t.is(await getIdleTimeoutMs({ Connection: "keep-alive", "Keep-Alive": "timeout=5" }), 4_000);
});

test("an idle connection is kept for eight seconds at most, whatever the server announces", async (t) => {
  t.is(await getIdleTimeoutMs({ Connection: "keep-alive", "Keep-Alive": "timeout=600" }), 8_000);
});

test("an idle connection is kept for less than a second if the server announces no time", async (t) => {
  t.is(await getIdleTimeoutMs({ Connection: "keep-alive" }), 900);
});
