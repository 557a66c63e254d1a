/** Guards against callers whose requests arrive in another way than whole, and that get no refusal or a wrong one. */
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import { ConnectionRefuser } from "../../requests/ConnectionRefuser.js";
import { TestCodec, undecodableId } from "./TestCodec.js";

/** Starts a server that refuses every connection; returns its port and the ids of the refused requests. */
async function listen(t: ExecutionContext): Promise<{ port: number; ids: (string | undefined)[] }> {
  const ids: (string | undefined)[] = [];
  const refuser = new ConnectionRefuser(new TestCodec(), (requestId) => void ids.push(requestId));
  const server = net.createServer({ allowHalfOpen: true }, (socket) => refuser.refuse(socket));
  t.teardown(() => void server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return { port: (server.address() as net.AddressInfo).port, ids };
}

/** Sends texts one after the other, and closes the sending side; returns what came back. */
async function send(port: number, texts: readonly string[]): Promise<string> {
  const caller = net.connect({ port, host: "127.0.0.1", noDelay: true, allowHalfOpen: true });
  let answer = "";
  caller.on("data", (part: Buffer) => (answer += part.toString()));
  const ended = new Promise((resolve) => caller.once("end", resolve));
  for (const text of texts) {
    await new Promise((resolve) => caller.write(text, resolve));
    await new Promise((resolve) => setImmediate(resolve));
  }
  caller.end();
  await ended;
  return answer;
}

test("a head that arrives in pieces is refused once, with its id", async (t) => {
  const { port, ids } = await listen(t);
  const answer = await send(port, ["GET / HTTP/1.1\r\nx-", "id: r1\r\nHost: notes.example\r\n\r", "\n"]);
  t.regex(
    answer,
    /^HTTP\/1\.1 503 Service Unavailable\r\nx-retry-after-ms: 20\r\n.*\r\n\r\n\{"error":"overloaded"\}$/s,
  );
  t.deepEqual(ids, ["r1"]);
});

test("a refusal of HEAD has no body", async (t) => {
  const { port } = await listen(t);
  const answer = await send(port, ["HEAD / HTTP/1.1\r\nx-id: r1\r\n\r\n"]);
  t.true(answer.startsWith("HTTP/1.1 503 ") && answer.endsWith("\r\n\r\n"), answer);
});

test("an incomplete request whose caller sends no more is refused", async (t) => {
  const { port, ids } = await listen(t);
  t.true((await send(port, ["GET / HTTP/1.1\r\nx-id: r1\r\nHo"])).startsWith("HTTP/1.1 503 "));
  t.deepEqual(ids, ["r1"]);
});

test("a connection without a request is closed, and counts as no refusal", async (t) => {
  const { port, ids } = await listen(t);
  t.is(await send(port, []), "");
  t.deepEqual(ids, []);
});

// Guards against an instance that ends since the headers of a refused request can't be decoded.
test("a request whose headers can't be decoded is refused, without an id", async (t) => {
  const { port, ids } = await listen(t);
  const answer = await send(port, [`GET / HTTP/1.1\r\nx-id: ${undecodableId}\r\n\r\n`]);
  t.true(answer.startsWith("HTTP/1.1 503 "), answer);
  t.deepEqual(ids, [undefined]);
});

// Guards against callers that send two requests in one piece and get a refusal of the first one only.
for (const [what, first] of Object.entries({
  "without a body": "GET /a HTTP/1.1\r\nx-id: r1\r\n\r\n",
  "with a body": "POST /a HTTP/1.1\r\nx-id: r1\r\nContent-Length: 4\r\n\r\nbody",
})) {
  test(`each of two requests that arrive in one piece is refused, the first one ${what}`, async (t) => {
    const { port, ids } = await listen(t);
    const answers = (await send(port, [`${first}GET /b HTTP/1.1\r\nx-id: r2\r\n\r\n`])).split("HTTP/1.1 ");
    t.is(answers.length, 3);
    t.true(answers.slice(1).every((answer) => answer.startsWith("503 ")));
    t.deepEqual(
      answers.slice(1).map((answer) => answer.includes("Connection: close")),
      [false, true],
    );
    t.deepEqual(ids, ["r1", "r2"]);
  });
}

test("a body that has not arrived whole hides no further request", async (t) => {
  const { port, ids } = await listen(t);
  const request = "POST /a HTTP/1.1\r\nx-id: r1\r\nContent-Length: 99\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
  t.is((await send(port, [request])).split("HTTP/1.1 ").length, 2);
  t.deepEqual(ids, ["r1"]);
});
