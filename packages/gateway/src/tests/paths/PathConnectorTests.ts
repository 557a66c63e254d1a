/** Tests which path a connection to an endpoint takes, and what an instance concludes about its own network paths. */
import * as net from "node:net";
import test from "ava";
import { utils } from "@shedtiller/common";
import type { ConnectFailure } from "../../http/Connector.js";
import { PathConnector } from "../../paths/PathConnector.js";
import { PathFixture } from "./PathFixture.js";

const addresses = ["e1:1", "e2:1", "e3:1", "e4:1"];

function cutAll(fixture: PathFixture, failure: ConnectFailure): void {
  for (const address of addresses) fixture.failures.set(address, failure);
}

test("a connection is direct while the direct path works, and asks no peer", async (t) => {
  const fixture = new PathFixture(addresses);
  t.is(await fixture.connect("e1:1"), "direct");
  t.deepEqual(fixture.tunnels, []);
});

for (const failure of ["refused", "unanswered"] as const) {
  test(`a connection that is ${failure} goes through a peer, and further ones do so at once`, async (t) => {
    const fixture = new PathFixture(addresses);
    cutAll(fixture, failure);
    t.is(await fixture.connect("e1:1"), "front-2");
    t.is(fixture.paths.getFailure("e1:1"), failure);
    t.is(await fixture.connect("e1:1"), "front-2");
    t.deepEqual(fixture.direct, ["e1:1"], "the second connection does not try the direct path");
  });
}

test("an endpoint that neither this instance nor a peer reaches has no lost path", async (t) => {
  const fixture = new PathFixture(addresses);
  fixture.failures.set("e1:1", "refused");
  fixture.unreachedByPeers.add("e1:1");
  t.is(await fixture.connect("e1:1"), "failed");
  t.false(fixture.paths.isLost("e1:1"));
});

test("an instance that reaches no endpoint directly uses peers for all of them, until a direct path works", async (t) => {
  const fixture = new PathFixture(addresses);
  cutAll(fixture, "unanswered");
  await fixture.connect("e1:1");
  t.false(fixture.paths.isCutOff, "a single path may be lost by itself");
  await fixture.connect("e2:1");
  t.true(fixture.paths.isCutOff);
  t.is(await fixture.connect("e3:1"), "front-2");
  t.deepEqual(fixture.direct, ["e1:1", "e2:1"]);
  fixture.failures.clear();
  await fixture.reviewFor(2_000);
  t.false(fixture.paths.isCutOff);
  t.deepEqual(fixture.paths.lostAddresses, []);
  t.is(await fixture.connect("e3:1"), "direct");
  const { events } = fixture.output;
  t.is(events.filter((event) => event === "warn instance-cut-off").length, 1);
  t.is(events.filter((event) => event === "warn instance-reconnected").length, 1);
});

test("lost paths are tried at growing intervals", async (t) => {
  const fixture = new PathFixture(addresses);
  cutAll(fixture, "unanswered");
  await fixture.connect("e1:1");
  await fixture.reviewFor(10_000);
  t.true(fixture.direct.length <= 9, `${fixture.direct.length} tries in 10 s`);
});

test("an instance that no path connects to any endpoint is isolated, until one is reached", async (t) => {
  const fixture = new PathFixture(addresses);
  cutAll(fixture, "unanswered");
  for (const address of addresses) fixture.unreachedByPeers.add(address);
  await fixture.connect("e1:1");
  await fixture.connect("e2:1");
  await fixture.reviewFor(200);
  t.true(fixture.paths.isIsolated);
  fixture.unreachedByPeers.clear();
  await fixture.reviewFor(1_000);
  t.false(fixture.paths.isIsolated);
});

test("an instance that reaches one endpoint is not isolated, however many others have failed", async (t) => {
  const fixture = new PathFixture(addresses);
  for (const address of addresses.slice(0, 3)) {
    fixture.failures.set(address, "refused");
    fixture.unreachedByPeers.add(address);
    await fixture.connect(address);
  }
  t.true(fixture.paths.mayBeIsolated);
  await fixture.reviewFor(2_000);
  t.false(fixture.paths.isIsolated);
});

