/** Word of a crash goes to the own zone and a few of each other one, and these pass on what was news. */
import test from "ava";
import type { Member, NoticeHandler, PeerIdentity } from "@shedtiller/membership";
import { CrashReportBroadcast } from "../CrashReportBroadcast.js";
import { CrashLedger } from "../CrashLedger.js";
import { noCrashReports, type ToldCrashes } from "../crashMessages.js";

const self = { name: "a1", availabilityZone: "a" };
const peers: readonly PeerIdentity[] = ["a2", "a3", "b1", "b2", "b3", "b4"].map((name) => ({
  name,
  availabilityZone: name.slice(0, 1),
}));

function toMember(peer: PeerIdentity): Member {
  return {
    ...peer,
    address: "",
    isLeaving: false,
    lostSinceMs: undefined,
    unlinkedSinceMs: 0,
    heartbeat: {},
  };
}

function create() {
  const told: string[] = [];
  const invalid: string[] = [];
  const handlers = new Map<string, NoticeHandler>();
  const linked: ((peer: PeerIdentity) => void)[] = [];
  const ledger = new CrashLedger(() => 1_000_000);
  const exchange = new CrashReportBroadcast({
    membership: {
      self,
      getLinked: () => peers.map(toMember),
      notifyAll: (_topic, _body, wants = () => true) => {
        told.push(...peers.filter((peer) => wants(toMember(peer))).map((peer) => peer.name));
      },
      onLinked: (listener) => void linked.push(listener),
      onNotice: (topic, handler) => void handlers.set(topic, handler),
    },
    onInvalid: (_topic, from) => invalid.push(from.name),
    take: (news) => ledger.mergeReports(news),
    tellAll: () => ledger.getAllReports(),
    random: () => 0,
  });
  const receive = (body: unknown, from: PeerIdentity | undefined): void => {
    for (const handler of handlers.values()) handler(body, from ?? self);
  };
  return { exchange, ledger, told, invalid, receive, linked };
}

const news: ToldCrashes = {
  ...noCrashReports,
  crashes: [{ lifeId: "i-1", ageMs: 5, suspects: [["d", 1]] }],
};

test("what is found here goes to all of the own zone and to two of each other one", (t) => {
  const { exchange, told } = create();
  exchange.broadcast(news);
  t.deepEqual(told, ["a2", "a3", "b1", "b2"]);
});

test("what another zone tells is passed on in the own zone once; what the own zone tells is not", (t) => {
  const { told, receive } = create();
  receive(news, peers[3]);
  receive(news, peers[4]);
  t.deepEqual(told, ["a2", "a3"]);
  receive({ ...news, crashes: [{ lifeId: "i-2", ageMs: 5, suspects: [["d", 1]] }] }, peers[0]);
  t.deepEqual(told, ["a2", "a3"]);
});

test("a link that comes to stand brings all that is known, and nothing where nothing is", (t) => {
  const { ledger, told, linked } = create();
  const link = (name: string): void => {
    for (const listener of linked) listener({ name, availabilityZone: name.slice(0, 1) });
  };
  link("b4");
  t.deepEqual(told, []);
  ledger.noteCrash("i-1", 999_000, new Map([["d", 1]]));
  link("b4");
  t.deepEqual(told, ["b4"]);
});

test("a message that is not in its form changes nothing", (t) => {
  const { ledger, invalid, receive } = create();
  for (const body of [null, {}, { ...news, crashes: [{ lifeId: 7 }] }, { ...news, holds: "none" }])
    receive(body, peers[0]);
  t.is(invalid.length, 4);
  t.true(ledger.isEmpty);
});
