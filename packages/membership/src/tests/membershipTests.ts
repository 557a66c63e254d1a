/** Links, liveness and zone roles of instances on loopback. */
import * as net from "node:net";
import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import { Timeline } from "@shedtiller/timeline";
import test, { type ExecutionContext } from "ava";
import * as fc from "fast-check";
import { Packr } from "msgpackr";
import * as ws from "ws";
import { getBudgetIntervalMs } from "../controlBudget.js";
import { Membership } from "../Membership.js";
import { decodePeerFrame } from "../PeerLink.js";

const waitMs = 20_000;

class Peers {
  readonly members = new Map<string, Membership>();
  readonly stops = new Map<string, AbortController>();

  async add(name: string, availabilityZone: string, secret = "the same secret"): Promise<Membership> {
    const self = { name, availabilityZone };
    const membership = new Membership({
      self,
      secret,
      timeline: new Timeline(name),
      host: "127.0.0.1",
      port: 0,
    });
    await membership.listen();
    const stop = new AbortController();
    void membership.run(stop.signal);
    this.members.set(name, membership);
    this.stops.set(name, stop);
    return membership;
  }

  /** Sets the list of all instances on each instance. */
  setListedOnAll(): void {
    const listed = [...this.members.values()].map(({ self, port }): ListedInstance => {
      return { ...self, role: "entry", address: `127.0.0.1:${port}`, state: "live" };
    });
    for (const membership of this.members.values()) membership.setListed(listed);
  }

  kill(name: string): void {
    this.stops.get(name)?.abort();
    this.members.get(name)?.close();
    this.members.delete(name);
  }

  close(): void {
    for (const name of [...this.members.keys()]) this.kill(name);
  }
}

/** Forwards connections to a port, and holds all data back while it is paused. */
class PausableRelay {
  /** Number of connections that were accepted. */
  accepted = 0;
  private readonly _sockets = new Set<net.Socket>();
  private readonly _clients = new Set<net.Socket>();
  private readonly _server = net.createServer((client) => {
    const target = net.connect(this._targetPort, "127.0.0.1");
    this.accepted += 1;
    this._clients.add(client.once("close", () => this._clients.delete(client)));
    for (const socket of [client, target]) this._sockets.add(socket.on("error", () => undefined));
    client.pipe(target).pipe(client);
  });

  constructor(private readonly _targetPort: number) {}

  /** Number of connections that are open. */
  get open(): number {
    return this._clients.size;
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this._server.listen(0, "127.0.0.1", resolve));
    return (this._server.address() as net.AddressInfo).port;
  }

  setPaused(isPaused: boolean): void {
    for (const socket of this._sockets) {
      if (isPaused) socket.pause();
      else socket.resume();
    }
  }

  /** Like {@link setPaused}, for the data in one direction only. */
  setClientsPaused(isPaused: boolean): void {
    for (const client of this._clients) {
      if (isPaused) client.pause();
      else client.resume();
    }
  }

  /** Refuses further connections. */
  stopAccepting(): void {
    this._server.close();
  }

  close(): void {
    this._server.close();
    for (const socket of this._sockets) socket.destroy();
  }
}

// Guards against requests that are given up for a peer that is suspended for a moment and then answers them.
test("a peer that is silent for a moment counts as not linked, and still answers the requests that it has", async (t) => {
  const { a, b, relay } = await linkThroughRelay(t);
  const work = new utils.Deferred<string>();
  let isAsked = false;
  b.onRequest("work", () => {
    isAsked = true;
    return work.promise;
  });
  const reply = a.request("b", "work", null, waitMs);
  t.true(await utils.waitUntil(() => isAsked, waitMs));
  relay.setPaused(true);
  t.true(await utils.waitUntil(() => a.getLinked().length === 0, waitMs));
  t.deepEqual(a.getZoneRoleCandidates(), ["a"]);
  relay.setPaused(false);
  t.true(await utils.waitUntil(() => a.getLinked().length === 1, waitMs));
  work.resolve("done");
  const answer = await reply;
  t.is(answer.ok ? answer.val : answer.val.message, "done");
});

/** Holds up the event loop. */
function blockEventLoop(durationMs: number): void {
  const endMs = utils.monotonicMs() + durationMs;
  while (utils.monotonicMs() < endMs);
}

// Guards against requests that count as unanswered although their replies have arrived, since the process was held up.
test.serial("a reply that arrives in time counts although its time passes before it is read", async (t) => {
  const peers = new Peers();
  t.teardown(() => peers.close());
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  const timeoutMs = 300;
  b.onRequest("work", () => {
    // Runs once the reply has been sent, and before it is read.
    void Promise.resolve().then(() => process.nextTick(blockEventLoop, 2 * timeoutMs));
    return "done";
  });
  peers.setListedOnAll();
  t.true(await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs));
  const answer = await a.request("b", "work", null, timeoutMs);
  t.is(answer.ok ? answer.val : answer.val.message, "done");
});

