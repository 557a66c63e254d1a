/** Plays a trace against a fleet: requests, calls and faults at their times. */
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, sendServiceCall, type CallerReport } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import { getLayerCount } from "../fleet/seedConfiguration.js";
import { applyFault } from "./applyFault.js";
import type { CallLine, RequestLine, Trace } from "./traceSchema.js";

/** Everything that a replay saw. */
export interface TraceRecord {
  readonly trace: Trace;
  readonly fleet: Fleet;
  readonly reports: ReadonlyMap<string, CallerReport>;
  /** The idempotency key that was made for each key of the trace. */
  readonly keys: ReadonlyMap<string, string>;
}

const seed = 20_261_202;
/** Time for the fleet to finish what the last answers leave behind. */
const settleMs = 300;

/** Plays one trace. The fleet is left standing for the check; the caller closes it. */
export async function runTrace(trace: Trace): Promise<TraceRecord> {
  const fleet = new Fleet(trace.setup, { hasRelays: true, isSilent: true, seed });
  await fleet.start();
  const reports = new Map<string, CallerReport>();
  const keys = new Map<string, string>();
  // Addresses are looked up before the clock starts, so that they are known after an instance has died.
  const addresses = new Map<string, string>();
  for (const { name } of trace.setup.instances) addresses.set(name, await fleet.getCallerAddress(name));
  const startMs = utils.monotonicMs();
  const at = async (atMs: number, act: () => Promise<void> | void): Promise<void> => {
    await utils.sleep(Math.max(0, startMs + atMs - utils.monotonicMs()));
    await act();
  };
  const send = async (line: RequestLine | CallLine): Promise<void> => {
    reports.set(line.id, await sendLine(fleet, line, addresses.get(line.instance) ?? "", keys));
  };
  await Promise.all([
    ...[...trace.requests, ...trace.calls].map((line) => at(line.atMs, () => send(line))),
    ...trace.faults.map((fault) => at(fault.atMs, () => applyFault(fleet, fault))),
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
  const idempotencyKey = line.key === undefined ? undefined : getKey(keys, line.key);
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

/** One time-stamped idempotency key for each key of the trace, made when it is first used. */
function getKey(keys: Map<string, string>, traceKey: string): string {
  const known = keys.get(traceKey);
  if (known !== undefined) return known;
  const key = utils.newId();
  keys.set(traceKey, key);
  return key;
}
