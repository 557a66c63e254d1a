/** What does not exist is denied only on a proof that nothing newer has been in force for long; callers don't come back from a denial. */
import test, { type ExecutionContext } from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { DenialFreshness, getLongPollMs } from "../../configuration/DenialFreshness.js";
import { createConfiguration, createRoute } from "../testData.js";
import { GatewayFixture, type EndpointHandler } from "./GatewayFixture.js";

const deadlineMs = 3_000;
const key = { "x-id": "r1", "x-key": "k1" };
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

test("a route that a newer configuration may have is waited for, and served once it has come", async (t) => {
  const fixture = await setUp(t);
  fixture.configure(route);
  fixture.behindMs = 1;
  const seen = fixture.request("POST", key, "/b/x");
  await fixture.waitForRequest();
  fixture.behindMs = 0;
  fixture.configure(added);
  t.is((await seen).status, 200);
});

test("a route or a key that is not known is denied at once on a young proof", async (t) => {
  const fixture = await setUp(t);
  fixture.configure(route);
  t.is((await fixture.request("POST", key, "/b/x")).status, 404);
  t.is((await fixture.request("POST", { ...key, "x-key": "other" })).status, 401);
});

test("where a proof is long overdue, the caller is told at once to come back", async (t) => {
  const fixture = await setUp(t);
  fixture.keeper.accept(createConfiguration(1, [route]));
  for (const [path, account] of [
    ["/b/x", "k1"],
    ["/a/x", "other"],
  ] as const) {
    const seen = await fixture.request("POST", { "x-id": "r1", "x-key": account }, path);
    t.is(seen.status, 503);
    t.true(Number(seen.headers["x-retry-after-ms"]) > 0);
  }
});

test("a proof holds until shortly before the deadline, and not while something newer is known", (t) => {
  let nowMs = 10_000;
  let behindMs = 0;
  const keeper = new ActiveConfiguration(() => nowMs);
  const denials = new DenialFreshness({
    activeConfiguration: keeper,
    getBehindMs: () => behindMs,
    getDeadlineMs: () => deadlineMs,
    nowMs: () => nowMs,
  });
  keeper.accept(createConfiguration(1));
  t.false(denials.isFresh());
  keeper.confirmFreshness(1, nowMs);
  t.true(denials.isFresh());
  behindMs = 1;
  t.false(denials.isFresh());
  behindMs = 0;
  nowMs += deadlineMs - 1;
  t.false(denials.isFresh());
});

test("a wait for a proof ends with it, and without one when its time is over", async (t) => {
  let nowMs = 10_000;
  const keeper = new ActiveConfiguration(() => nowMs);
  const structure = { activeConfiguration: keeper, getBehindMs: () => 0, getDeadlineMs: () => deadlineMs };
  const denials = new DenialFreshness({ ...structure, nowMs: () => nowMs });
  keeper.accept(createConfiguration(1));
  keeper.confirmFreshness(1, nowMs);
  nowMs += deadlineMs;
  const proven = denials.waitUntilFresh(deadlineMs);
  keeper.confirmFreshness(1, nowMs);
  t.true(await proven);
  nowMs += deadlineMs;
  const unproven = denials.waitUntilFresh(1);
  nowMs += 1;
  t.false(await unproven);
});

test("held reads keep proofs young enough for denials", (t) => {
  for (const boundMs of [1_000, 2_000, deadlineMs, 60_000]) {
    let nowMs = 0;
    const keeper = new ActiveConfiguration(() => nowMs);
    const structure = { activeConfiguration: keeper, getBehindMs: () => 0, getDeadlineMs: () => boundMs };
    const denials = new DenialFreshness({ ...structure, nowMs: () => nowMs });
    keeper.accept(createConfiguration(1));
    keeper.confirmFreshness(1, 0);
    // A proof counts from the sending of a read; the next one comes once that and another read have been held.
    nowMs = 2 * getLongPollMs(boundMs);
    t.true(denials.isFresh(), `${boundMs} ms`);
  }
});
