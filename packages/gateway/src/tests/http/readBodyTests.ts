/** Time limits on the reading of a body: one for the whole body, and one for the time between its chunks. */
import * as stream from "node:stream";
import { mock } from "node:test";
import type * as http from "node:http";
import test from "ava";
import { errors, utils } from "@shedtiller/common";
import type { HttpAnswer } from "../../http/HttpCall.js";
import { readBody } from "../../http/readBody.js";

const maxBytes = 1_024;
const timeoutMs = 10_000;
const stallMs = 1_500;
const chunkIntervalMs = 1_000;

/** An answer whose chunks are sent by the test. */
class ScriptedAnswer implements HttpAnswer {
  readonly status = 200;
  readonly headers: readonly string[] = [];
  readonly message = Object.assign(new stream.PassThrough(), {
    complete: true,
  }) as unknown as http.IncomingMessage & stream.PassThrough;
  isAborted = false;

  constructor(readonly signal?: AbortSignal) {}

  isWhole(): Promise<boolean> {
    return Promise.resolve(true);
  }

  abort(): void {
    this.isAborted = true;
  }

  /** Sends a chunk; resolves once it has been read. */
  async send(chunk: string): Promise<void> {
    this.message.write(chunk);
    await utils.yieldToEvents();
  }
}

test.before(() => mock.timers.enable({ apis: ["setTimeout"] }));
test.after(() => mock.timers.reset());

test.serial("a body is read completely although it takes longer than the stall timeout", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  for (const chunk of ["a", "b", "c", "d"]) {
    mock.timers.tick(chunkIntervalMs);
    await answer.send(chunk);
  }
  answer.message.end();
  const body = await read;
  t.is(body.ok ? body.val.toString() : body.val.message, "abcd");
});

test.serial("a body that stalls aborts its call", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  await answer.send("a");
  mock.timers.tick(stallMs);
  const body = await read;
  t.true(body.err && body.val instanceof errors.DeadlineError);
  t.true(answer.isAborted);
});

test.serial("an endless body is aborted at the timeout of the whole body", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  for (let passedMs = 0; passedMs < timeoutMs; passedMs += chunkIntervalMs) {
    await answer.send("a");
    mock.timers.tick(chunkIntervalMs);
  }
  const body = await read;
  t.true(body.err && body.val instanceof errors.DeadlineError);
});

for (const when of ["before", "during"] as const) {
  test.serial(
    `a body whose call is cancelled ${when} its reading ends as cancelled, not as lost`,
    async (t) => {
      const abort = new AbortController();
      const answer = new ScriptedAnswer(abort.signal);
      if (when === "before") abort.abort();
      const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
      await answer.send("a");
      abort.abort();
      const body = await read;
      t.true(body.err && body.val instanceof errors.CancelledError);
      t.true(answer.isAborted);
    },
  );
}
