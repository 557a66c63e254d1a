/** Tests the detection of crashes, and the clearing of suspected requests. */
import test from "ava";
import { noCrashReports } from "@shedtiller/crashes";
import { initialPhaseMs } from "../../crashes/CrashDetector.js";
import {
  CrashDetectorFixture as Fixture,
  createRequest,
  harmlessDigest,
  harmlessRequest,
  identity,
  ids,
} from "./CrashDetectorFixture.js";

test("a closed connection does not count as a crash while the endpoint still accepts connections", async (t) => {
  const fixture = new Fixture();
  fixture.probeResult = "open";
  for (const id of ids) await fixture.lose(id);
  t.true(fixture.detector.isQuiet);
  t.deepEqual(fixture.sent, []);
});

test("a refused connection counts as a crash: it counts against the runs in their initial phase, and is broadcast", async (t) => {
  const fixture = new Fixture();
  await fixture.lose("i-1");
  t.is(fixture.detector.ledger.getWeight("a"), 1);
  t.deepEqual(fixture.sent, [
    { ...noCrashReports, crashes: [{ lifeId: "i-1", ageMs: 0, suspects: [["a", 1]] }] },
  ]);
  await fixture.clock.run(150);
  await fixture.loseInTurn(["i-2"]);
  t.is(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
  await fixture.loseInTurn(["i-3"]);
  t.true((fixture.detector.getQuarantineMs(createRequest("a")) ?? 0) > 0);
  t.is(fixture.detector.getQuarantineMs(createRequest("b")), undefined);
});

test("runs that are lost together need one probe and are reported together", async (t) => {
  const fixture = new Fixture();
  const digests = ["a", "b", "c"];
  await Promise.all(digests.map((digest) => fixture.lose("i-1", { request: createRequest(digest) })));
  t.is(fixture.probes, 1);
  t.is(fixture.sent.length, 1);
});

test("a planned stop of an endpoint makes no request a suspect", async (t) => {
  const draining = new Fixture({ isDraining: true });
  for (const id of ids) await draining.lose(id);
  const gone = new Fixture();
  const endpoints = ids.map((id) => gone.get(id));
  gone.list({}, []);
  for (const endpoint of endpoints) await gone.detector.noteLost(gone.createRun(endpoint.id), endpoint);
  t.is(draining.detector.ledger.getStatus("a"), "unknown");
  t.is(gone.detector.ledger.getStatus("a"), "unknown");
});

test("if a probe gets no answer, the endpoint counts as crashed only if its entry disappears from the list", async (t) => {
  const fixture = new Fixture();
  fixture.probeResult = "nothing";
  await fixture.lose("i-1");
  await fixture.lose("i-2");
  t.is(fixture.detector.ledger.getWeight("a"), 0);
  fixture.list({}, ["i-2", "i-3", "i-4"]);
  t.is(fixture.detector.ledger.getWeight("a"), 1);
  await fixture.clock.run(60_000);
  t.is(fixture.detector.ledger.getWeight("a"), 1);
});

test("a new start of an endpoint's process counts as a crash of the previous one", async (t) => {
  const fixture = new Fixture({ bornAtMs: 1 });
  fixture.probeResult = "open";
  const before = fixture.get("i-1");
  fixture.endpoints.noteStart("i-1", 2, []);
  await fixture.detector.noteLost(fixture.createRun("i-1"), before);
  t.is(fixture.detector.ledger.getWeight("a"), 1);
});

test("a run that survived its initial phase is no suspect, and clears its request", async (t) => {
  const fixture = new Fixture();
  await fixture.clock.run(10_000);
  await fixture.lose("i-1");
  await fixture.lose("i-2");
  await fixture.lose("i-3", { firstEventAtMs: fixture.clock.nowMs() - initialPhaseMs });
  t.is(fixture.detector.ledger.getWeight("a"), 0);
  t.is(fixture.sent.at(-1)?.clearings.length, 1);
});

test("a run that survived its initial phase at this instance clears an identical request that peers report as a suspect", async (t) => {
  const fixture = new Fixture();
  await fixture.clock.run(10_000);
  fixture.detector.begin(
    fixture.createRun("i-4", { firstEventAtMs: fixture.clock.nowMs() - 2 * initialPhaseMs }),
  );
  const crashes = ["i-1", "i-2", "i-3"].map((lifeId) => ({
    lifeId,
    ageMs: 0,
    suspects: [["a", 1]] as [string, number][],
  }));
  fixture.detector.mergeReports({ ...noCrashReports, crashes });
  t.is(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
  t.is(fixture.sent.at(-1)?.clearings[0]?.digest, "a");
});

test("a suspect has at most one run in its initial phase at a time", async (t) => {
  const fixture = new Fixture();
  await fixture.lose("i-1");
  const run = fixture.createRun("i-2");
  fixture.detector.begin(run);
  let isOver = false;
  void fixture.detector.waitForTurn(createRequest("a")).then(() => (isOver = true));
  await fixture.clock.run(100);
  t.false(isOver);
  fixture.detector.end(run);
  await fixture.clock.run(200);
  t.true(isOver);
});

test("suspects avoid the endpoints of other suspects, and other requests don't", async (t) => {
  const fixture = new Fixture();
  const b = createRequest("b");
  await Promise.all([fixture.lose("i-1"), fixture.lose("i-1", { request: b })]);
  fixture.detector.begin(fixture.createRun("i-2"));
  t.deepEqual(fixture.detector.getAvoidedEndpointIds(b), ["i-2"]);
  t.deepEqual(fixture.detector.getAvoidedEndpointIds(createRequest("c")), []);
});

test("after a quarantine the instances try the request one after the other, and report each trial", async (t) => {
  const fixture = new Fixture();
  await fixture.loseInTurn(["i-1", "i-2", "i-3"]);
  const leftMs = fixture.detector.getQuarantineMs(createRequest("a")) ?? 0;
  await fixture.clock.run(fixture.clock.nowMs() + leftMs);
  fixture.trialRank = 2;
  t.not(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
  await fixture.clock.run(fixture.clock.nowMs() + 600);
  t.is(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
  fixture.detector.begin(fixture.createRun("i-4"));
  t.not(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
  t.is(fixture.sent.at(-1)?.trials[0]?.digest, "a");
  await fixture.lose("i-4");
  t.true((fixture.detector.getQuarantineMs(createRequest("a")) ?? 0) > leftMs);
});

// Guards against two instances that begin trials of different requests at the same moment, perhaps at the same engine.
test("the instances take turns for all traits together", async (t) => {
  const fixture = new Fixture();
  await fixture.loseInTurn(["i-1", "i-2", "i-3"], { request: createRequest("a", "b") });
  await fixture.clock.run(fixture.clock.nowMs() + 10_000);
  for (const trait of ["b", "a"]) fixture.detector.getQuarantineMs(createRequest(trait));
  t.deepEqual(fixture.rankedTraits, ["a", "a"]);
});

test("an instance does not try a request during its trial at another instance", async (t) => {
  const fixture = new Fixture();
  await fixture.loseInTurn(["i-1", "i-2", "i-3"]);
  await fixture.clock.run(
    fixture.clock.nowMs() + (fixture.detector.getQuarantineMs(createRequest("a")) ?? 0),
  );
  fixture.detector.mergeReports({ ...noCrashReports, trials: [{ digest: "a", ageMs: 0 }] });
  t.not(fixture.detector.getQuarantineMs(createRequest("a")), undefined);
});

test("a request identical to a recently completed one is not quarantined for crashes of the endpoints that run it", async (t) => {
  const fixture = new Fixture();
  await fixture.clock.run(10_000);
  fixture.complete("i-4", harmlessRequest);
  await fixture.clock.run(12_000);
  await fixture.loseInTurn(ids, { request: harmlessRequest });
  t.is(fixture.detector.getQuarantineMs(harmlessRequest), undefined);
  t.is(fixture.sent[0]?.clearings[0]?.digest, harmlessDigest, "reported before the crash is counted");
});

test("an instance that receives a crash report clears the requests that have recently completed at this instance", async (t) => {
  const fixture = new Fixture();
  await fixture.clock.run(10_000);
  fixture.complete("i-4", harmlessRequest);
  await fixture.clock.run(12_000);
  const suspects: [string, number][] = [[harmlessDigest, 1]];
  const crashes = ids.map((lifeId) => ({ lifeId, ageMs: 0, suspects }));
  fixture.detector.mergeReports({ ...noCrashReports, crashes });
  t.is(fixture.detector.getQuarantineMs(harmlessRequest), undefined);
});

test("suspects of the same crashes are tried one at a time within seconds, and the harmless ones are released", async (t) => {
  const fixture = new Fixture();
  const digests = ["crashing", "sound 1", "sound 2"];
  for (const id of ["i-1", "i-2", "i-3"]) {
    await Promise.all(digests.map((digest) => fixture.lose(id, { request: createRequest(digest) })));
    await fixture.clock.run(fixture.clock.nowMs() + 1_000);
  }
  const isQuarantined = (digest: string): boolean =>
    fixture.detector.getQuarantineMs(createRequest(digest)) !== undefined;
  t.true(digests.every(isQuarantined));
  await fixture.clock.run(fixture.clock.nowMs() + 3_000);
  const run = fixture.createRun("i-4", { request: createRequest("sound 1") });
  t.false(isQuarantined("sound 1"));
  fixture.detector.begin(run);
  t.true(
    digests.every(isQuarantined),
    "two requests that are tried at once could crash an endpoint together",
  );
  fixture.detector.end(run);
  fixture.detector.noteSurvived(run.request);
  t.false(isQuarantined("sound 1"));
  t.false(isQuarantined("sound 2"));
  await fixture.lose("i-4", { request: createRequest("crashing") });
  t.true((fixture.detector.getQuarantineMs(createRequest("crashing")) ?? 0) > 60_000);
});

test("a run that completes right before its endpoint crashes is a suspect, and does not clear its request", async (t) => {
  const fixture = new Fixture();
  for (const id of ["i-1", "i-2", "i-3"]) {
    fixture.complete(id, harmlessRequest);
    await fixture.lose(id, { request: createRequest("other") });
    await fixture.clock.run(fixture.clock.nowMs() + 1_000);
  }
  t.not(fixture.detector.getQuarantineMs(harmlessRequest), undefined);
});

test("the endpoint of a completed run of a suspect is probed", async (t) => {
  const fixture = new Fixture();
  await fixture.lose("i-1", { request: harmlessRequest });
  for (const id of ["i-2", "i-3"]) {
    fixture.complete(id, harmlessRequest);
    await fixture.clock.run(fixture.clock.nowMs() + 1_000);
  }
  t.not(fixture.detector.getQuarantineMs(harmlessRequest), undefined);
});

// Guards against a crashed endpoint that still counts as having its layers loaded until the next request reaches it.
test("a crashed endpoint is reported to the listener at once, and an endpoint that accepts connections is not", async (t) => {
  const fixture = new Fixture();
  fixture.probeResult = "open";
  await fixture.lose("i-1");
  t.deepEqual(fixture.crashed, []);
  fixture.probeResult = "refused";
  await fixture.lose("i-2");
  t.deepEqual(fixture.crashed, ["i-2"]);
});

// Guards against an account whose requests are held back together with one part that crashes endpoints.
test("a run that continues after its first event clears the parts of its prompt, and not the part at fault", async (t) => {
  const fixture = new Fixture();
  for (const [index, id] of ["i-1", "i-2", "i-3"].entries()) {
    await fixture.loseInTurn([id], { request: createRequest(`d${index}`, "part:account", "part:bad") });
    const run = fixture.createRun("i-4", { request: createRequest(`sound${index}`, "part:account") });
    fixture.detector.begin(run);
    void fixture.detector.noteFirstEvent(run);
    await fixture.clock.run(fixture.clock.nowMs() + 2 * initialPhaseMs);
  }
  t.not(fixture.detector.getQuarantineMs(createRequest("new", "part:account", "part:bad")), undefined);
  t.is(fixture.detector.getQuarantineMs(createRequest("new", "part:account")), undefined);
  t.is(fixture.detector.ledger.getWeight("part:account"), 0);
});

// Guards against a blocked event loop, after which the end of a connection is seen later than the time of the initial phase.
test("a run whose connection is lost while the event loop is blocked does not clear its request", async (t) => {
  const fixture = new Fixture();
  await fixture.loseInTurn(["i-1"], { request: createRequest("d", "part:bad") });
  const run = fixture.createRun("i-2", { request: createRequest("e", "part:bad") });
  fixture.detector.begin(run);
  fixture.clock.at(fixture.clock.nowMs() + initialPhaseMs, () => fixture.detector.end(run));
  void fixture.detector.noteFirstEvent(run);
  await fixture.clock.run(fixture.clock.nowMs() + 2 * initialPhaseMs);
  t.is(fixture.detector.ledger.getWeight("part:bad"), 1);
});

// Guards against sound runs from before a part became faulty that end later, and would count as survivals of each new crash.
test("a run that survived its initial phase before a crash does not clear its request of that crash when it completes", async (t) => {
  const fixture = new Fixture();
  const request = { ...createRequest("d", "part:bad"), identity };
  await fixture.clock.run(10_000);
  const run = fixture.createRun("i-4", { request, firstEventAtMs: 9_000 });
  await fixture.loseInTurn(["i-1"], { request: createRequest("e", "part:bad") });
  fixture.detector.noteCompleted("streaming", request, run, fixture.get("i-4"));
  t.true(fixture.detector.ledger.getWeight("part:bad") > 0);
});

// Guards against suspects that wait for a second first engine for good, so that no run ever clears them.
test("the risk of a suspect is high only for some seconds after the latest crash or the end of its quarantine", async (t) => {
  const fixture = new Fixture();
  const request = createRequest("a");
  await fixture.loseInTurn(["i-1", "i-2"]);
  t.is(fixture.detector.getRisk(request), "high");
  await fixture.clock.run(fixture.clock.nowMs() + 6_000);
  t.is(fixture.detector.getRisk(request), "some");
  await fixture.loseInTurn(["i-3"]);
  const leftMs = fixture.detector.getQuarantineMs(request) ?? 0;
  await fixture.clock.run(fixture.clock.nowMs() + leftMs + 1_000);
  t.is(fixture.detector.getRisk(request), "high");
  await fixture.clock.run(fixture.clock.nowMs() + 6_000);
  t.is(fixture.detector.getRisk(request), "some");
});

// Guards against reports of every instance about the parts that all instances know as harmless.
test("a part that was harmless before a crash is not reported, and one that survives after the crash is", async (t) => {
  const fixture = new Fixture();
  await fixture.clock.run(10_000);
  const request = createRequest("sound", "part:account");
  fixture.detector.noteSurvived(request);
  await fixture.clock.run(12_000);
  fixture.detector.mergeReports({
    ...noCrashReports,
    crashes: [{ lifeId: "i-1", ageMs: 0, suspects: [["part:account", 1]] }],
  });
  t.deepEqual(fixture.sent, []);
  await fixture.clock.run(12_100);
  fixture.detector.noteSurvived(request);
  t.deepEqual(fixture.sent, [{ ...noCrashReports, clearings: [{ digest: "part:account", ageMs: 0 }] }]);
});

// Guards against instances that take the crash of a trial for an earlier one, and try the part again.
test("a conviction is broadcast by the instance that detected the crash of the trial", async (t) => {
  const fixture = new Fixture();
  await fixture.loseInTurn(["i-1", "i-2", "i-3"]);
  const leftMs = fixture.detector.getQuarantineMs(createRequest("a")) ?? 0;
  await fixture.clock.run(fixture.clock.nowMs() + leftMs);
  await fixture.lose("i-4");
  const holds = fixture.sent.flatMap((reports) => reports.holds);
  t.deepEqual(
    holds.map(({ digest, times, isConvicted }) => [digest, times, isConvicted]),
    [["a", 2, true]],
  );
});
