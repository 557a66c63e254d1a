import test from "ava";
import { CrashLedger } from "../CrashLedger.js";
import { maxSuspectsPerMessage, noCrashReports } from "../crashMessages.js";

function create() {
  const clock = { nowMs: 1_000_000 };
  const ledger = new CrashLedger(() => clock.nowMs);
  let crashed = 0;
  const crash = (...digests: readonly string[]): string => {
    clock.nowMs += 1_000;
    const lifeId = `i-${++crashed}`;
    ledger.noteCrash(lifeId, clock.nowMs, new Map(digests.map((digest) => [digest, 1])));
    return lifeId;
  };
  return { clock, ledger, crash };
}

test("a request is quarantined after three consecutive crashes in its initial phase", (t) => {
  const { ledger, crash } = create();
  t.is(ledger.getStatus("a"), "unknown");
  crash("a", "b");
  crash("a");
  t.is(ledger.getStatus("a"), "suspected");
  crash("a");
  t.is(ledger.getStatus("a"), "held");
  t.is(ledger.getStatus("b"), "suspected");
});

test("a run that survives its initial phase clears its request of earlier crashes", (t) => {
  const { clock, ledger, crash } = create();
  crash("a");
  crash("a");
  t.truthy(ledger.noteSurvived("a", clock.nowMs));
  t.is(ledger.getStatus("a"), "unknown");
  crash("a");
  crash("a");
  t.is(ledger.getStatus("a"), "suspected");
});

test("a crash that several instances report counts once", (t) => {
  const { clock, ledger } = create();
  for (let reports = 0; reports < 5; reports++) ledger.noteCrash("i-1", clock.nowMs, new Map([["a", 1]]));
  t.is(ledger.getWeight("a"), 1);
});

test("a crash that coincides with others in which the request was not running counts half", (t) => {
  const { clock, ledger } = create();
  let crashed = 0;
  const crashGroup = (): void => {
    clock.nowMs += 5_000;
    for (const suspect of ["a", "b", "c", "d"])
      ledger.noteCrash(`i-${++crashed}`, clock.nowMs, new Map([[suspect, 1]]));
  };
  for (let group = 0; group < 3; group++) crashGroup();
  t.is(ledger.getStatus("a"), "suspected", "three groups of crashes are not enough evidence");
  for (let group = 0; group < 3; group++) crashGroup();
  t.is(ledger.getStatus("a"), "held", "six groups are enough");
});

test("a request that may merely have waited at the endpoint is quarantined after twice as many crashes", (t) => {
  const { clock, ledger } = create();
  for (let index = 1; index <= 5; index++) {
    clock.nowMs += 1_000;
    ledger.noteCrash(`i-${index}`, clock.nowMs, new Map([["a", 0.5]]));
  }
  t.is(ledger.getStatus("a"), "suspected");
  clock.nowMs += 1_000;
  ledger.noteCrash("i-6", clock.nowMs, new Map([["a", 0.5]]));
  t.is(ledger.getStatus("a"), "held");
});

test("a request is due for a trial after its quarantine: a crash quarantines it for longer, a surviving run releases it", (t) => {
  const { clock, ledger, crash } = create();
  for (let index = 0; index < 3; index++) crash("a");
  const firstMs = ledger.getQuarantineLeftMs("a");
  clock.nowMs += firstMs;
  t.is(ledger.getStatus("a"), "due-for-trial");
  crash("a");
  t.is(ledger.getStatus("a"), "held");
  t.true(ledger.getQuarantineLeftMs("a") > 10 * firstMs);
  clock.nowMs += ledger.getQuarantineLeftMs("a");
  ledger.noteSurvived("a", clock.nowMs);
  t.is(ledger.getStatus("a"), "unknown");
});

test("a ledger that merges all reports of another one has the same state, and returns only new reports", (t) => {
  const { clock, ledger, crash } = create();
  crash("a");
  crash("a");
  crash("a", "b");
  clock.nowMs += 500;
  const other = new CrashLedger(() => 77_000);
  const added = other.mergeReports(ledger.getAllReports());
  t.is(added.crashes.length, 3);
  t.is(other.getStatus("a"), "held");
  t.is(Math.round(other.getQuarantineLeftMs("a")), Math.round(ledger.getQuarantineLeftMs("a")));
  t.is(other.getStatus("b"), "suspected");
  t.deepEqual(other.mergeReports(ledger.getAllReports()), noCrashReports);
});

