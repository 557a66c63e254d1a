/** What counts as a crash, and what clears a request. */
import test from "ava";
import { beginningMs, CrashDetector, type TrackedRun } from "../../crashes/CrashDetector.js";
import { noCrashReports, type ToldCrashes, digestRequest, type ProbeResult } from "@shedtiller/crashes";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { SilentSink } from "../SilentSink.js";
import { SimulatedClock } from "../patterns/SimulatedClock.js";

const ids = ["i-1", "i-2", "i-3", "i-4"];

class Scene {
  readonly clock = new SimulatedClock();
  readonly endpoints = new EndpointTable(this.clock.nowMs);
  readonly told: ToldCrashes[] = [];
  probeResult: ProbeResult = "refused";
  probes = 0;
  trialRank = 0;
  readonly crashed: string[] = [];
  readonly watch = new CrashDetector({
    endpoints: this.endpoints,
    log: new DecisionLog(new SilentSink(), this.clock.nowMs),
    probe: () => {
      this.probes += 1;
      return Promise.resolve(this.probeResult);
    },
    broadcast: (news) => this.told.push(news),
    onCrash: ({ id }) => this.crashed.push(id),
    getTrialRank: () => this.trialRank,
    nowMs: this.clock.nowMs,
    pause: this.clock.sleep,
  });

  constructor(changes: Partial<ListedEndpoint> = {}) {
    this.list(changes);
  }

  list(changes: Partial<ListedEndpoint>, listed: readonly string[] = ids): void {
    this.endpoints.setAll(new Map(listed.map((id) => [id, createListed(id, changes)])));
  }

  get(id: string): Endpoint {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) throw new RangeError(id);
    return endpoint;
  }

  createRun(endpointId: string, changes: Partial<TrackedRun> = {}): TrackedRun {
    return {
      request: { digest: "a" },
      endpointId,
      hasBegun: true,
      firstEventAtMs: undefined,
      ...changes,
    };
  }

  /** A run ends well. */
  complete(endpointId: string, request: typeof soundRequest): void {
    const run = this.createRun(endpointId, { request });
    this.watch.noteCompleted("streaming", request, run, this.get(endpointId));
  }

  /** A run loses its connection at its beginning. */
  async lose(endpointId: string, changes: Partial<TrackedRun> = {}): Promise<void> {
    await this.watch.noteLost(this.createRun(endpointId, changes), this.get(endpointId));
  }
}

test("a connection that ends is no crash while the endpoint still takes connections", async (t) => {
  const scene = new Scene();
  scene.probeResult = "open";
  for (const id of ids) await scene.lose(id);
  t.true(scene.watch.isQuiet);
  t.deepEqual(scene.told, []);
});

