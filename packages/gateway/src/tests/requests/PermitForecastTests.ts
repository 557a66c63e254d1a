/** Expected waits of requests for a permit, and Retry-After times of rejected requests. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { PermitForecast } from "../../requests/PermitForecast.js";
import { RequestDemand } from "../../requests/RequestDemand.js";
import { createListed } from "../testData.js";

const service = "records";

/**
 * Creates a forecast for ten endpoints, the first of which back off until the given times. If `layers` is given, the endpoints have these
 * spans in turn.
 */
function createBackingOff(
  untilMs: readonly number[],
  layers?: readonly (readonly [number, number])[],
): PermitForecast {
  const endpoints = new EndpointTable(() => 0);
  const ids = Array.from({ length: 10 }, (_, index) => `p${index}`);
  const toSpans = (index: number): { start: number; end: number }[] => {
    const span = layers?.[index % layers.length];
    return span === undefined ? [] : [{ start: span[0], end: span[1] }];
  };
  endpoints.setAll(
    new Map(ids.map((id, index) => [id, createListed(id, { service, layers: toSpans(index) })])),
  );
  for (const [index, backoffMs] of untilMs.entries())
    endpoints.getAll()[index]?.backoff.extendTo(backoffMs, 0);
  const demand = new RequestDemand(() => 0);
  const getInstanceCount = (): number => 8;
  return new PermitForecast({ endpoints, demand, getInstanceCount, nowMs: () => 0, random: () => 0.5 });
}

/** Creates a forecast for ten endpoints, the first `limited` of which accept four requests per second each from all instances together. */
function create(instances: number, limited = 10): PermitForecast {
  const endpoints = new EndpointTable(() => 0);
  const ids = Array.from({ length: 10 }, (_, index) => `p${index}`);
  endpoints.setAll(new Map(ids.map((id) => [id, createListed(id, { service })])));
  for (const endpoint of endpoints.getAll().slice(0, limited)) endpoint.limit = { perSecond: 4, atMs: 0 };
  const demand = new RequestDemand(() => 0);
  const getInstanceCount = (): number => instances;
  return new PermitForecast({ endpoints, demand, getInstanceCount, nowMs: () => 0, random: () => 0.5 });
}

test("no request is expected to wait while an endpoint accepts requests", (t) => {
  const forecast = create(8, 9);
  t.is(forecast.getIntervalMs(service), 0);
  t.is(forecast.getWaitMs(service, 0), 0);
});

// Guards against requests of a large fleet that are rejected although they would get the next permit.
test("the first waiting request may get the next permit of the whole fleet, the requests behind it an equal share", (t) => {
  const forecast = create(200);
  t.is(forecast.getWaitMs(service, 0), 25);
  t.is(forecast.getWaitMs(service, 1), 10_000);
});

test("the Retry-After time follows the expected wait within its bounds", (t) => {
  t.is(create(8).getRetryAfterMs(service, 1), 400);
  t.is(create(200).getRetryAfterMs(service, 10), 4_000);
  t.is(create(8, 9).getRetryAfterMs(service, 0), 200);
});

test("while all endpoints back off, the first waiting request may begin at the earliest end, and rejected ones retry after it", (t) => {
  const all = Array.from({ length: 10 }, (_, index) => 3_000 - 100 * index);
  t.false(createBackingOff(all.slice(1)).isBlocked(service));
  const forecast = createBackingOff(all);
  t.true(forecast.isBlocked(service));
  t.is(forecast.getBlockReason(service), "resting");
  t.is(forecast.getWaitMs(service, 0), 2_100);
  t.is(forecast.getWaitMs(service, 5), 2_300, "each endpoint gets two requests soon after its back-off");
  t.is(forecast.getWaitMs(service, 100), 3_000);
  t.is(forecast.getRetryAfterMs(service, 0), 2_300);
});

// Guards against streams that wait for a chain while all engines with some layers back off beyond the maximum wait.
test("while all engines with some layers back off, a chain is expected at the earliest end of these back-offs", (t) => {
  const odd = [0, 2_000, 0, 1_500, 0, 2_500, 0, 2_000, 0, 2_000];
  const spans = [
    [0, 4],
    [4, 8],
  ] as const;
  t.is(createBackingOff(odd, spans).getWaitMs(service, 0), 1_500);
  t.is(createBackingOff(odd.slice(0, 8), spans).getWaitMs(service, 0), 0);
});
