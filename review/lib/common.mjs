/** Helpers that the cases share: record, ports, waits. */
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { performance } from "node:perf_hooks";

export const host = "127.0.0.1";

/** Exit codes of a case. */
export const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption is played; `TROUBLE=0` leaves it out. */
export const isTroubled = process.env.TROUBLE !== "0";

export const nowMs = () => performance.now();

export const sleep = (durationMs) => new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)));

/** Polls a condition until it holds; throws after the timeout. */
export async function waitUntil(what, condition, timeoutMs) {
  const endMs = nowMs() + timeoutMs;
  while (!(await condition())) {
    if (nowMs() >= endMs) throw new Error(`timed out: ${what}`);
    await sleep(20);
  }
}

/** Returns a free port of the loopback address. */
export async function getFreePort() {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Creates a temporary folder, which is removed at the end of the case. */
export function createFolder(addCleanup) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "shedtiller-review-"));
  addCleanup(() => fs.rmSync(folder, { recursive: true, force: true }));
  return folder;
}

/** Writes what was sent, answered and run, one line each, with the seconds since the start of the case. */
export class CaseRecord {
  constructor(file) {
    this._file = file;
    this._startedAtMs = nowMs();
    fs.writeFileSync(file, "");
  }

  add(text) {
    const seconds = ((nowMs() - this._startedAtMs) / 1000).toFixed(3).padStart(8);
    fs.appendFileSync(this._file, `${seconds} ${text}\n`);
  }
}

/**
 * Runs a case, ends everything that it started, and exits with the code of its result.
 * @param play - Returns whether the rule held.
 */
export async function runCase(folder, limitMs, play) {
  const record = new CaseRecord(path.join(folder, "record.txt"));
  const cleanups = [];
  const finish = async (code, text) => {
    record.add(text);
    process.stdout.write(`${text}\n`);
    for (const cleanup of cleanups.reverse()) await cleanup();
    process.exit(code);
  };
  setTimeout(() => void finish(exitCodes.notRun, "the case took too long"), limitMs).unref();
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"])
    process.once(signal, () => void finish(exitCodes.notRun, `the case was ended by ${signal}`));
  process.once(
    "uncaughtException",
    (error) => void finish(exitCodes.notRun, `the case broke off: ${error.stack}`),
  );
  try {
    const { isHeld, text } = await play(record, (cleanup) => cleanups.push(cleanup));
    await finish(isHeld ? exitCodes.held : exitCodes.broken, text);
  } catch (error) {
    await finish(exitCodes.notRun, `the case could not run: ${error.stack}`);
  }
}
