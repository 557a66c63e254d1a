/** When an instance asks for permits, and what it says. */
import test from "ava";
import type { PermitRequest } from "@shedtiller/admission";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PermitExchange } from "../../peers/PermitExchange.js";
import { peerTopics } from "../../peers/peerMessages.js";
import { RequestDemand } from "../../requests/RequestDemand.js";
import { createListed } from "../testData.js";
import { SilentSink } from "../SilentSink.js";
import { PeerNetwork } from "./PeerNetwork.js";

const east = { availabilityZone: "east" };

class Scene {
  nowMs = 10_000;
  readonly asks: PermitRequest[] = [];
  readonly endpoints = new EndpointTable(() => this.nowMs);
  readonly demand = new RequestDemand(() => this.nowMs);
  readonly exchange: PermitExchange;

  constructor() {
    const network = new PeerNetwork();
    const holder = network.join({ name: "holder", ...east });
    holder.onRequest(peerTopics.permits, (body) => {
      this.asks.push(body as PermitRequest);
      return [{ key: "engine", count: 2 }];
    });
    this.endpoints.setAll(new Map([["engine", createListed("engine", { service: "records" })]]));
    this.exchange = new PermitExchange({
      membership: network.join({ name: "own", ...east }),
      endpoints: this.endpoints,
      loads: {
        isCollector: false,
        collector: "holder",
        getCollectors: () => new Map(),
        getKnownSinceMs: () => undefined,
      },
      demand: this.demand,
      log: new DecisionLog(new SilentSink(), () => this.nowMs),
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

// Guards against messages for each request that waits for room on days without any limit.
test("nothing is asked while no endpoint names a limit", async (t) => {
  const scene = new Scene();
  scene.demand.noteWaiting();
  for (let tick = 0; tick < 4; tick++) await scene.exchange.tick();
  t.deepEqual(scene.asks, []);
});

test("permits come with an answer, and run out unless they are used", async (t) => {
  const scene = new Scene();
  scene.limit();
  for (let tick = 0; tick < 2; tick++) await scene.exchange.tick();
  t.is(scene.asks.length, 1, "without waiting requests each other tick asks");
  t.deepEqual([scene.asks[0]?.lending, scene.asks[0]?.known], [1, 8]);
  t.is(scene.countPermits(), 2);
  t.truthy(scene.endpoints.get("engine")?.tryTakePermit(scene.nowMs));
  scene.nowMs += 1_000;
  t.is(scene.countPermits(), 0);
  for (let tick = 0; tick < 2; tick++) await scene.exchange.tick();
  const [wanted] = scene.asks[1]?.wants ?? [];
  t.deepEqual([wanted?.used, wanted?.returned], [1, 1]);
});

test("an instance at which requests wait asks in each tick, for as many as wait", async (t) => {
  const scene = new Scene();
  scene.limit();
  scene.demand.addQueue(() => 3);
  await scene.exchange.tick();
  scene.nowMs += 100;
  await scene.exchange.tick();
  t.is(scene.asks.length, 2);
  t.is(scene.asks[0]?.wants[0]?.waiting, 3);
});

test("sends from before the limit was known are told once", async (t) => {
  const scene = new Scene();
  scene.endpoints.get("engine")?.tryTakePermit(scene.nowMs);
  scene.limit();
  for (let tick = 0; tick < 4; tick++) await scene.exchange.tick();
  t.deepEqual(
    scene.asks.map(({ wants }) => wants[0]?.charged ?? 0),
    [1, 0],
  );
});
