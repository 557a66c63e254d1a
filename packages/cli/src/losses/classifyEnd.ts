/** Classification of how requests ended, and why some were not served in time. */
import type { LogLine } from "../explain/logLine.js";

/** Kinds of ends: served in time, late, refused or failed. Rows are printed in this order. */
export const endKinds = [
  "in time",
  "late: waited for room",
  "late: slow first event",
  "late: moved",
  "late: cut and resumed",
  "late: pause",
  "refused: no room",
  "refused: less urgent",
  "refused: account's share",
  "refused: limits of endpoints",
  "refused: endpoints asked for rest",
  "refused: engines refused",
  "refused: no endpoint in reach",
  "refused: instance stops",
  "refused: instance overloaded",
  "refused: keys not fresh",
  "refused: key or route unknown",
  "refused: crashes endpoints",
  "refused: other",
  "failed: cut and not resumed",
  "failed: out of time",
  "failed: caller left",
  "failed: endpoint's failure",
] as const;
export type EndKind = (typeof endKinds)[number];

const endsByRefusal: Readonly<Record<string, EndKind>> = {
  "no-room": "refused: no room",
  "less-urgent": "refused: less urgent",
  "account-share": "refused: account's share",
  limited: "refused: limits of endpoints",
  resting: "refused: endpoints asked for rest",
  "not-run": "refused: engines refused",
  "held-back": "refused: crashes endpoints",
  isolated: "refused: no endpoint in reach",
  stopping: "refused: instance stops",
  overloaded: "refused: instance overloaded",
  "stale-configuration": "refused: keys not fresh",
  "no-configuration": "refused: keys not fresh",
  "unknown-key": "refused: key or route unknown",
  "no-key": "refused: key or route unknown",
  "no-route": "refused: key or route unknown",
};
const endsByFailure: Readonly<Record<string, EndKind>> = {
  "outcome-unknown": "failed: cut and not resumed",
  "out-of-time": "failed: out of time",
  "caller-left": "failed: caller left",
  open: "failed: caller left",
};
const successPattern = /^status 2\d\d$/;
const statusPattern = /^status \d+$/;

/** Returns how a request ended, by the log line of its end; undefined for other lines. */
export function classifyEnd(line: LogLine): EndKind | undefined {
  if (line.message === "request-refused") return endsByRefusal[String(line["reason"])] ?? "refused: other";
  if (line.message !== "request-ended") return undefined;
  const outcome = String(line["outcome"]);
  if (outcome === "completed") return classifyStream(line);
  if (successPattern.test(outcome)) return "in time";
  if (statusPattern.test(outcome)) return "failed: endpoint's failure";
  return endsByRefusal[outcome] ?? endsByFailure[outcome] ?? "refused: other";
}

/** Returns whether a completed stream was in time, or the first reason that applies why it was late. */
function classifyStream(line: LogLine): EndKind {
  const attempts = Number(line["attempts"] ?? 1);
  if (line["isFirstEventLate"] === true) {
    const waitedMs = Number(line["queuedMs"] ?? 0);
    return waitedMs * 2 > Number(line["firstEventMs"] ?? 0)
      ? "late: waited for room"
      : "late: slow first event";
  }
  if (line["isPauseLate"] !== true) return "in time";
  if (attempts > 1) return "late: cut and resumed";
  return Number(line["moves"] ?? 0) > 0 ? "late: moved" : "late: pause";
}
