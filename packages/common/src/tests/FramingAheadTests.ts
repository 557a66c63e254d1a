/** Bytes of an answer's framing that are written before they are due, as a caller reads them. */
import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import { FramingAhead } from "../connections/FramingAhead.js";
import { Deferred } from "../utils/Deferred.js";

/** Serves one connection with a handler; resolves with all bytes that its caller receives. */
async function receive(handler: http.RequestListener, requests: string): Promise<string> {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const caller = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
  let received = "";
  caller.on("data", (bytes: Buffer) => (received += bytes.toString("latin1")));
  caller.write(requests);
  const ended = new Deferred<void>();
  caller.once("end", () => ended.resolve());
  await ended.promise;
  server.close();
  return received;
}

function getBody(received: string): string {
  return received.slice(received.indexOf("\r\n\r\n") + "\r\n\r\n".length);
}

const lastRequest = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

// Guards against chunk sizes that some readers refuse.
test("the sizes of chunks get a bounded number of zeros each, the last one included", async (t) => {
  const received = await receive((_request, response) => {
    const framing = new FramingAhead(response.socket as net.Socket);
    const writeMany = (): void => {
      for (let count = 0; count < 20; count++) framing.write(response);
    };
    response.writeHead(200);
    writeMany();
    response.write("hello");
    writeMany();
    response.write("world");
    writeMany();
    response.end();
    writeMany();
  }, lastRequest);
  const zeros = "0".repeat(8);
  t.is(getBody(received), `${zeros}5\r\nhello\r\n${zeros}5\r\nworld\r\n${zeros}0\r\n\r\n`);
});

// Guards against bytes in the answer that is being written that belong to one behind it.
test("nothing is written for an answer that waits behind another one", async (t) => {
  const second = new Deferred<void>();
  const received = await receive((request, response) => {
    const framing = new FramingAhead(request.socket);
    response.writeHead(200);
    framing.write(response);
    const isFirst = request.url === "/first";
    response.write(isFirst ? "1" : "2");
    if (isFirst) return void second.promise.then(() => response.end());
    response.end();
    second.resolve();
  }, `GET /first HTTP/1.1\r\nhost: x\r\n\r\n${lastRequest}`);
  const [, firstAnswer = "", secondAnswer = ""] = received.split("HTTP/1.1 200 OK");
  t.is(getBody(firstAnswer), "01\r\n1\r\n0\r\n\r\n");
  t.is(getBody(secondAnswer), "1\r\n2\r\n0\r\n\r\n");
});

test("nothing is written into a body without chunks", async (t) => {
  const received = await receive((_request, response) => {
    const framing = new FramingAhead(response.socket as net.Socket);
    response.writeHead(200, { "Content-Length": "2" });
    framing.write(response);
    response.write("o");
    framing.write(response);
    response.end("k");
  }, lastRequest);
  t.is(getBody(received), "ok");
});

// Guards against a status line that is written twice, or in part.
test("the beginning of the status line is written once, ahead of the head", async (t) => {
  const received = await receive((_request, response) => {
    const framing = new FramingAhead(response.socket as net.Socket);
    for (let count = 0; count < 12; count++) framing.write(response);
    response.writeHead(404, { "Content-Length": "2" });
    response.end("no");
  }, lastRequest);
  t.regex(received, /^HTTP\/1\.1 404 Not Found\r\nContent-Length: 2\r\n/);
  t.is(getBody(received), "no");
});