test("late reports of crashes from before a clearing have no effect", (t) => {
  const { clock, ledger } = create();
  ledger.noteCrash("i-1", clock.nowMs, new Map([["a", 1]]));
  ledger.noteSurvived("a", clock.nowMs + 10);
  clock.nowMs += 2_000;
  const late = ["i-2", "i-3", "i-4"].map((lifeId) => ({
    lifeId,
    ageMs: 2_100,
    suspects: [["a", 1]] as [string, number][],
  }));
  ledger.mergeReports({ ...noCrashReports, crashes: late });
  t.is(ledger.getStatus("a"), "unknown");
});

test("the size of the ledger is bounded, whatever callers send", (t) => {
  const { clock, ledger } = create();
  for (let index = 0; index < 2_000; index++) {
    clock.nowMs += 1_000;
    const digests = Array.from({ length: 200 }, (_, at) => [`${index}-${at}`, 0.5] as const);
    ledger.noteCrash(`i-${index}`, clock.nowMs, new Map([...digests, ["crashing", 1]]));
  }
  const reports = ledger.getAllReports();
  t.true(new Set(reports.crashes.map(({ lifeId }) => lifeId)).size <= 256);
  t.true(reports.crashes.length <= 3 * 256);
  t.true(reports.crashes.every((crash) => crash.suspects.length <= maxSuspectsPerMessage));
  t.is(ledger.getStatus("crashing"), "held", "the strongest evidence is kept");
});

// Guards against crashes that a request causes itself being taken for a common cause, which would count in favour of the request.
test("a request that was running at most of the coinciding crashes counts as their cause", (t) => {
  const { clock, ledger } = create();
  const crashAfter = (durationMs: number, lifeId: string, digest: string): void => {
    clock.nowMs += durationMs;
    ledger.noteCrash(lifeId, clock.nowMs, new Map([[digest, 1]]));
  };
  crashAfter(0, "i-1", "other");
  crashAfter(0, "i-2", "other");
  crashAfter(0, "i-3", "a");
  crashAfter(101, "i-4", "a");
  crashAfter(101, "i-5", "a");
  t.is(ledger.getStatus("a"), "held");
  t.is(ledger.getStatus("other"), "suspected");
});

// Guards against sound requests that all callers send, and that count as crashing because several endpoints lost their power together.
test("crashes a few milliseconds apart count as one, however many endpoints crash", (t) => {
  const { clock, ledger } = create();
  const crashTogether = (name: string): void => {
    for (let endpoint = 0; endpoint < 7; endpoint++) {
      ledger.noteCrash(`${name}-${endpoint}`, clock.nowMs, new Map([["sent by all", 1]]));
      clock.nowMs += 14;
    }
  };
  crashTogether("rack-1");
  t.is(ledger.getWeight("sent by all"), 1);
  clock.nowMs += 5_000;
  crashTogether("rack-2");
  t.is(ledger.getStatus("sent by all"), "suspected");
});

test("crashes that are reported out of order have the same weight", (t) => {
  const atMs = [0, 60, 120, 180, 240, 300];
  const getWeight = (order: readonly number[]): number => {
    const { clock, ledger } = create();
    for (const ms of order) ledger.noteCrash(`i-${ms}`, clock.nowMs + ms, new Map([["a", 1]]));
    return ledger.getWeight("a");
  };
  t.is(getWeight(atMs), 3);
  t.is(getWeight([...atMs].reverse()), 3);
  t.is(getWeight([180, 0, 300, 60, 240, 120]), 3);
});

// Guards against a minute of mercy for whatever was sound before, in which one request crashes dozens of endpoints.
test("a request that was harmless shortly before is quarantined after four crashes", (t) => {
  const { clock, ledger, crash } = create();
  ledger.noteHarmless("a", clock.nowMs);
  for (let count = 0; count < 3; count++) crash("a");
  t.is(ledger.getStatus("a"), "suspected");
  crash("a");
  t.is(ledger.getStatus("a"), "held");
});

// Guards against the quarantine of what most requests have in common, such as the first part of an account's prompts.
test("a trait that was harmless shortly before is not quarantined beside one that was not", (t) => {
  const { clock, ledger, crash } = create();
  ledger.noteHarmless("shared", clock.nowMs);
  for (let count = 0; count < 4; count++) crash("shared", "crashing");
  t.is(ledger.getStatus("crashing"), "held");
  t.is(ledger.getStatus("shared"), "suspected");
});

// Guards against requests that crash engines and are released, unheld, since another one that crashes engines was running beside them.
test("a trial convicts a trait, and the traits beside it are held until a trial of their own", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) crash("crashing", "beside");
  t.is(ledger.getStatus("beside"), "held");
  clock.nowMs += ledger.getQuarantineLeftMs("crashing");
  t.is(ledger.getRequestStatus(["crashing", "new"]), "due-for-trial");
  crash("crashing", "new");
  t.is(ledger.getStatus("crashing"), "held");
  t.is(ledger.getStatus("new"), "unknown");
  t.is(ledger.getStatus("beside"), "due-for-trial");
  crash("beside");
  t.true(ledger.getQuarantineLeftMs("beside") > 60_000, "it crashes endpoints as well");
});

