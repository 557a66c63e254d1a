/** Replays the requests, calls and faults of a trace against a fleet at their recorded times. */
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, sendServiceCall, type CallerReport } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import { getLayerCount } from "../fleet/seedConfiguration.js";
import { applyFault } from "./applyFault.js";
import type { CallLine, RequestLine, Trace } from "./traceSchema.js";

/** Observations of one replay. */
export interface TraceRecord {
  readonly trace: Trace;
  readonly fleet: Fleet;
  readonly reports: ReadonlyMap<string, CallerReport>;
  /** Idempotency key that was generated for each key of the trace. */
  readonly keys: ReadonlyMap<string, string>;
}

const seed = 20_261_202;
/** Time for work that the fleet completes after the last answer. */
const settleMs = 300;

/** Replays one trace. The fleet keeps running for the check; the calling code closes it. */
export async function runTrace(trace: Trace): Promise<TraceRecord> {
  const fleet = new Fleet(trace.setup, { hasRelays: true, isSilent: true, seed });
  await fleet.start();
  const reports = new Map<string, CallerReport>();
  const keys = new Map<string, string>();
  // Addresses are resolved before the replay starts, because the address of a killed instance can't be resolved any more.
  const addresses = new Map<string, string>();
  for (const { name } of trace.setup.instances) addresses.set(name, await fleet.getCallerAddress(name));
  const startMs = utils.monotonicMs();
  const runAt = async (atMs: number, action: () => Promise<void> | void): Promise<void> => {
    await utils.sleep(Math.max(0, startMs + atMs - utils.monotonicMs()));
    await action();
  };
  const send = async (line: RequestLine | CallLine): Promise<void> => {
    reports.set(line.id, await sendLine(fleet, line, addresses.get(line.instance) ?? "", keys));
  };
  await Promise.all([
    ...[...trace.requests, ...trace.calls].map((line) => runAt(line.atMs, () => send(line))),
    ...trace.faults.map((fault) => runAt(fault.atMs, () => applyFault(fleet, fault))),
  ]);
  await Promise.all(fleet.drains.values());
  await utils.sleep(settleMs);
  return { trace, fleet, reports, keys };
}

function sendLine(
  fleet: Fleet,
  line: RequestLine | CallLine,
  address: string,
  keys: Map<string, string>,
): Promise<CallerReport> {
  const key = fleet.accountKeys.get(line.clientAccount) ?? "";
  const idempotencyKey = line.key === undefined ? undefined : getIdempotencyKey(keys, line.key);
  if (line.kind === "call") {
    return sendServiceCall({ address, key, service: line.service, idempotencyKey, body: { entry: line.id } });
  }
  const headers: Record<string, string> =
    idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey, "shedtiller-repeatable": "no" };
  return sendModelRequest({
    address,
    key,
    model: line.model,
    layerCount: getLayerCount(fleet.structure, line.model),
    prompt: createPrompt(line.key ?? line.id, line.promptTokens),
    outputTokens: line.outputTokens,
    headers,
  });
}

/** Returns the time-stamped idempotency key for a key of the trace, generated at its first use. */
function getIdempotencyKey(keys: Map<string, string>, traceKey: string): string {
  const existing = keys.get(traceKey);
  if (existing !== undefined) return existing;
  const key = utils.newId();
  keys.set(traceKey, key);
  return key;
}