test("an endpoint that refuses connections has crashed: its runs at their beginning count, and peers are told", async (t) => {
  const scene = new Scene();
  await scene.lose("i-1");
  t.is(scene.watch.ledger.getWeight("a"), 1);
  t.deepEqual(scene.told, [
    { ...noCrashReports, crashes: [{ lifeId: "i-1", ageMs: 0, suspects: [["a", 1]] }] },
  ]);
  await scene.lose("i-2");
  t.is(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
  await scene.lose("i-3");
  t.true((scene.watch.getQuarantineMs({ digest: "a" }) ?? 0) > 0);
  t.is(scene.watch.getQuarantineMs({ digest: "b" }), undefined);
});

test("runs that are lost together are told with one probe", async (t) => {
  const scene = new Scene();
  const digests = ["a", "b", "c"];
  await Promise.all(digests.map((digest) => scene.lose("i-1", { request: { digest } })));
  t.is(scene.probes, 1);
  t.is(scene.told.length, 1);
});

test("an endpoint that leaves as planned crashes nobody's request", async (t) => {
  const draining = new Scene({ isDraining: true });
  for (const id of ids) await draining.lose(id);
  const gone = new Scene();
  const endpoints = ids.map((id) => gone.get(id));
  gone.list({}, []);
  for (const endpoint of endpoints) await gone.watch.noteLost(gone.createRun(endpoint.id), endpoint);
  t.is(draining.watch.ledger.getStanding("a"), "unknown");
  t.is(gone.watch.ledger.getStanding("a"), "unknown");
});

test("where nothing answers, the list decides: a crash if the entry goes, a cut if it stays", async (t) => {
  const scene = new Scene();
  scene.probeResult = "nothing";
  await scene.lose("i-1");
  await scene.lose("i-2");
  t.is(scene.watch.ledger.getWeight("a"), 0);
  scene.list({}, ["i-2", "i-3", "i-4"]);
  t.is(scene.watch.ledger.getWeight("a"), 1);
  await scene.clock.run(60_000);
  t.is(scene.watch.ledger.getWeight("a"), 1);
});

test("an endpoint that shows another start of its process has crashed", async (t) => {
  const scene = new Scene({ bornAtMs: 1 });
  scene.probeResult = "open";
  const before = scene.get("i-1");
  scene.endpoints.noteStart("i-1", 2, []);
  await scene.watch.noteLost(scene.createRun("i-1"), before);
  t.is(scene.watch.ledger.getWeight("a"), 1);
});

test("a run that had outlived its beginning is no suspect, and clears its request", async (t) => {
  const scene = new Scene();
  await scene.clock.run(10_000);
  await scene.lose("i-1");
  await scene.lose("i-2");
  await scene.lose("i-3", { firstEventAtMs: scene.clock.nowMs() - beginningMs });
  t.is(scene.watch.ledger.getWeight("a"), 0);
  t.is(scene.told.at(-1)?.clearings.length, 1);
});

test("an equal request that has outlived its beginning here clears what peers tell", async (t) => {
  const scene = new Scene();
  await scene.clock.run(10_000);
  scene.watch.begin(scene.createRun("i-4", { firstEventAtMs: scene.clock.nowMs() - 2 * beginningMs }));
  const crashes = ["i-1", "i-2", "i-3"].map((lifeId) => ({
    lifeId,
    ageMs: 0,
    suspects: [["a", 1]] as [string, number][],
  }));
  scene.watch.take({ ...noCrashReports, crashes });
  t.is(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
  t.is(scene.told.at(-1)?.clearings[0]?.digest, "a");
});

test("a suspect has one run at its beginning at a time", async (t) => {
  const scene = new Scene();
  await scene.lose("i-1");
  const run = scene.createRun("i-2");
  scene.watch.begin(run);
  let isOver = false;
  void scene.watch.waitForTurn({ digest: "a" }).then(() => (isOver = true));
  await scene.clock.run(100);
  t.false(isOver);
  scene.watch.end(run);
  await scene.clock.run(200);
  t.true(isOver);
});

test("suspects keep apart from each other, and nobody else from them", async (t) => {
  const scene = new Scene();
  const b = { digest: "b" };
  await Promise.all([scene.lose("i-1"), scene.lose("i-1", { request: b })]);
  scene.watch.begin(scene.createRun("i-2"));
  t.deepEqual(scene.watch.getAvoidedEndpointIds(b), ["i-2"]);
  t.deepEqual(scene.watch.getAvoidedEndpointIds({ digest: "c" }), []);
});

test("after the hold the instances take turns to try the request, one at a time, and each tells the others", async (t) => {
  const scene = new Scene();
  for (const id of ["i-1", "i-2", "i-3"]) await scene.lose(id);
  const leftMs = scene.watch.getQuarantineMs({ digest: "a" }) ?? 0;
  await scene.clock.run(scene.clock.nowMs() + leftMs);
  scene.trialRank = 2;
  t.not(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
  await scene.clock.run(scene.clock.nowMs() + 600);
  t.is(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
  scene.watch.begin(scene.createRun("i-4"));
  t.not(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
  t.is(scene.told.at(-1)?.trials[0]?.digest, "a");
  await scene.lose("i-4");
  t.true((scene.watch.getQuarantineMs({ digest: "a" }) ?? 0) > leftMs);
});

test("a request that is tried elsewhere is not tried here meanwhile", async (t) => {
  const scene = new Scene();
  for (const id of ["i-1", "i-2", "i-3"]) await scene.lose(id);
  await scene.clock.run(scene.clock.nowMs() + (scene.watch.getQuarantineMs({ digest: "a" }) ?? 0));
  scene.watch.take({ ...noCrashReports, trials: [{ digest: "a", ageMs: 0 }] });
  t.not(scene.watch.getQuarantineMs({ digest: "a" }), undefined);
});

const asked = { method: "POST", path: "/a/x", accountName: "farm", body: Buffer.from("{}") };
const soundRequest = { identity: asked, digest: digestRequest(asked) };

test("a request equal to one that ended well of late is not held for crashes that it was at", async (t) => {
  const scene = new Scene();
  await scene.clock.run(10_000);
  scene.complete("i-4", soundRequest);
  await scene.clock.run(12_000);
  for (const id of ids) await scene.lose(id, { request: soundRequest });
  t.is(scene.watch.getQuarantineMs(soundRequest), undefined);
  t.is(scene.told[0]?.clearings[0]?.digest, soundRequest.digest, "told before the crash is counted");
});

test("an instance that is told of a crash knows its own sound requests", async (t) => {
  const scene = new Scene();
  await scene.clock.run(10_000);
  scene.complete("i-4", soundRequest);
  await scene.clock.run(12_000);
  const suspects: [string, number][] = [[soundRequest.digest, 1]];
  const crashes = ids.map((lifeId) => ({ lifeId, ageMs: 0, suspects }));
  scene.watch.take({ ...noCrashReports, crashes });
  t.is(scene.watch.getQuarantineMs(soundRequest), undefined);
});

test("requests that the same crashes speak against are tried one at a time, within seconds, and the sound ones are let go", async (t) => {
  const scene = new Scene();
  const digests = ["crashing", "sound 1", "sound 2"];
  for (const id of ["i-1", "i-2", "i-3"]) {
    await Promise.all(digests.map((digest) => scene.lose(id, { request: { digest } })));
    await scene.clock.run(scene.clock.nowMs() + 1_000);
  }
  const isHeld = (digest: string): boolean => scene.watch.getQuarantineMs({ digest }) !== undefined;
  t.true(digests.every(isHeld));
  await scene.clock.run(scene.clock.nowMs() + 3_000);
  const run = scene.createRun("i-4", { request: { digest: "sound 1" } });
  t.false(isHeld("sound 1"));
  scene.watch.begin(run);
  t.true(digests.every(isHeld), "two that are tried at once could crash together");
  scene.watch.end(run);
  scene.watch.noteSurvived(run.request);
  t.false(isHeld("sound 1"));
  t.false(isHeld("sound 2"));
  await scene.lose("i-4", { request: { digest: "crashing" } });
  t.true((scene.watch.getQuarantineMs({ digest: "crashing" }) ?? 0) > 60_000);
});

test("a run that ends well right before its endpoint crashes is a suspect, and no proof that its request is sound", async (t) => {
  const scene = new Scene();
  for (const id of ["i-1", "i-2", "i-3"]) {
    scene.complete(id, soundRequest);
    await scene.lose(id, { request: { digest: "other" } });
    await scene.clock.run(scene.clock.nowMs() + 1_000);
  }
  t.not(scene.watch.getQuarantineMs(soundRequest), undefined);
});

test("of a suspect whose run ended well it is asked whether its endpoint lives", async (t) => {
  const scene = new Scene();
  await scene.lose("i-1", { request: soundRequest });
  for (const id of ["i-2", "i-3"]) {
    scene.complete(id, soundRequest);
    await scene.clock.run(scene.clock.nowMs() + 1_000);
  }
  t.not(scene.watch.getQuarantineMs(soundRequest), undefined);
});

// Guards against a crashed endpoint that goes on counting as one of those that hold its layers, until the next request meets it.
test("an endpoint that turns out to have crashed is told of at once, one that takes connections is not", async (t) => {
  const scene = new Scene();
  scene.probeResult = "open";
  await scene.lose("i-1");
  t.deepEqual(scene.crashed, []);
  scene.probeResult = "refused";
  await scene.lose("i-2");
  t.deepEqual(scene.crashed, ["i-2"]);
});
