/** Routes of the callers' interface. Its paths and fields are specified in docs/INTERFACES.md. */
import type { ConfigurationProjection } from "@shedtiller/intent";
import { ApiError, sendJson } from "./apiErrors.js";
import { requireAccount, type AccountDirectory } from "./authenticate.js";
import type { CompletionHandler } from "./CompletionHandler.js";
import type { Handler, HttpListener } from "./HttpListener.js";
import type { ServiceHandler } from "./ServiceHandler.js";

const okStatus = 200;
const unavailableStatus = 503;
const retryAfterMs = 1_000;

/** Dependencies of the callers' routes. */
export interface CallerRoutesStructure {
  readonly configuration: ConfigurationProjection;
  readonly accounts: AccountDirectory;
  readonly completions: CompletionHandler;
  readonly services: ServiceHandler;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
}

/** Adds the callers' routes to a listener. */
export function addCallerRoutes(listener: HttpListener, structure: CallerRoutesStructure): void {
  const whileAccepting = (handler: Handler): Handler => {
    return (request, response) => {
      requireAccepting(structure);
      return handler(request, response);
    };
  };
  listener.post(
    "/v1/chat/completions",
    whileAccepting((request, response) => structure.completions.handle(request, response, "chat")),
  );
  listener.post(
    "/v1/completions",
    whileAccepting((request, response) => structure.completions.handle(request, response, "text")),
  );
  listener.get("/v1/models", (request, response) => {
    const account = requireAccount(request, structure.accounts);
    const accessible = structure.configuration
      .getObjects("pipeline")
      .filter(
        (pipeline) => pipeline.clientAccounts.length === 0 || pipeline.clientAccounts.includes(account.name),
      );
    const data = accessible.map((pipeline) => ({
      id: pipeline.name,
      object: "model",
      created: 0,
      owned_by: "shedtiller",
    }));
    sendJson(response, okStatus, { object: "list", data });
  });
  const handleService = whileAccepting((request, response) => structure.services.handle(request, response));
  for (const path of ["/services/:service", "/services/:service/*"]) {
    listener.get(path, handleService);
    listener.post(path, handleService);
    listener.put(path, handleService);
    listener.del(path, handleService);
  }
  listener.get("/healthz", (_request, response) => sendJson(response, okStatus, { status: "alive" }));
  listener.get("/readyz", (_request, response) => {
    const isAccepting = structure.isReady() && !structure.isDraining();
    sendJson(response, isAccepting ? okStatus : unavailableStatus, {
      status: isAccepting ? "ready" : "not ready",
    });
  });
}

/** Throws a 503 error with the execution status "no" if the instance is draining or has no configuration yet. */
function requireAccepting(structure: CallerRoutesStructure): void {
  if (structure.isDraining()) {
    throw new ApiError(
      unavailableStatus,
      "overloaded_error",
      "draining",
      "The instance is draining.",
      "no",
      retryAfterMs,
    );
  }
  if (!structure.isReady()) {
    throw new ApiError(
      unavailableStatus,
      "overloaded_error",
      "not_ready",
      "The instance has no configuration yet.",
      "no",
      retryAfterMs,
    );
  }
}
