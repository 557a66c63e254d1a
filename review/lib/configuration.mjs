/** The operator's configuration, in the form in which it stands in the store. */

export const apiKey = "k1-of-the-only-account";
export const callerHost = "calls.example";
const layers = 8;

/** Accelerators that hold all layers, so that a chain has one engine. */
export const engineKind = "a100";

/** Returns the profile of the engines. */
function getEngineProfile() {
  return {
    slots: 134,
    layers,
    layer_mb: 1_750,
    "kv-token-bytes": 918_000,
    act_bytes: 45_900,
    step_ms: 1.02,
    per_seq_ms: 0.00714,
    context_per_k: 0.00956,
    read_per_s: 105_000,
    pairs_per_m: 0.309,
    stride: 3,
    chunk: 512,
    loads_at_once: 5,
    report_lag_ms: 200,
    stall_ms: 3_000,
    usual: { prompt: 760, answer: 180 },
    models: [{ name: "m0", load_s: 1 }],
    kinds: [{ name: engineKind, mb: 72_000, pace: 2.4, read_x: 3.2 }],
  };
}

/** Returns a route; `fields` replace the usual ones. */
export function createRoute(fields) {
  return {
    name: "route",
    host: callerHost,
    "path-prefix": "/a/",
    kind: "safe",
    "timeout-ms": 20_000,
    "target-latency-ms": 500,
    "max-attempts": 2,
    priority: 1,
    ...fields,
  };
}

export function createConfiguration(version, routes) {
  return {
    version,
    routes,
    services: [
      { name: "assist-llm", "health-path": "/healthz", "max-conns": 1_138, engine: getEngineProfile() },
      { name: "ops-api", "health-path": "/healthz", "max-conns": 110 },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 4_194_304,
      "header-timeout-ms": 5_000,
      "idle-timeout-ms": 15_000,
    },
    tenants: [{ name: "tenant-1", "api-keys": [apiKey] }],
  };
}
