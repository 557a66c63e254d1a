// Tells whether a failed run of the tests failed by nothing but the tests that KNOWN-RED.txt lists, and prints these.
// Usage: node scripts/checkKnownRed.mjs LOG KNOWN_RED; exit code 0 where it did.
import * as fs from "node:fs";

const [logFile, listFile] = process.argv.slice(2);
const lines = fs.readFileSync(logFile, "utf8").split("\n");
const listed = fs.existsSync(listFile) ? fs.readFileSync(listFile, "utf8").split("\n") : [];
const known = new Set(listed.filter((line) => line.includes("|")).map((line) => line.split("|")[0].trim()));

/** What ava prints besides failed assertions: crashes, timeouts, files without tests. */
const otherTrouble =
  /uncaught exception|unhandled rejection|timed out|remained pending|were pending|exited due|No tests found/i;
const crosses = lines.filter((line) => line.includes("✘"));
const failed = crosses.flatMap((line) => {
  const title = /✘ \[fail\]: (.*)$/.exec(line)?.[1];
  return title === undefined ? [] : [title.split(" › ").at(-1).trim()];
});
/** ava puts the failed assertion's own message behind the title. */
const isKnown = (title) => [...known].some((name) => title === name || title.startsWith(`${name} `));
const counted = Number(/(\d+) tests? failed/.exec(lines.join("\n"))?.[1] ?? 0);
const isPassed = (line) => /^\s*✔/.test(line);
const isOnlyKnown =
  failed.length > 0 &&
  failed.length === crosses.length &&
  failed.length === counted &&
  failed.every(isKnown) &&
  !lines.some((line) => !isPassed(line) && otherTrouble.test(line));
for (const title of failed) console.log(`${isKnown(title) ? "known red" : "FAILED"}: ${title}`);
process.exit(isOnlyKnown ? 0 : 1);