interface RelayedPeers {
  /** Dials the link. */
  readonly a: Membership;
  /** Accepts the link. */
  readonly b: Membership;
  readonly relay: PausableRelay;
}

/** Creates two instances of one zone whose link passes through a relay. */
async function linkThroughRelay(t: ExecutionContext, isAListed = true): Promise<RelayedPeers> {
  const peers = new Peers();
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  const relay = new PausableRelay(b.port);
  const port = await relay.listen();
  t.teardown(() => {
    peers.close();
    relay.close();
  });
  const entry = { role: "entry", state: "live" } as const;
  a.setListed([{ ...b.self, ...entry, address: `127.0.0.1:${port}` }]);
  if (isAListed) b.setListed([{ ...a.self, ...entry, address: `127.0.0.1:${a.port}` }]);
  t.true(await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs));
  return { a, b, relay };
}

// Guards against a dead link that is kept for the requests on it, and not replaced meanwhile.
test("a link that is silent for good is replaced before it is closed", async (t) => {
  const { a, b, relay } = await linkThroughRelay(t);
  a.onRequest("echo", (body) => body);
  relay.setPaused(true);
  t.true(await utils.waitUntil(() => relay.accepted === 2, waitMs));
  t.true(await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs));
  t.is(relay.open, 2);
  t.is((await b.request("a", "echo", "hello", waitMs)).unwrap(), "hello");
});

// Guards against a peer that stays without a link, or misses what was broadcast meanwhile, although it is heard again.
test("a link that is heard again before it is replaced is used again, and its peer counts as newly linked", async (t) => {
  const { a, b, relay } = await linkThroughRelay(t, false);
  b.onRequest("echo", (body) => body);
  const linked: (boolean | undefined)[] = [];
  a.onLinked((_peer, isResumed) => linked.push(isResumed));
  relay.stopAccepting();
  relay.setPaused(true);
  t.true(await utils.waitUntil(() => a.getLinked().length === 0, waitMs));
  t.true(a.hasOpenLink("b"));
  relay.setPaused(false);
  t.true(await utils.waitUntil(() => a.getLinked().length === 1, waitMs));
  t.deepEqual(linked, [true]);
  t.is((await a.request("b", "echo", "hello", waitMs)).unwrap(), "hello");
});

// Guards against a link on which only one side receives anything: that side would keep it, and refuse the link that the other side dials.
test("a link that is silent in one direction is replaced on both sides, and closed once nothing waits on it", async (t) => {
  const { a, b, relay } = await linkThroughRelay(t);
  const work = new utils.Deferred<string>();
  let isAsked = false;
  a.onRequest("work", () => {
    isAsked = true;
    return work.promise;
  });
  a.onRequest("echo", (body) => body);
  const reply = b.request("a", "work", null, waitMs);
  t.true(await utils.waitUntil(() => isAsked, waitMs));
  relay.setClientsPaused(true);
  t.true(await utils.waitUntil(() => relay.accepted === 2 && b.getLinked().length === 1, waitMs));
  t.is((await b.request("a", "echo", "hello", waitMs)).unwrap(), "hello");
  relay.setClientsPaused(false);
  work.resolve("done");
  t.is((await reply).unwrap(), "done");
  t.true(await utils.waitUntil(() => relay.open === 1, waitMs));
  t.deepEqual([a.getLinked().length, b.getLinked().length], [1, 1]);
});

test("instances establish links and answer requests; a request to an unknown instance fails", async (t) => {
  const peers = new Peers();
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  b.onRequest("echo", (body, from) => `${String(body)} from ${from.name}`);
  peers.setListedOnAll();
  t.true(await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs));
  t.is((await a.request("b", "echo", "hello", 2_000)).unwrap(), "hello from a");
  t.true((await a.request("nobody", "echo", "hello", 2_000)).err);
  peers.close();
});

// Guards against an instance that peers take for leaving after its planned restart, so that they ask it for nothing any more.
test("a peer that has restarted after a planned stop does not count as leaving", async (t) => {
  const peers = new Peers();
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  peers.setListedOnAll();
  t.true(await utils.waitUntil(() => a.getLinked().length === 1, waitMs));
  b.leave();
  t.true(await utils.waitUntil(() => a.getMember("b")?.isLeaving === true, waitMs));
  peers.kill("b");
  t.true(await utils.waitUntil(() => a.getLinked().length === 0, waitMs));
  const restarted = await peers.add("b", "x");
  restarted.setListed([{ ...a.self, role: "entry", address: `127.0.0.1:${a.port}`, state: "live" }]);
  t.true(await utils.waitUntil(() => a.getLinked().length === 1, waitMs));
  t.false(a.getMember("b")?.isLeaving);
  peers.close();
});

