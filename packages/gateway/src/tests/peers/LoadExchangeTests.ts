/** Tests that each instance receives the load of all others through the collector of its zone, also after a collector has failed. */
import test from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { LoadExchange } from "../../peers/LoadExchange.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { toLoadMessage, toLoads } from "../../peers/endpointLoads.js";
import { readDecisions, readFigures, toFigureEntries } from "../../peers/figures.js";
import { loadSchema } from "../../peers/peerMessages.js";
import { createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork } from "./PeerNetwork.js";

const tickMs = 200;

interface Instance {
  readonly name: string;
  readonly endpoints: EndpointTable;
  readonly exchange: LoadExchange;
  readonly figures: SharedFigures;
}

class Fleet {
  readonly network = new PeerNetwork();
  readonly instances: Instance[] = [];
  private _nowMs = 0;

  constructor(namesByZone: Readonly<Record<string, readonly string[]>>) {
    for (const [availabilityZone, names] of Object.entries(namesByZone)) {
      for (const name of names) this._add(name, availabilityZone);
    }
  }

  get(name: string): Instance {
    const instance = this.instances.find((candidate) => candidate.name === name);
    if (instance === undefined) throw new RangeError(`There is no instance ${name}.`);
    return instance;
  }

  /** Advances the clock tick by tick; `isSkipped` selects suspended instances. */
  run(ticks: number, isSkipped: (name: string) => boolean = () => false): void {
    for (let tick = 0; tick < ticks; tick++) {
      this._nowMs += tickMs;
      for (const { name, exchange } of this.instances) if (!isSkipped(name)) exchange.sendDue();
    }
  }

  /** Returns the load on the only engine, as an instance sees it. */
  getRequests(name: string): number {
    return this.get(name).endpoints.get("engine")?.getLoad().requests ?? 0;
  }

  getCollectors(zone: readonly string[]): string[] {
    return zone.filter((name) => this.get(name).exchange.isCollector);
  }

  private _add(name: string, availabilityZone: string): void {
    const nowMs = (): number => this._nowMs;
    const endpoints = new EndpointTable(nowMs);
    endpoints.setAll(new Map([["engine", createListed("engine")]]));
    const membership = this.network.join({ name, availabilityZone });
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const figures = new SharedFigures(nowMs);
    figures.addSource(() => new Map([["test/arrivals", 1]]));
    figures.addDecider(({ zones }) => new Map([["test/zones", zones.size]]));
    this.instances.push({
      name,
      endpoints,
      exchange: new LoadExchange({ membership, endpoints, log, figures, nowMs }),
      figures,
    });
  }
}

const east = ["a", "b", "c", "d"];
const west = ["e", "f", "g"];

function createLoadedFleet(): Fleet {
  const fleet = new Fleet({ east, west });
  for (const { endpoints } of fleet.instances) endpoints.get("engine")?.addOwnLoad(1, 10);
  return fleet;
}

test("every instance sees the load of all instances of both zones", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  for (const { name } of fleet.instances) t.is(fleet.getRequests(name), east.length + west.length, name);
});

test("a zone has one collector, and its members send their load only to the collector", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  t.is(fleet.getCollectors(east).length, 1);
  fleet.network.sent.clear();
  fleet.run(3);
  const sent = fleet.network.sent.get("load") ?? 0;
  t.true(sent <= 3 * (east.length + west.length - 2), `${sent} notices`);
});

test("a silent collector is replaced, and the load of the remaining instances stays known", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  const [collector = ""] = fleet.getCollectors(east);
  fleet.network.silence(collector);
  fleet.run(24);
  for (const name of east.filter((other) => other !== collector)) {
    t.is(fleet.getRequests(name), east.length + west.length - 1, name);
  }
});

test("after a collector has left, another instance takes over at once", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  const [collector = ""] = fleet.getCollectors(east);
  fleet.network.remove(collector);
  fleet.run(3, (name) => name === collector);
  const left = east.filter((name) => name !== collector);
  t.is(fleet.getCollectors(left).length, 1);
  for (const name of left) t.true(fleet.getRequests(name) >= left.length, name);
});

test("a request that has ended no longer counts as load at any instance", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  fleet.get("b").endpoints.get("engine")?.addOwnLoad(-1, -10);
  fleet.run(6);
  for (const { name } of fleet.instances) t.is(fleet.getRequests(name), east.length + west.length - 1, name);
});

test("a collector that was suspended sees the load of all instances again after it resumes", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  const [collector = ""] = fleet.getCollectors(east);
  fleet.run(12, (name) => name === collector);
  fleet.run(12);
  t.is(fleet.getCollectors(east).length, 1);
  for (const name of east) t.is(fleet.getRequests(name), east.length + west.length, name);
});

test("an instance that was suspended neither drops the others' load nor excludes its collector", (t) => {
  const zone = ["a", "b", "c"];
  const fleet = new Fleet({ east: zone });
  for (const name of zone) fleet.get(name).endpoints.get("engine")?.addOwnLoad(2, 10);
  fleet.run(6);
  const [collector = ""] = fleet.getCollectors(zone);
  const suspendedNames = [collector, zone.find((name) => name !== collector) ?? ""];
  for (const suspended of suspendedNames) {
    const before = fleet.getRequests(suspended);
    for (const name of zone) if (name !== suspended) fleet.network.silence(name);
    fleet.run(20, (name) => name === suspended);
    for (const name of zone) fleet.network.restore(name);
    fleet.get(suspended).exchange.noteSuspension(20 * 200);
    fleet.get(suspended).exchange.sendDue();
    t.is(fleet.getRequests(suspended), before, suspended);
    fleet.run(60);
    t.is(fleet.getCollectors(zone).length, 1);
  }
});

test("figures add up over all instances, and the members of a zone get its collector's decisions", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  for (const { name, figures } of fleet.instances) {
    t.is(figures.getTotal("test/arrivals"), east.length + west.length, name);
    t.is(figures.getDecision("test/zones"), 2, name);
  }
});

test("the figures of a zone whose collector is silent lapse at the other zone, which decides without them", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  for (const name of west) fleet.network.silence(name);
  fleet.run(24);
  for (const name of east) {
    t.is(fleet.get(name).figures.getTotal("test/arrivals"), east.length, name);
    t.is(fleet.get(name).figures.getDecision("test/zones"), 1, name);
  }
});

test("while the collector is silent a member keeps the last figures, and knows how old they are", (t) => {
  const fleet = createLoadedFleet();
  fleet.run(6);
  const [collector = ""] = fleet.getCollectors(east);
  const [member = ""] = east.filter((name) => name !== collector);
  t.true(fleet.get(member).figures.getAgeMs() <= tickMs);
  fleet.network.silence(collector);
  fleet.run(3);
  t.is(fleet.get(member).figures.getTotal("test/arrivals"), east.length + west.length);
  t.true(fleet.get(member).figures.getAgeMs() >= 2 * tickMs);
});

// Fails where a message has more than a pair for an endpoint, which instances of an earlier version reject as a whole.
test("unread prompt tokens arrive under keys that an instance of an earlier version accepts", (t) => {
  const loads = new Map([["engine@7", { requests: 2, tokenLayers: 30, promptTokens: 900 }]]);
  const message = {
    ...toLoadMessage(loads),
    ...toFigureEntries(new Map([["test/a", 1.5]]), new Map([["test/b", 2]])),
  };
  t.true(loadSchema.safeParse(message).success);
  t.deepEqual(toLoads(message), loads);
  t.deepEqual(readFigures(message), new Map([["test/a", 1.5]]));
  t.deepEqual(readDecisions(message), new Map([["test/b", 2]]));
});
