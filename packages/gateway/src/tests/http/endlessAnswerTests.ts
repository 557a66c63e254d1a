/** Calls whose servers go on to send bytes that are no answer, or an answer without an end, until the connection is closed. */
import * as net from "node:net";
import test from "ava";
import { utils } from "@shedtiller/common";
import { AnswerMemory } from "../../http/AnswerMemory.js";
import { HttpClient } from "../../http/HttpClient.js";

const generousMs = 60_000;
const maxBytes = 1024 * 1024;
const piece = Buffer.alloc(16 * 1024, "a");
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Listens on a free port; sends `start` and then `part` over and over to each caller, until the caller closes the connection. */
async function listen(
  start: string,
  part: Buffer,
): Promise<{ server: net.Server; address: string; closed: Promise<void> }> {
  const closed = new utils.Deferred<void>();
  const server = net.createServer((socket) => {
    const send = (): void => {
      while (!socket.destroyed && socket.write(part));
    };
    socket.on("error", () => undefined);
    socket.on("close", () => closed.resolve());
    socket.on("drain", send);
    socket.once("data", () => {
      socket.write(start);
      send();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  return { server, address: `127.0.0.1:${port}`, closed: closed.promise };
}

const cases = {
  "a header": { start: "HTTP/1.1 200 OK\r\nX: ", part: piece, code: "connection_lost" },
  "a status line": { start: "HTTP/1.1 200 ", part: piece, code: "connection_lost" },
  "empty lines": { start: "", part: Buffer.from("\r\n".repeat(8_000)), code: "answer_endless" },
  "interim answers": {
    start: "",
    part: Buffer.from("HTTP/1.1 102 Processing\r\n\r\n".repeat(600)),
    code: "answer_endless",
  },
  "an extension of a chunk": { start: `${chunkedHead}5;`, part: piece, code: "connection_lost" },
  "extensions of short chunks": {
    start: chunkedHead,
    part: Buffer.from(`1;${"e".repeat(1_000)}\r\na\r\n`.repeat(16)),
    code: "answer_endless",
  },
  "a trailer": { start: `${chunkedHead}1\r\na\r\n0\r\nX: `, part: piece, code: "connection_lost" },
  trailers: {
    start: `${chunkedHead}1\r\na\r\n0\r\n`,
    part: Buffer.from("X: y\r\n".repeat(2_000)),
    code: "connection_lost",
  },
  "a body without a length": { start: "HTTP/1.1 200 OK\r\n\r\n", part: piece, code: "answer_too_large" },
  "a body in chunks": {
    start: chunkedHead,
    part: Buffer.from(`4000\r\n${piece.toString()}\r\n`),
    code: "answer_too_large",
  },
  "a body in chunks of one byte": {
    start: chunkedHead,
    part: Buffer.from("1\r\na\r\n".repeat(2_000)),
    code: "answer_too_large",
  },
};

for (const [what, { start, part, code }] of Object.entries(cases)) {
  // Guards against a call that reads on until its deadline, or into all memory, while its server sends bytes without an end.
  test(`a call ends well before its deadline, and closes its connection, if its server sends ${what} without an end`, async (t) => {
    const { server, address, closed } = await listen(start, part);
    const client = new HttpClient();
    const call = {
      address,
      method: "GET",
      path: "/",
      headers: ["Host", address],
      connectTimeoutMs: generousMs,
      headTimeoutMs: generousMs,
    };
    const answer = await client.fetch(call, maxBytes, generousMs);
    t.is(answer.err && answer.val.code, code);
    await closed;
    t.is(client.memory.sizeBytes, 0);
    server.close();
  });
}

// Guards against answers that together take more memory than the instance has, each of them within its own limit.
test("beyond the memory for all answers the largest one is given up, and the others go on", (t) => {
  const memory = new AnswerMemory(100);
  const evicted: string[] = [];
  const open = (name: string, sizeBytes: number) => {
    const buffer = memory.open(() => evicted.push(name));
    buffer.resize(sizeBytes);
    return buffer;
  };
  const small = open("small", 10);
  open("large", 60);
  open("medium", 30);
  t.deepEqual(evicted, []);
  small.resize(11);
  t.deepEqual(evicted, ["large"]);
  t.is(memory.sizeBytes, 41);
  small.close();
  small.close();
  t.is(memory.sizeBytes, 30);
  // Bytes that arrive after the end of an answer are not counted.
  small.resize(50);
  t.is(memory.sizeBytes, 30);
  open("beyond the bound", 101);
  t.deepEqual(evicted, ["large", "beyond the bound"]);
});