test("a sound trait beside a convicted one is released by the first run that survives", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) crash("crashing", "beside");
  clock.nowMs += ledger.getQuarantineLeftMs("crashing");
  crash("crashing");
  t.true(ledger.mayTry(["beside"], 0));
  ledger.noteSurvived("beside", clock.nowMs);
  t.is(ledger.getStatus("beside"), "unknown");
});

// Guards against evidence that counts half although the crashes at the same time have suspects of their own.
test("crashes at the same time count in full if each has a suspect from an earlier crash", (t) => {
  const { clock, ledger } = create();
  for (let round = 0; round < 4; round++) {
    clock.nowMs += 1_000;
    for (const [index, digest] of ["one", "other", "third"].entries())
      ledger.noteCrash(`i-${round}-${digest}`, clock.nowMs + 110 * index, new Map([[digest, 1]]));
  }
  for (const digest of ["one", "other", "third"]) t.is(ledger.getStatus(digest), "held", digest);
});

// Guards against a trial that crashes an endpoint and convicts a sound trait together with the one at fault.
test("requests with two quarantined traits wait for those with one, and their crash convicts neither trait", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) crash("crashing", "beside");
  clock.nowMs += ledger.getQuarantineLeftMs("crashing");
  t.is(ledger.getRequestStatus(["crashing", "beside"]), "held");
  t.true(ledger.mayTry(["beside"], 0));
  clock.nowMs += 3_000;
  t.is(ledger.getRequestStatus(["crashing", "beside"]), "due-for-trial");
  crash("crashing", "beside");
  t.is(ledger.getRequestStatus(["crashing", "beside"]), "held");
  clock.nowMs += 8_000;
  t.true(ledger.mayTry(["beside"], 0), "alone");
  ledger.noteSurvived("beside", clock.nowMs);
  t.is(ledger.getStatus("beside"), "unknown");
  t.true(ledger.getQuarantineLeftMs("crashing") > 60_000);
});

// Guards against sound requests that are held for good, since the part at fault was running where they were tried.
test("a trait is released if its trial crashed an endpoint beside a trait that is convicted later", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) crash("sound", `other-${count}`);
  clock.nowMs += ledger.getQuarantineLeftMs("sound");
  crash("sound", "crashing");
  t.true(ledger.getQuarantineLeftMs("sound") > 60_000);
  for (let count = 0; count < 3; count++) crash("crashing");
  clock.nowMs += ledger.getQuarantineLeftMs("crashing");
  crash("crashing");
  t.true(ledger.getQuarantineLeftMs("crashing") > 60_000);
  t.is(ledger.getRequestStatus(["sound"]), "held", "three crashes are left against it");
  clock.nowMs += 2_000;
  t.true(ledger.mayTry(["sound"], 0), "it is tried again");
  ledger.noteSurvived("sound", clock.nowMs);
  t.is(ledger.getStatus("sound"), "unknown");
});

// Guards against endless trials whose crashes have two quarantined traits each time.
test("trials that do not tell which trait it was become rarer", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) crash("crashing", "beside");
  const gapsMs: number[] = [];
  for (let trial = 0; trial < 3; trial++) {
    const startMs = clock.nowMs;
    while (!ledger.mayTry(["crashing"], 0)) clock.nowMs += 1_000;
    gapsMs.push(clock.nowMs - startMs);
    crash("crashing", "beside");
  }
  t.deepEqual(gapsMs, [2_000, 8_000, 32_000]);
});

test("two traits that crash endpoints at the same time are both quarantined", (t) => {
  const { clock, ledger, crash } = create();
  for (let count = 0; count < 3; count++) {
    crash("one", "shared");
    ledger.noteSurvived("shared", clock.nowMs);
    crash("other", "shared");
    ledger.noteSurvived("shared", clock.nowMs);
  }
  t.is(ledger.getStatus("one"), "held");
  t.is(ledger.getStatus("other"), "held");
  t.is(ledger.getStatus("shared"), "unknown");
});

// Guards against callers that push the part at fault out of the reports by prompts with many parts of their own.
test("a suspect of earlier crashes is kept however many others are at a crash", (t) => {
  const { ledger, crash } = create();
  crash("part:bad");
  for (let count = 0; count < 2; count++)
    crash(...Array.from({ length: 2_000 }, (_, index) => `part:${count}-${index}`), "part:bad");
  t.is(ledger.getStatus("part:bad"), "held");
});
