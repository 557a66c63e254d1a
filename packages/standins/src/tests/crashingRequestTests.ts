/**
 * Guards against a request that crashes every engine of its pipeline. The entry instance retried such a request at one replica after the
 * other, and had no record of crashes for a repetition under another id. Before the quarantine, one request crashed engines 204 times
 * within its three seconds and was never refused.
 */
import { PeerCrashQuarantine } from "@shedtiller/entry";
import { utils } from "@shedtiller/common";
import * as pipeline from "@shedtiller/pipeline";
import { ExpectedTimeChooser, type LayerRange } from "@shedtiller/routing";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import { FakeConnector } from "./FakeConnector.js";

const names = ["w1", "w2", "w3", "w4", "w5", "w6"];
const ranges: Record<string, LayerRange> = Object.fromEntries(names.map((name) => [name, [0, 8]]));
const maxCrashes = 4;

function createQuarantine(connector: FakeConnector): PeerCrashQuarantine {
  const emptyMembership = {
    self: { name: "e1", availabilityZone: "z" },
    getLinked: () => [],
    notifyAll: () => undefined,
    onLinked: () => undefined,
    onNotice: () => undefined,
  };
  return new PeerCrashQuarantine({
    membership: emptyMembership,
    getInstanceNames: () => ["e1"],
    probe: (address) => Promise.resolve(connector.isDown(address) ? "refused" : "open"),
    warn: () => undefined,
  });
}

async function run(
  connector: FakeConnector,
  crashes: PeerCrashQuarantine,
  requestId: string,
  ...traits: readonly string[]
): Promise<string> {
  const random = new utils.RandomSource(3);
  const context = new pipeline.PipelineContext({
    availabilityZone: "z",
    directory: connector.directory,
    connector,
    chooser: new ExpectedTimeChooser(random),
    timeline: new Timeline("e1"),
    random,
    crashes,
  });
  const request = {
    requestId,
    traits,
    model: "m",
    version: "1",
    layerCount: 8,
    promptTokens: [7, 8, 9],
    maxTokens: 4,
    priority: 1,
    deadlineMs: utils.monotonicMs() + 60_000,
  };
  const outcome = await new pipeline.PipelineRun(context, request, new AbortController().signal).run(
    () => undefined,
  );
  return outcome.ok ? "answered" : outcome.val.code;
}

/** Creates a connector whose engines crash at each of many calls, and counts the crashes. */
function createCrashingConnector(): { connector: FakeConnector; getCrashCount: () => number } {
  const calls = Array.from({ length: 40 }, (_, call) => call + 1);
  const faults = names.flatMap((endpoint) =>
    calls.map((atCall) => ({ endpoint, atCall, fault: "dies" as const })),
  );
  const connector = new FakeConnector(ranges, faults);
  const breakEndpoint = connector.breakEndpoint.bind(connector);
  let crashCount = 0;
  connector.breakEndpoint = (endpoint, isCrash) => {
    crashCount += 1;
    breakEndpoint(endpoint, isCrash);
  };
  return { connector, getCrashCount: () => crashCount };
}

test("a request that crashes each engine is quarantined after at most four crashes, and other requests run", async (t) => {
  const { connector, getCrashCount } = createCrashingConnector();
  const crashes = createQuarantine(connector);
  t.is(await run(connector, crashes, "r1", "crashing"), "held_back");
  for (let repeat = 2; repeat <= 5; repeat++)
    t.is(await run(connector, crashes, `r${repeat}`, "crashing"), "held_back");
  t.true(getCrashCount() <= maxCrashes, `${getCrashCount()} crashes`);
  // A request with another digest is not affected.
  const faultless = new FakeConnector(ranges, []);
  t.is(await run(faultless, crashes, "r9", "harmless"), "answered");
});

test("an engine that closes a connection and still accepts new ones does not count as crashed", async (t) => {
  const connector = new FakeConnector(ranges, []);
  const crashes = createQuarantine(connector);
  for (const name of names) await crashes.noteLost(["harmless"], { name, address: name });
  t.is(crashes.getQuarantineMs(["harmless"]), undefined);
});

test("a run that produced a token clears the crash reports of its request", async (t) => {
  const connector = new FakeConnector(
    ranges,
    ["w1", "w2"].map((endpoint) => ({ endpoint, atCall: 1, fault: "dies" as const })),
  );
  const crashes = createQuarantine(connector);
  for (const id of ["r1", "r2", "r3"]) t.is(await run(connector, crashes, id, "harmless"), "answered");
  t.is(crashes.ledger.getWeight("harmless"), 0);
});

// Guards against chats that share one message, such as the system's, which crashes each engine that begins to run it.
test("chats that share only a message that crashes engines crash four at most, and others with the same first message run", async (t) => {
  const { connector, getCrashCount } = createCrashingConnector();
  const faultless = new FakeConnector(ranges, []);
  const crashes = createQuarantine(connector);
  t.is(await run(faultless, crashes, "s", "sound", "part:system"), "answered");
  for (let chat = 0; chat < 5; chat++) {
    await run(connector, crashes, `r${chat}`, `chat-${chat}`, "part:system", "part:crashing");
    t.is(await run(faultless, crashes, `s${chat}`, `sound-${chat}`, "part:system"), "answered");
  }
  t.is(await run(connector, crashes, "r9", "chat-9", "part:crashing"), "held_back");
  t.true(getCrashCount() <= maxCrashes, `${getCrashCount()} crashes`);
});
