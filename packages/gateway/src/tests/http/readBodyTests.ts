/** A body that goes on coming is read, however long it takes within its whole time; one that stalls is not waited for. */
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
const partIntervalMs = 1_000;

/** An answer whose parts come when the test says so. */
class ScriptedAnswer implements HttpAnswer {
  readonly status = 200;
  readonly headers: readonly string[] = [];
  readonly message = Object.assign(new stream.PassThrough(), {
    complete: true,
  }) as unknown as http.IncomingMessage & stream.PassThrough;
  isAborted = false;

  isWhole(): Promise<boolean> {
    return Promise.resolve(true);
  }

  abort(): void {
    this.isAborted = true;
  }

  /** A part comes; it has been read once this resolves. */
  async send(part: string): Promise<void> {
    this.message.write(part);
    await utils.yieldToEvents();
  }
}

test.before(() => mock.timers.enable({ apis: ["setTimeout"] }));
test.after(() => mock.timers.reset());

test.serial("a body that takes longer than a stall may is read whole", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  for (const part of ["a", "b", "c", "d"]) {
    mock.timers.tick(partIntervalMs);
    await answer.send(part);
  }
  answer.message.end();
  const body = await read;
  t.is(body.ok ? body.val.toString() : body.val.message, "abcd");
});

test.serial("a body that stalls is given up, and its call with it", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  await answer.send("a");
  mock.timers.tick(stallMs);
  const body = await read;
  t.true(body.err && body.val instanceof errors.DeadlineError);
  t.true(answer.isAborted);
});

test.serial("a body that goes on for ever ends with its whole time", async (t) => {
  const answer = new ScriptedAnswer();
  const read = readBody(answer, "store", maxBytes, timeoutMs, stallMs);
  for (let passedMs = 0; passedMs < timeoutMs; passedMs += partIntervalMs) {
    await answer.send("a");
    mock.timers.tick(partIntervalMs);
  }
  const body = await read;
  t.true(body.err && body.val instanceof errors.DeadlineError);
});
