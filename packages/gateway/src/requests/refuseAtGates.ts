/** Decision of the admission gates on a stream that arrives. */
import type { GateQuery } from "../loadcontrol/AdmissionGate.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { ForwardContext } from "./RequestForwarder.js";

/**
 * Rejects the request if a gate does; returns whether it was rejected. A stream that has begun passes, since its caller would lose what the
 * engines have done.
 */
export function refuseAtGates(
  { controls, log }: Pick<ForwardContext, "controls" | "log">,
  request: CallerRequest,
  service: string,
): boolean {
  if (request.fields.lastEventId !== undefined) return false;
  for (const gate of controls.gates) {
    const refusal = gate.getRefusal(toGateQuery(request, service));
    if (refusal === undefined) continue;
    const { reason, retryAfterMs, inputs } = refusal;
    log.warn("stream-refused", { requestId: request.id, reason, retryAfterMs, ...inputs });
    request.refuse(503, reason, retryAfterMs);
    return true;
  }
  return false;
}

/** Returns whether a gate knows the request as one that comes back after a rejection. */
export function isReturn(
  { controls }: Pick<ForwardContext, "controls">,
  request: CallerRequest,
  service: string,
): boolean {
  return controls.gates.some((gate) => gate.isReturn(toGateQuery(request, service)));
}

/** Tells the gates that a later decision rejected the request. */
export function noteRefusedAfterGates(
  { controls }: Pick<ForwardContext, "controls">,
  request: CallerRequest,
  service: string,
  retryAfterMs: number,
): void {
  for (const gate of controls.gates) gate.noteRefused(toGateQuery(request, service), retryAfterMs);
}

/** Returns the properties of a request that decide on its admission. */
function toGateQuery(request: CallerRequest, service: string): GateQuery {
  return {
    service,
    priority: request.priority,
    accountName: request.account?.name,
    targetLatencyMs: request.route.targetLatencyMs,
    promptTokens: request.fields.promptTokens ?? 0,
    digest: () => request.digest,
  };
}
