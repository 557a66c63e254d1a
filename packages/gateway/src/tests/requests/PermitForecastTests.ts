/** How long requests are expected to wait for a permit, and when the others are to come back. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { PermitForecast } from "../../requests/PermitForecast.js";
import { RequestDemand } from "../../requests/RequestDemand.js";
import { createListed } from "../createParts.js";

const service = "records";

/** Ten endpoints of which the first ones rest until those times, and hold those layers. */
function createResting(
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
  for (const [index, restMs] of untilMs.entries()) endpoints.getAll()[index]?.rest.note(restMs, 0);
  const demand = new RequestDemand(() => 0);
  const getInstanceCount = (): number => 8;
  return new PermitForecast({ endpoints, demand, getInstanceCount, nowMs: () => 0, random: () => 0.5 });
}

/** Ten endpoints that take four requests a second each from all instances together. */
function create(instances: number, limited = 10): PermitForecast {
  const endpoints = new EndpointTable(() => 0);
  const ids = Array.from({ length: 10 }, (_, index) => `p${index}`);
  endpoints.setAll(new Map(ids.map((id) => [id, createListed(id, { service })])));
  for (const endpoint of endpoints.getAll().slice(0, limited)) endpoint.limit = { perSecond: 4, atMs: 0 };
  const demand = new RequestDemand(() => 0);
  const getInstanceCount = (): number => instances;
  return new PermitForecast({ endpoints, demand, getInstanceCount, nowMs: () => 0, random: () => 0.5 });
}

test("while an endpoint takes a request now nobody is expected to wait", (t) => {
  const forecast = create(8, 9);
  t.is(forecast.getIntervalMs(service), 0);
  t.is(forecast.getWaitMs(service, 0), 0);
});

// Guards against requests of a large fleet that are refused though the next permit would be theirs.
test("the first that waits may have the next permit of all, those behind it an equal part", (t) => {
  const forecast = create(200);
  t.is(forecast.getWaitMs(service, 0), 25);
  t.is(forecast.getWaitMs(service, 1), 10_000);
});

test("who is refused comes back when there may be room, within bounds", (t) => {
  t.is(create(8).getRetryAfterMs(service, 1), 400);
  t.is(create(200).getRetryAfterMs(service, 10), 4_000);
  t.is(create(8, 9).getRetryAfterMs(service, 0), 200);
});

test("where all rest the first that waits may begin with the earliest end, and the refused come back after it", (t) => {
  const all = Array.from({ length: 10 }, (_, index) => 3_000 - 100 * index);
  t.false(createResting(all.slice(1)).isBlocked(service));
  const forecast = createResting(all);
  t.true(forecast.isBlocked(service));
  t.is(forecast.getBlockReason(service), "resting");
  t.is(forecast.getWaitMs(service, 0), 2_100);
  t.is(forecast.getWaitMs(service, 5), 2_300, "two go with each return at first");
  t.is(forecast.getWaitMs(service, 100), 3_000);
  t.is(forecast.getRetryAfterMs(service, 0), 2_300);
});

// Guards against streams that wait for a chain whose only holders of some layers rest past their patience.
test("where all holders of some layers rest, a chain is due with the first of them", (t) => {
  const odd = [0, 2_000, 0, 1_500, 0, 2_500, 0, 2_000, 0, 2_000];
  const spans = [
    [0, 4],
    [4, 8],
  ] as const;
  t.is(createResting(odd, spans).getWaitMs(service, 0), 1_500);
  t.is(createResting(odd.slice(0, 8), spans).getWaitMs(service, 0), 0);
});