test("an isolated instance reaches endpoints that start after the unreachable ones have left the list", async (t) => {
  const fixture = new PathFixture(addresses);
  cutAll(fixture, "refused");
  for (const address of addresses) fixture.unreachedByPeers.add(address);
  await fixture.connect("e1:1");
  await fixture.connect("e2:1");
  await fixture.reviewFor(200);
  t.true(fixture.paths.isIsolated);
  fixture.list(["e5:1"]);
  await fixture.reviewFor(400);
  t.false(fixture.paths.isIsolated);
});

test("an instance that has lost only some paths uses the others again, even if no request tries them", async (t) => {
  const fixture = new PathFixture(addresses);
  for (const address of ["e1:1", "e2:1"]) {
    fixture.failures.set(address, "refused");
    await fixture.connect(address);
  }
  t.true(fixture.paths.isCutOff);
  await fixture.reviewFor(400);
  t.false(fixture.paths.isCutOff);
  t.true(fixture.paths.isLost("e1:1"));
  t.is(await fixture.connect("e3:1"), "direct");
});

test("a call without an answer has its path checked, unless the endpoint was heard a moment ago", async (t) => {
  const fixture = new PathFixture(addresses);
  cutAll(fixture, "unanswered");
  const endpoint = fixture.endpoints.getByAddress("e1:1");
  if (endpoint !== undefined) endpoint.heardAtMs = fixture.clock.nowMs;
  t.false(fixture.connector.noteSilence("e1:1"));
  t.deepEqual(fixture.direct, []);
  fixture.clock.nowMs += 1_000;
  t.false(fixture.connector.noteSilence("e1:1"), "not known yet");
  t.false(fixture.connector.noteSilence("e1:1"));
  while (!fixture.paths.isLost("e1:1")) await utils.yieldToEvents();
  t.deepEqual(fixture.direct, ["e1:1"], "one check for both calls");
  t.true(fixture.connector.noteSilence("e1:1"), "no answer will come");
});

test("an endpoint has crashed if it refuses this instance and its peers, and not if a peer reaches it", async (t) => {
  const fixture = new PathFixture(addresses);
  fixture.failures.set("e1:1", "refused");
  t.is(await fixture.connector.probe("e1:1", 1_000), "open");
  fixture.unreachedByPeers.add("e1:1");
  t.is(await fixture.connector.probe("e1:1", 1_000), "refused");
  fixture.failures.set("e2:1", "unanswered");
  t.is(await fixture.connector.probe("e2:1", 1_000), "open");
});

// Guards against crashes that count only once the entry of the endpoint is gone, since a peer is paused at that time.
test("an endpoint that refuses this instance has crashed even if peers don't reply, unless the own path is lost", async (t) => {
  const fixture = new PathFixture(addresses);
  fixture.failures.set("e1:1", "refused");
  fixture.arePeersSilent = true;
  t.is(await fixture.connector.probe("e1:1", 10), "refused");
  fixture.paths.noteLost("e1:1", "refused", "front-2");
  t.is(await fixture.connector.probe("e1:1", 10), "nothing");
});

// Guards against a crash investigation that finds nothing although the endpoint has accepted the probe, since the process was held up.
test.serial(
  "a probe that is accepted in time counts although its time passes before that is read",
  async (t) => {
    const server = net.createServer((socket) => socket.destroy());
    t.teardown(() => void server.close());
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const { endpoints, paths, log } = new PathFixture([address]);
    const tunnels = {
      open: () => new Promise<never>(() => undefined),
      wasClosedByServer: () => Promise.resolve(false),
      isLeaving: () => false,
      onPeerLeaving: () => undefined,
    };
    const connector = new PathConnector({ endpoints, paths, tunnels, log });
    const timeoutMs = 20;
    // After an immediate, timers come before sockets.
    await utils.yieldToEvents();
    const probed = connector.probe(address, timeoutMs);
    const endMs = utils.monotonicMs() + 2 * timeoutMs;
    while (utils.monotonicMs() < endMs);
    t.is(await probed, "open");
  },
);
