/** How long a connection may rest before it is not used again. */
import { once } from "node:events";
import * as http from "node:http";
import type * as net from "node:net";
import test from "ava";
import { KeptAgent } from "../../http/KeptAgent.js";

/** Makes one call to a server that answers with `headers`; gives the rest that the connection has then. */
async function getRestMs(headers: http.OutgoingHttpHeaders): Promise<number | undefined> {
  const server = http.createServer({ keepAliveTimeout: 0 }, (_, response) => {
    response.writeHead(200, headers).end("answer");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const agent = new KeptAgent();
  const freed = once(agent, "free");
  const { port } = server.address() as net.AddressInfo;
  const request = http.get({ host: "127.0.0.1", port, agent });
  const [message] = (await once(request, "response")) as [http.IncomingMessage];
  agent.noteAnswer(message.socket, message.headers);
  const { socket } = message;
  message.resume();
  await freed;
  const restMs = socket.timeout;
  agent.destroy();
  server.close();
  return restMs;
}

test("a connection rests for as long as the other side said, less a second", async (t) => {
  t.is(await getRestMs({ Connection: "keep-alive", "Keep-Alive": "timeout=5" }), 4_000);
});

test("a connection rests for eight seconds at most, whatever the other side said", async (t) => {
  t.is(await getRestMs({ Connection: "keep-alive", "Keep-Alive": "timeout=600" }), 8_000);
});

test("without a word of the other side a connection rests for less than a second", async (t) => {
  t.is(await getRestMs({ Connection: "keep-alive" }), 900);
});
