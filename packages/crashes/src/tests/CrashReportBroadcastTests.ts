/** Tests that crash reports go to all instances of the sender's zone and to a few of each other zone, which forward new reports. */
import test from "ava";
import {
  MessageClocks,
  type ClockReading,
  type Member,
  type NoticeHandler,
  type PeerIdentity,
} from "@shedtiller/membership";
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

/** A clock that all instances share. */
class SharedClock extends MessageClocks {
  nowMs = 1_000_000;

  override read(): ClockReading {
    return { nowMs: this.nowMs, clockId: "shared" };
  }

  override getDelayMs(_peer: string, reading: ClockReading | undefined): number {
    return reading === undefined ? 0 : this.nowMs - reading.nowMs;
  }
}

function create() {
  const clock = new SharedClock();
  const sent: unknown[] = [];
  const recipients: string[] = [];
  const invalid: string[] = [];
  const handlers = new Map<string, NoticeHandler>();
  const linked: ((peer: PeerIdentity) => void)[] = [];
  const ledger = new CrashLedger(() => clock.nowMs);
  const broadcast = new CrashReportBroadcast({
    membership: {
      self,
      getLinked: () => peers.map(toMember),
      notifyAll: (_topic, body, isRecipient = () => true) => {
        sent.push(body);
        recipients.push(...peers.filter((peer) => isRecipient(toMember(peer))).map((peer) => peer.name));
      },
      onLinked: (listener) => void linked.push(listener),
      onNotice: (topic, handler) => void handlers.set(topic, handler),
    },
    clocks: clock,
    onInvalid: (_topic, from) => invalid.push(from.name),
    applyUpdate: (reports) => ledger.mergeReports(reports),
    getFullState: () => ledger.getAllReports(),
    random: () => 0,
  });
  const receive = (body: unknown, from: PeerIdentity | undefined): void => {
    for (const handler of handlers.values()) handler(body, from ?? self);
  };
  return { clock, sent, broadcast, ledger, recipients, invalid, receive, linked };
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

const heldUpMs = 12_000;

// Guards against a sound request that is suspected although it has survived since the crash, of which a cut has held up the report.
test("a crash whose report was held up does not count against a request that has survived since", (t) => {
  const sender = create();
  const receiver = create();
  sender.broadcast.broadcast(reports);
  receiver.clock.nowMs += heldUpMs / 2;
  receiver.ledger.noteHarmless("d", receiver.clock.nowMs);
  receiver.clock.nowMs += heldUpMs / 2;
  receiver.receive(sender.sent[0], peers[0]);
  t.is(receiver.ledger.getStatus("d"), "unknown");
  t.is(receiver.ledger.getWeight("d"), 0);
});

// Guards against a request that crashes an endpoint more since its quarantine ends with a survival from before the crashes.
test("a survival whose report was held up does not release a request that has crashed endpoints since", (t) => {
  const sender = create();
  const receiver = create();
  sender.broadcast.broadcast({ ...noCrashReports, clearings: [{ digest: "d", ageMs: 0 }] });
  for (let crash = 0; crash < 4; crash++) {
    receiver.clock.nowMs += heldUpMs / 4;
    receiver.ledger.noteCrash(`i-${crash}`, receiver.clock.nowMs, new Map([["d", 1]]));
  }
  t.is(receiver.ledger.getStatus("d"), "held");
  const leftMs = receiver.ledger.getQuarantineLeftMs("d");
  receiver.receive(sender.sent[0], peers[0]);
  t.is(receiver.ledger.getStatus("d"), "held");
  t.is(receiver.ledger.getQuarantineLeftMs("d"), leftMs);
});

test("a report is as old at each instance that forwards it, and one of an earlier build counts from its arrival", (t) => {
  const sender = create();
  const forwarder = create();
  const receiver = create();
  sender.broadcast.broadcast(reports);
  forwarder.clock.nowMs += heldUpMs;
  forwarder.receive(sender.sent[0], peers[3]);
  receiver.clock.nowMs += 2 * heldUpMs;
  receiver.receive(forwarder.sent[0], peers[0]);
  t.is(receiver.ledger.getAllReports().crashes[0]?.ageMs, 2 * heldUpMs + 5);
  const undated = create();
  undated.receive(reports, peers[0]);
  t.is(undated.ledger.getAllReports().crashes[0]?.ageMs, 5);
});
