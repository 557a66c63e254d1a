/** Selection of the log lines that explain a request: its own, and those of events that may have caused its outcome. */
import { getWallMs, type LogLine } from "./logLine.js";

/** Time before a request in which an event counts as a possible cause, since suspicions, drains and stops last for seconds. */
const causeWindowMs = 8_000;

/** Messages about events that affect all requests of an instance. */
const instanceMessages = [
  /^configuration-/,
  /-store-(lost|regained)$/,
  /^instance-/,
  /^drain-began$/,
  /^settings-/,
  /^zone-duty-changed$/,
];
/** Messages about events that change the capacity for requests. */
const capacityMessages = [
  /^layers-ordered$/,
  /^endpoint-(gone|draining|suspected)$/,
  /^endpoint-limit-/,
  /^leader-/,
  /^pressure-/,
];
/** Outcomes and reasons of requests that lacked capacity. */
const capacityReasons: readonly unknown[] = [
  "no-room",
  "less-urgent",
  "account-share",
  "limited",
  "resting",
  "not-run",
];

/** Returns the lines that explain a request, the earliest first; empty if no line names the request. */
export function explainRequest(requestId: string, lines: readonly LogLine[]): LogLine[] {
  const own = lines.filter((line) => line.requestId === requestId);
  if (own.length === 0) return [];
  const fromMs = Math.min(...own.map(getStartMs)) - causeWindowMs;
  const toMs = Math.max(...own.map(getWallMs));
  const instances = new Set(own.map((line) => line.instance));
  const endpoints = new Set(own.flatMap(getEndpoints));
  const lackedCapacity = own.some((line) => capacityReasons.includes(line["reason"] ?? line["outcome"]));
  const traits = new Set(own.flatMap(getTraits));
  const tunnelIds = new Set(own.flatMap(({ tunnelId }) => (tunnelId === undefined ? [] : [tunnelId])));
  const isCause = (line: LogLine): boolean => {
    if (line.requestId !== undefined) return false;
    // The peer that forwarded the request knows only the tunnel, which ends later than the request if it was kept for others.
    if (line["tunnelId"] !== undefined) return tunnelIds.has(line["tunnelId"]);
    // Crashes count against the traits of requests for minutes and at all instances, so earlier lines of any instance are causes.
    if (getTraits(line).some((trait) => traits.has(trait))) return getWallMs(line) <= toMs;
    const wallMs = getWallMs(line);
    if (wallMs < fromMs || wallMs > toMs) return false;
    if (getEndpoints(line).some((endpoint) => endpoints.has(endpoint))) return true;
    if (!instances.has(line.instance)) return false;
    return matches(line, instanceMessages) || (lackedCapacity && matches(line, capacityMessages));
  };
  const explanation = lines.filter((line) => line.requestId === requestId || isCause(line));
  return explanation.sort((a, b) => getWallMs(a) - getWallMs(b));
}

/** Returns the start time of a request according to one of its lines; only the line that ends the request has its duration. */
function getStartMs(line: LogLine): number {
  const { tookMs } = line;
  return getWallMs(line) - (typeof tookMs === "number" ? tookMs : 0);
}

/** Returns the ids and addresses of the endpoints in a line; chains have entries of the form `address=from-to`. */
function getEndpoints(line: LogLine): string[] {
  const { endpointId, address, chain, cause, faultyAddress } = line;
  const inChain = Array.isArray(chain) ? chain.map((stage) => String(stage).split("=")[0] ?? "") : [];
  const inCause = typeof cause === "string" ? (cause.match(/\d+\.\d+\.\d+\.\d+:\d+/g) ?? []) : [];
  const named = [endpointId, address, faultyAddress].filter((name) => typeof name === "string");
  return [...named, ...inChain, ...inCause];
}

/** Returns the traits that a line names: the digest of its request, quarantined parts of its prompt, or the suspects of a crash. */
function getTraits({ digest, trait, traits, suspects }: LogLine): string[] {
  const named = [digest, trait, ...toArray(traits), ...toArray(suspects)];
  return named.flatMap((text) => (typeof text === "string" ? (text.split(" ")[0] ?? []) : []));
}

function toArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function matches(line: LogLine, patterns: readonly RegExp[]): boolean {
  return patterns.some((pattern) => pattern.test(line.message));
}

/** Formats a line as text: time, instance, message and fields. */
export function formatExplained({ timestamp, instance, message, level: _level, ...fields }: LogLine): string {
  const fieldTexts = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${timestamp}  ${instance}  ${message}  ${fieldTexts.join(" ")}`.trimEnd();
}

/** Formats a value as text; the inputs of a decision are an object, whose fields are listed by name. */
function formatValue(value: unknown): string {
  if (typeof value === "string") return value;
  if (typeof value !== "object" || value === null || Array.isArray(value)) return JSON.stringify(value);
  const fields = Object.entries(value).map(([name, field]) => `${name}=${formatValue(field)}`);
  return `(${fields.join(", ")})`;
}
