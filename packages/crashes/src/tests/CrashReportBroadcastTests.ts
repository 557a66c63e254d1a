/** Tests that crash reports go to all instances of the sender's zone and to a few of each other zone, which forward new reports. */
import test from "ava";
import type { Member, NoticeHandler, PeerIdentity } from "@shedtiller/membership";
import { CrashReportBroadcast } from "../CrashReportBroadcast.js";
import { CrashLedger } from "../CrashLedger.js";
import { noCrashReports, type CrashReportsMessage } from "../crashMessages.js";

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
    lostSinceMonotonicMs: 0,
    heartbeat: {},
  };
}

function create() {
  const recipients: string[] = [];
  const invalid: string[] = [];
  const handlers = new Map<string, NoticeHandler>();
  const linked: ((peer: PeerIdentity) => void)[] = [];
  const ledger = new CrashLedger(() => 1_000_000);
  const broadcast = new CrashReportBroadcast({
    membership: {
      self,
      getLinked: () => peers.map(toMember),
      notifyAll: (_topic, _body, isRecipient = () => true) => {
        recipients.push(...peers.filter((peer) => isRecipient(toMember(peer))).map((peer) => peer.name));
      },
      onLinked: (listener) => void linked.push(listener),
      onNotice: (topic, handler) => void handlers.set(topic, handler),
    },
    onInvalid: (_topic, from) => invalid.push(from.name),
    applyUpdate: (reports) => ledger.mergeReports(reports),
    getFullState: () => ledger.getAllReports(),
    random: () => 0,
  });
  const receive = (body: unknown, from: PeerIdentity | undefined): void => {
    for (const handler of handlers.values()) handler(body, from ?? self);
  };
  return { broadcast, ledger, recipients, invalid, receive, linked };
}

const reports: CrashReportsMessage = {
  ...noCrashReports,
  crashes: [{ lifeId: "i-1", ageMs: 5, suspects: [["d", 1]] }],
};

test("reports of this instance go to all instances of its zone and to two of each other zone", (t) => {
  const { broadcast, recipients } = create();
  broadcast.broadcast(reports);
  t.deepEqual(recipients, ["a2", "a3", "b1", "b2"]);
});

test("a report from another zone is forwarded once within the recipient's zone; a report from the same zone is not forwarded", (t) => {
  const { recipients, receive } = create();
  receive(reports, peers[3]);
  receive(reports, peers[4]);
  t.deepEqual(recipients, ["a2", "a3"]);
  receive({ ...reports, crashes: [{ lifeId: "i-2", ageMs: 5, suspects: [["d", 1]] }] }, peers[0]);
  t.deepEqual(recipients, ["a2", "a3"]);
});

test("a new link gets all reports, or no message if there are none", (t) => {
  const { ledger, recipients, linked } = create();
  const link = (name: string): void => {
    for (const listener of linked) listener({ name, availabilityZone: name.slice(0, 1) });
  };
  link("b4");
  t.deepEqual(recipients, []);
  ledger.noteCrash("i-1", 999_000, new Map([["d", 1]]));
  link("b4");
  t.deepEqual(recipients, ["b4"]);
});

test("an invalid message changes nothing", (t) => {
  const { ledger, invalid, receive } = create();
  for (const body of [null, {}, { ...reports, crashes: [{ lifeId: 7 }] }, { ...reports, holds: "none" }])
    receive(body, peers[0]);
  t.is(invalid.length, 4);
  t.true(ledger.isEmpty);
});
