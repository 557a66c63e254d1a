/** Connections of callers on which requests are in progress, over real sockets. */
import type * as http from "node:http";
import * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { HttpListener } from "../../http/HttpListener.js";
import { sendJson } from "../../http/apiErrors.js";

const generousMs = 30_000;
const limits = {
  headerSizeBytes: 16_384,
  bodySizeBytes: 1_000,
  headerTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  connections: 100,
};

/** A listener whose requests are answered only once the test releases them, and a caller that writes bytes itself. */
class ListenerCase {
  readonly held = new Map<string, http.ServerResponse>();
  readonly abandoned: string[] = [];
  received = "";
  isEnded = false;
  readonly socket: net.Socket;

  private constructor(readonly listener: HttpListener) {
    listener.get("/hold/:id", (request, response) => {
      const { id } = request.params as { id: string };
      response.once("close", () => {
        if (!response.writableFinished) this.abandoned.push(id);
      });
      this.held.set(id, response);
      return new Promise((resolve) => response.once("close", resolve));
    });
    this.socket = net.connect({ port: listener.port, host: "127.0.0.1", allowHalfOpen: true });
    this.socket.on("data", (bytes: Buffer) => (this.received += bytes.toString()));
    this.socket.on("error", () => undefined);
    this.socket.on("end", () => (this.isEnded = true));
    this.socket.on("close", () => (this.isEnded = true));
  }

  static async start(t: ExecutionContext): Promise<ListenerCase> {
    const structure = { name: "test", address: "127.0.0.1:0", limits, onFault: () => undefined };
    const listener = new HttpListener(structure);
    await listener.listen();
    const started = new ListenerCase(listener);
    t.teardown(() => {
      started.socket.destroy();
      listener.destroy();
    });
    return started;
  }

  get statuses(): number[] {
    const statuses = [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
    return statuses.filter((status) => status >= 200);
  }

  send(...ids: readonly string[]): void {
    for (const id of ids) this.socket.write(`GET /hold/${id} HTTP/1.1\r\nhost: notes.example\r\n\r\n`);
  }

  async waitFor(...ids: readonly string[]): Promise<void> {
    await utils.waitUntil(() => ids.every((id) => this.held.has(id)), generousMs);
  }

  release(id: string): void {
    const response = this.held.get(id);
    if (response === undefined) throw new Error(`No request ${id} has arrived.`);
    sendJson(response, 200, { id });
  }

  async waitForAnswers(count: number): Promise<void> {
    await utils.waitUntil(() => this.statuses.length >= count || this.isEnded, generousMs);
  }

  async waitForEnd(): Promise<void> {
    await utils.waitUntil(() => this.isEnded, generousMs);
  }
}

// Guards against a refusal in the place of the answer to a request that runs.
test("bytes that are no request are refused after the answer to the request in front of them", async (t) => {
  const started = await ListenerCase.start(t);
  started.send("r1");
  started.socket.write("this is no request\r\n\r\n");
  await started.waitFor("r1");
  started.release("r1");
  await started.waitForEnd();
  t.deepEqual(started.statuses, [200, 400]);
});

// Guards against taking a caller that has ended only its sending half for one that has left.
test("a caller that ends its sending half after its request gets the answer", async (t) => {
  const started = await ListenerCase.start(t);
  started.send("r1");
  started.socket.end();
  await started.waitFor("r1");
  await utils.waitUntil(() => started.received !== "" || started.isEnded, generousMs);
  started.release("r1");
  await started.waitForEnd();
  t.deepEqual(started.statuses, [200]);
});

// Guards against requests that run on because their answers wait behind another one on a connection that is gone.
test("all requests of a connection end when their caller leaves", async (t) => {
  const started = await ListenerCase.start(t);
  started.send("r1", "r2");
  await started.waitFor("r1", "r2");
  started.socket.destroy();
  t.true(await utils.waitUntil(() => started.abandoned.length === 2, generousMs));
});

// Guards against the close of an idle connection whose next request has arrived but has not been read.
test("a request that has arrived unread at an idle connection is answered when the listener stops", async (t) => {
  const started = await ListenerCase.start(t);
  started.send("r1");
  await started.waitFor("r1");
  started.release("r1");
  await started.waitForAnswers(1);
  // The kernel gets the bytes within this call.
  started.send("r2");
  const stopped = started.listener.stopAccepting();
  await started.waitFor("r2");
  started.release("r2");
  await stopped;
  await started.waitForAnswers(2);
  t.deepEqual(started.statuses, [200, 200]);
});

// Guards against requests that are handled although their callers had left before the process read them.
test("a request whose caller's end has arrived when it is read is not handled", async (t) => {
  const { listener, held } = await ListenerCase.start(t);
  listener.get("/later", (_request, response) => sendJson(response, 200, {}));
  const left = net.connect(listener.port, "127.0.0.1");
  await new Promise((resolve) => left.once("connect", resolve));
  // Both reach the kernel before the listener reads either.
  left.write("GET /hold/r1 HTTP/1.1\r\nhost: notes.example\r\n\r\n");
  left.destroy();
  const answer = await fetch(`http://127.0.0.1:${listener.port}/later`);
  t.is(answer.status, 200);
  t.false(held.has("r1"));
});
