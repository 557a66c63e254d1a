import test from "ava";
import { CrashLedger } from "../CrashLedger.js";
import { maxSuspectsPerCrash, noCrashReports } from "../crashMessages.js";

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
  t.true(reports.crashes.length <= 256);
  t.true(reports.crashes.every((crash) => crash.suspects.length <= maxSuspectsPerCrash));
  t.is(ledger.getStatus("crashing"), "held", "the strongest evidence is kept");
});

// Guards against crashes that a request causes itself being taken for a common cause, which would count in favour of the request.
test("a request that was running at most of the coinciding crashes counts as their cause", (t) => {
  const { clock, ledger } = create();
  const crashNow = (lifeId: string, digest: string): void =>
    void ledger.noteCrash(lifeId, clock.nowMs, new Map([[digest, 1]]));
  crashNow("i-1", "other");
  crashNow("i-2", "other");
  for (const lifeId of ["i-3", "i-4", "i-5"]) crashNow(lifeId, "a");
  t.is(ledger.getStatus("a"), "held");
  t.is(ledger.getStatus("other"), "suspected");
});
