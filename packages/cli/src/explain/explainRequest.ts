/** What became of a request and why: its own lines, and those before and during it that show what its instance believed. */
import { getWallMs, type LogLine } from "./logLine.js";

/** How long before a request a change may be its cause: a suspicion lasts for seconds, a drain and a stop as well. */
const causeWindowMs = 8_000;

/** Lines of the request's instance that act on all its requests. */
const instanceMessages = [
  /^configuration-/,
  /-store-(lost|regained)$/,
  /^instance-/,
  /^drain-began$/,
  /^settings-/,
  /^zone-duty-changed$/,
];
/** Lines of any instance that change the room for requests. */
const capacityMessages = [
  /^layers-ordered$/,
  /^endpoint-(gone|draining|suspected)$/,
  /^endpoint-limit-/,
  /^leader-/,
];
/** Outcomes and reasons that are about room. */
const capacityReasons: readonly unknown[] = ["no-room", "limited", "resting", "not-run"];

/** Gives the lines that explain a request, the earliest first; none where no line names it. */
export function explainRequest(requestId: string, lines: readonly LogLine[]): LogLine[] {
  const own = lines.filter((line) => line.requestId === requestId);
  if (own.length === 0) return [];
  const fromMs = Math.min(...own.map(getStartMs)) - causeWindowMs;
  const toMs = Math.max(...own.map(getWallMs));
  const instances = new Set(own.map((line) => line.instance));
  const endpoints = new Set(own.flatMap(getEndpoints));
  const isAboutRoom = own.some((line) => capacityReasons.includes(line["reason"] ?? line["outcome"]));
  const digests = new Set(
    own.flatMap((line) => (typeof line["digest"] === "string" ? [line["digest"]] : [])),
  );
  const isCause = (line: LogLine): boolean => {
    if (line.requestId !== undefined) return false;
    // Crashes count against equal requests for minutes, at all instances.
    if (typeof line["digest"] === "string" && digests.has(line["digest"])) return getWallMs(line) <= toMs;
    const wallMs = getWallMs(line);
    if (wallMs < fromMs || wallMs > toMs) return false;
    if (getEndpoints(line).some((endpoint) => endpoints.has(endpoint))) return true;
    if (!instances.has(line.instance)) return false;
    return matches(line, instanceMessages) || (isAboutRoom && matches(line, capacityMessages));
  };
  const explaining = lines.filter((line) => line.requestId === requestId || isCause(line));
  return explaining.sort((a, b) => getWallMs(a) - getWallMs(b));
}

/** When the request came, by its last line; another line may be the first that was written. */
function getStartMs(line: LogLine): number {
  const { tookMs } = line;
  return getWallMs(line) - (typeof tookMs === "number" ? tookMs : 0);
}

/** Ids and addresses of the endpoints that a line is about; a chain names each as `address=from-to`. */
function getEndpoints(line: LogLine): string[] {
  const { endpointId, address, chain, cause, faultyAddress } = line;
  const inChain = Array.isArray(chain) ? chain.map((stage) => String(stage).split("=")[0] ?? "") : [];
  const inCause = typeof cause === "string" ? (cause.match(/\d+\.\d+\.\d+\.\d+:\d+/g) ?? []) : [];
  const named = [endpointId, address, faultyAddress].filter((name) => typeof name === "string");
  return [...named, ...inChain, ...inCause];
}

function matches(line: LogLine, patterns: readonly RegExp[]): boolean {
  return patterns.some((pattern) => pattern.test(line.message));
}

/** One line for a person: time, instance, what happened, and its inputs. */
export function formatExplained({ timestamp, instance, message, level: _level, ...fields }: LogLine): string {
  const inputs = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${timestamp}  ${instance}  ${message}  ${inputs.join(" ")}`.trimEnd();
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
