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

/** Returns the properties of a request that decide on its admission. */
export function toGateQuery(request: CallerRequest, service: string): GateQuery {
  return {
    service,
    priority: request.priority,
    accountName: request.account?.name,
    targetLatencyMs: request.route.targetLatencyMs,
    promptTokens: request.fields.promptTokens ?? 0,
    digest: () => request.digest,
  };
}
