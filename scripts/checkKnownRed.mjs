// Checks whether a failed test run failed only because of tests that KNOWN-RED.txt lists, and prints the failed tests.
// Usage: node scripts/checkKnownRed.mjs LOG KNOWN_RED. The exit code is 0 if all failures are listed, and 1 otherwise.
import * as fs from "node:fs";

const [logFile, listFile] = process.argv.slice(2);
/** The titles of passed tests are left out, since a title may resemble a message of ava. */
const lines = fs
  .readFileSync(logFile, "utf8")
  .split("\n")
  .filter((line) => !/^\s*✔/.test(line));
const entries = fs.existsSync(listFile) ? fs.readFileSync(listFile, "utf8").split("\n") : [];
const knownTitles = new Set(
  entries.filter((line) => line.includes("|")).map((line) => line.split("|")[0].trim()),
);

/** Matches the messages of ava about other failures than failed tests: crashes, timeouts, and files without tests. */
const otherFailurePattern =
  /uncaught exception|unhandled rejection|timed out|remained pending|were pending|exited due|No tests found/i;
const failureLines = lines.filter((line) => line.includes("✘"));
const failedTitles = failureLines.flatMap((line) => {
  const title = /✘ \[fail\]: (.*)$/.exec(line)?.[1];
  return title === undefined ? [] : [title.split(" › ").at(-1).trim()];
});
/** Returns whether a failed test is listed. ava appends the message of the failed assertion to the title. */
const isKnown = (title) => [...knownTitles].some((name) => title === name || title.startsWith(`${name} `));
const failedCount = Number(/(\d+) tests? failed/.exec(lines.join("\n"))?.[1] ?? 0);
const hasOnlyKnownFailures =
  failedTitles.length > 0 &&
  failedTitles.length === failureLines.length &&
  failedTitles.length === failedCount &&
  failedTitles.every(isKnown) &&
  !lines.some((line) => otherFailurePattern.test(line));
for (const title of failedTitles) console.log(`${isKnown(title) ? "known red" : "FAILED"}: ${title}`);
process.exit(hasOnlyKnownFailures ? 0 : 1);
