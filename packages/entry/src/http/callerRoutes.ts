/** The callers' interface. Its paths and fields are stated in docs/INTERFACES.md. */
import type { ConfigurationProjection } from "@shedtiller/intent";
import { ApiError, sendJson } from "./apiErrors.js";
import { requireAccount, type AccountDirectory } from "./authenticate.js";
import type { CompletionHandler } from "./CompletionHandler.js";
import type { Handler, HttpListener } from "./HttpListener.js";
import type { ServiceHandler } from "./ServiceHandler.js";

const okStatus = 200;
const unavailableStatus = 503;
const comeBackMs = 1_000;

/** What the routes work with. */
export interface CallerStructure {
  readonly fold: ConfigurationProjection;
  readonly accounts: AccountDirectory;
  readonly completions: CompletionHandler;
  readonly services: ServiceHandler;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
}

/** Adds the callers' routes to a listener. */
export function addCallerRoutes(listener: HttpListener, structure: CallerStructure): void {
  const whileOpen = (handler: Handler): Handler => {
    return (request, response) => {
      requireOpen(structure);
      return handler(request, response);
    };
  };
  listener.post(
    "/v1/chat/completions",
    whileOpen((request, response) => structure.completions.handle(request, response, "chat")),
  );
  listener.post(
    "/v1/completions",
    whileOpen((request, response) => structure.completions.handle(request, response, "text")),
  );
  listener.get("/v1/models", (request, response) => {
    const account = requireAccount(request, structure.accounts);
    const open = structure.fold
      .getObjects("pipeline")
      .filter(
        (pipeline) => pipeline.clientAccounts.length === 0 || pipeline.clientAccounts.includes(account.name),
      );
    const data = open.map((pipeline) => ({
      id: pipeline.name,
      object: "model",
      created: 0,
      owned_by: "shedtiller",
    }));
    sendJson(response, okStatus, { object: "list", data });
  });
  const service = whileOpen((request, response) => structure.services.handle(request, response));
  for (const path of ["/services/:service", "/services/:service/*"]) {
    listener.get(path, service);
    listener.post(path, service);
    listener.put(path, service);
    listener.del(path, service);
  }
  listener.get("/healthz", (_request, response) => sendJson(response, okStatus, { status: "alive" }));
  listener.get("/readyz", (_request, response) => {
    const isOpen = structure.isReady() && !structure.isDraining();
    sendJson(response, isOpen ? okStatus : unavailableStatus, { status: isOpen ? "ready" : "not ready" });
  });
}

/** While the instance drains, or knows no configuration yet, it takes nothing: true, and nothing ran. */
function requireOpen(structure: CallerStructure): void {
  if (structure.isDraining()) {
    throw new ApiError(
      unavailableStatus,
      "overloaded_error",
      "draining",
      "The instance is being stopped.",
      "no",
      comeBackMs,
    );
  }
  if (!structure.isReady()) {
    throw new ApiError(
      unavailableStatus,
      "overloaded_error",
      "not_ready",
      "The instance has no configuration yet.",
      "no",
      comeBackMs,
    );
  }
}
