/**
 * Permanent rejections of unknown routes and keys. Callers do not retry them, so they require a configuration that is known to be
 * current.
 */
import test, { type ExecutionContext } from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { DenialFreshness, getLongPollMs } from "../../configuration/DenialFreshness.js";
import { createConfiguration, createRoute } from "../testData.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const deadlineMs = 3_000;
const callerHeaders = { "x-id": "r1", "x-key": "k1" };
const route = createRoute({ targets: [{ service: "engines", weight: 1 }] });
const added = { ...route, name: "added", pathPrefix: "/b/" };

const serve: EndpointHandler = (request, response) => {
  response.writeHead(200, { "x-id": String(request.headers["x-id"]) }).end("ran");
};

async function setUp(t: ExecutionContext): Promise<GatewayFixture> {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  await fixture.listen(route);
  await fixture.list([serve], {});
  return fixture;
}

test("a request waits while a newer configuration may contain its route, and is served after its arrival", async (t) => {
  const fixture = await setUp(t);
  fixture.configure(route);
  fixture.behindMs = 1;
  const received = fixture.request("POST", callerHeaders, "/b/x");
  await fixture.waitForRequest();
  fixture.behindMs = 0;
  fixture.configure(added);
  t.is((await received).status, 200);
});

test("unknown routes and keys are rejected permanently and immediately while the configuration is current", async (t) => {
  const fixture = await setUp(t);
  fixture.configure(route);
  t.is((await fixture.request("POST", callerHeaders, "/b/x")).status, 404);
  t.is((await fixture.request("POST", { ...callerHeaders, "x-key": "other" })).status, 401);
});

// Guards against a request that runs with a key that was taken away, since its route also admits requests without a key.
test("an unknown key is denied on a route that admits requests without a key, if the configuration is current", async (t) => {
  const fixture = await setUp(t);
  fixture.configure({ ...route, isAnonymousAllowed: true });
  const unknownKey = { ...callerHeaders, "x-key": "other" };
  t.is((await fixture.request("POST", unknownKey)).status, 401);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
  t.is((await fixture.request("POST", { "x-id": "r2" })).status, 200);
});

// Guards against a final rejection of a key that a newer configuration may have added.
test("an unknown key gets a retryable rejection on such a route while the configuration is long out of date", async (t) => {
  const fixture = await setUp(t);
  fixture.activeConfiguration.accept(createConfiguration(1, [{ ...route, isAnonymousAllowed: true }]));
  t.is((await fixture.request("POST", { ...callerHeaders, "x-key": "other" })).status, 503);
});

test("while the configuration is long out of date, unknown routes and keys get a retryable rejection immediately", async (t) => {
  const fixture = await setUp(t);
  fixture.activeConfiguration.accept(createConfiguration(1, [route]));
  for (const [path, account] of [
    ["/b/x", "k1"],
    ["/a/x", "other"],
  ] as const) {
    const received = await fixture.request("POST", { "x-id": "r1", "x-key": account }, path);
    t.is(received.status, 503);
    t.true(Number(received.headers["x-retry-after-ms"]) > 0);
  }
});

test("a configuration counts as current until shortly before the deadline, but not while a newer one is known to exist", (t) => {
  let nowMs = 10_000;
  let behindMs = 0;
  const activeConfiguration = new ActiveConfiguration(() => nowMs);
  const freshness = new DenialFreshness({
    activeConfiguration,
    getBehindMs: () => behindMs,
    getDeadlineMs: () => deadlineMs,
    nowMs: () => nowMs,
  });
  activeConfiguration.accept(createConfiguration(1));
  t.false(freshness.isFresh());
  activeConfiguration.confirmFreshness(1, nowMs);
  t.true(freshness.isFresh());
  behindMs = 1;
  t.false(freshness.isFresh());
  behindMs = 0;
  nowMs += deadlineMs - 1;
  t.false(freshness.isFresh());
});

test("a wait for a current configuration ends with its confirmation or at its timeout", async (t) => {
  let nowMs = 10_000;
  const activeConfiguration = new ActiveConfiguration(() => nowMs);
  const structure = { activeConfiguration, getBehindMs: () => 0, getDeadlineMs: () => deadlineMs };
  const freshness = new DenialFreshness({ ...structure, nowMs: () => nowMs });
  activeConfiguration.accept(createConfiguration(1));
  activeConfiguration.confirmFreshness(1, nowMs);
  nowMs += deadlineMs;
  const confirmed = freshness.waitUntilFresh(deadlineMs);
  activeConfiguration.confirmFreshness(1, nowMs);
  t.true(await confirmed);
  nowMs += deadlineMs;
  const unconfirmed = freshness.waitUntilFresh(1);
  nowMs += 1;
  t.false(await unconfirmed);
});

test("long-polling reads confirm the configuration often enough for permanent rejections", (t) => {
  for (const boundMs of [1_000, 2_000, deadlineMs, 60_000]) {
    let nowMs = 0;
    const activeConfiguration = new ActiveConfiguration(() => nowMs);
    const structure = { activeConfiguration, getBehindMs: () => 0, getDeadlineMs: () => boundMs };
    const freshness = new DenialFreshness({ ...structure, nowMs: () => nowMs });
    activeConfiguration.accept(createConfiguration(1));
    activeConfiguration.confirmFreshness(1, 0);
    // A confirmation counts from the send of its read, so the next one arrives after two long polls at the latest.
    nowMs = 2 * getLongPollMs(boundMs);
    t.true(freshness.isFresh(), `${boundMs} ms`);
  }
});