test("an instance that leaves says so to a peer whose link is established later", async (t) => {
  const peers = new Peers();
  const a = await peers.add("a", "x");
  a.leave();
  const b = await peers.add("b", "x");
  peers.setListedOnAll();
  t.true(await utils.waitUntil(() => b.getMember("a")?.isLeaving === true, waitMs));
  peers.close();
});

test("a peer without the shared secret gets no link", async (t) => {
  const peers = new Peers();
  const [a, unauthenticated] = [await peers.add("a", "x"), await peers.add("b", "x", "another secret")];
  const c = await peers.add("c", "x");
  peers.setListedOnAll();
  t.true(await utils.waitUntil(() => a.getLinked().length === 1 && c.getLinked().length === 1, waitMs));
  t.is(unauthenticated.getLinked().length, 0);
  peers.close();
});

test("a dialling side with a wrong proof gets no welcome, even if it does not check the other side", async (t) => {
  const peers = new Peers();
  const a = await peers.add("a", "x");
  const intruder = new ws.WebSocket(`ws://127.0.0.1:${a.port}/peer`);
  const received: string[] = [];
  intruder.on("error", () => undefined);
  intruder.on("message", (data) => {
    const frame = decodePeerFrame(data).unwrap();
    received.push(frame.kind);
    const hello = { kind: "hello", name: "z", availabilityZone: "x", nonce: "n", proof: "guessed" };
    if (frame.kind === "challenge") intruder.send(new Packr({ useRecords: false }).pack(hello));
    else intruder.close();
  });
  await new Promise((resolve) => intruder.once("close", resolve));
  t.deepEqual(received, ["challenge"]);
  t.is(a.getLinked().length, 0);
  peers.close();
});

test("a malformed frame closes its own connection and no other", async (t) => {
  const peers = new Peers();
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  peers.setListedOnAll();
  await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs);
  const intruder = new ws.WebSocket(`ws://127.0.0.1:${a.port}/peer`);
  const closed = new Promise((resolve) => intruder.once("close", resolve));
  intruder.on("error", () => undefined);
  intruder.once("open", () => intruder.send(Buffer.from([0xc1, 0xff, 0x00])));
  await closed;
  t.is(a.getLinked().length, 1);
  peers.close();
});

test("every zone role has one owner, and moves when the owner stops", async (t) => {
  const peers = new Peers();
  const names = ["a", "b", "c"];
  for (const name of names) await peers.add(name, "x");
  peers.setListedOnAll();
  const areAllLinked = (count: number) => () =>
    [...peers.members.values()].every((m) => m.getLinked().length === count);
  t.true(await utils.waitUntil(areAllLinked(2), waitMs));
  const roles = Array.from({ length: 30 }, (_value, index) => `report:g${index}`);
  const countOwners = (role: string): number =>
    [...peers.members.values()].filter((m) => m.ownsZoneRole(role)).length;
  for (const role of roles) t.is(countOwners(role), 1);
  peers.kill("a");
  t.true(await utils.waitUntil(areAllLinked(1), waitMs));
  for (const role of roles) t.is(countOwners(role), 1);
  peers.close();
});

test("an instance that shuts down hands its zone roles to the others at once", async (t) => {
  const peers = new Peers();
  const [a, b] = [await peers.add("a", "x"), await peers.add("b", "x")];
  peers.setListedOnAll();
  await utils.waitUntil(() => a.getLinked().length === 1 && b.getLinked().length === 1, waitMs);
  a.leave();
  t.true(await utils.waitUntil(() => b.getZoneRoleCandidates().length === 1, waitMs));
  t.deepEqual(b.getZoneRoleCandidates(), ["b"]);
  t.deepEqual(a.getZoneRoleCandidates(), ["b"]);
  peers.close();
});

test("an instance without a link to any other zone reports the time since which it has been partitioned", async (t) => {
  const peers = new Peers();
  const [a] = [await peers.add("a", "x"), await peers.add("b", "y")];
  peers.setListedOnAll();
  await utils.waitUntil(() => a.getLinked().length === 1, waitMs);
  t.is(a.getCutOffSinceMs(), undefined);
  peers.kill("b");
  t.true(await utils.waitUntil(() => a.getCutOffSinceMs() !== undefined, waitMs));
  peers.close();
});

test("the interval of a message grows with its receivers, so that its bandwidth stays within the budget", (t) => {
  const options = { messageBytes: 100, bytesPerSecond: 1_000, floorMs: 50 };
  t.is(getBudgetIntervalMs({ ...options, receivers: 0 }), 50);
  t.is(getBudgetIntervalMs({ ...options, receivers: 100 }), 10_000);
});

test("any bytes decode to a frame or to a typed error", (t) => {
  const packr = new Packr({ useRecords: false });
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array({ maxLength: 80 }),
        fc.object().map((value) => packr.pack(value)),
      ),
      (bytes) => {
        const decoded = decodePeerFrame(bytes);
        return decoded.ok || decoded.val.code === "invalid_input";
      },
    ),
    { seed: 9, numRuns: 2_000 },
  );
  t.pass();
});
