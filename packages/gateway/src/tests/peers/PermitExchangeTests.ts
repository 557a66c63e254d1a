/** Tests when an instance requests permits, and what its permit requests contain. */
import test from "ava";
import type { PermitRequest } from "@shedtiller/admission";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PermitExchange } from "../../peers/PermitExchange.js";
import { peerTopics } from "../../peers/peerMessages.js";
import { RequestDemand } from "../../requests/RequestDemand.js";
import { createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork } from "./PeerNetwork.js";

const east = { availabilityZone: "east" };

class Fixture {
  nowMs = 10_000;
  readonly permitRequests: PermitRequest[] = [];
  readonly endpoints = new EndpointTable(() => this.nowMs);
  readonly demand = new RequestDemand(() => this.nowMs);
  readonly exchange: PermitExchange;

  constructor() {
    const network = new PeerNetwork();
    const coordinator = network.join({ name: "coordinator", ...east });
    coordinator.onRequest(peerTopics.permits, (body) => {
      this.permitRequests.push(body as PermitRequest);
      return [{ key: "engine", count: 2 }];
    });
    this.endpoints.setAll(new Map([["engine", createListed("engine", { service: "records" })]]));
    this.exchange = new PermitExchange({
      membership: network.join({ name: "own", ...east }),
      endpoints: this.endpoints,
      loads: {
        isCollector: false,
        collector: "coordinator",
        getCollectors: () => new Map(),
        getKnownSinceMs: () => undefined,
      },
      demand: this.demand,
      log: new DecisionLog(new SilentLogOutput(), () => this.nowMs),
      getInstanceCount: () => 8,
      nowMs: () => this.nowMs,
    });
  }

  limit(): void {
    const endpoint = this.endpoints.get("engine");
    if (endpoint !== undefined) endpoint.limit = { perSecond: 2, atMs: this.nowMs };
  }

  countPermits(): number {
    return this.endpoints.get("engine")?.permits.getCount(this.nowMs) ?? 0;
  }
}

// Guards against a message for each request that waits for capacity while no limit is in force.
test("no permits are requested while no endpoint names a limit", async (t) => {
  const fixture = new Fixture();
  fixture.demand.noteWaiting();
  for (let tick = 0; tick < 4; tick++) await fixture.exchange.tick();
  t.deepEqual(fixture.permitRequests, []);
});

test("permits arrive with a response and expire unless they are used", async (t) => {
  const fixture = new Fixture();
  fixture.limit();
  for (let tick = 0; tick < 2; tick++) await fixture.exchange.tick();
  t.is(fixture.permitRequests.length, 1, "without waiting requests every second tick sends a permit request");
  t.deepEqual([fixture.permitRequests[0]?.lending, fixture.permitRequests[0]?.known], [1, 8]);
  t.is(fixture.countPermits(), 2);
  t.truthy(fixture.endpoints.get("engine")?.tryAcquirePermit(fixture.nowMs));
  fixture.nowMs += 1_000;
  t.is(fixture.countPermits(), 0);
  for (let tick = 0; tick < 2; tick++) await fixture.exchange.tick();
  const [demand] = fixture.permitRequests[1]?.wants ?? [];
  t.deepEqual([demand?.used, demand?.returned], [1, 1]);
});

test("an instance at which requests wait requests permits in each tick, for all of these requests", async (t) => {
  const fixture = new Fixture();
  fixture.limit();
  fixture.demand.addQueue(() => 3);
  await fixture.exchange.tick();
  fixture.nowMs += 100;
  await fixture.exchange.tick();
  t.is(fixture.permitRequests.length, 2);
  t.is(fixture.permitRequests[0]?.wants[0]?.waiting, 3);
});

test("requests that were sent before the limit was known are reported once", async (t) => {
  const fixture = new Fixture();
  fixture.endpoints.get("engine")?.tryAcquirePermit(fixture.nowMs);
  fixture.limit();
  for (let tick = 0; tick < 4; tick++) await fixture.exchange.tick();
  t.deepEqual(
    fixture.permitRequests.map(({ wants }) => wants[0]?.charged ?? 0),
    [1, 0],
  );
});
