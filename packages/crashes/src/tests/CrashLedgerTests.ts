import test from "ava";
import { CrashLedger } from "../CrashLedger.js";
import { mostToldSuspects, noCrashReports } from "../crashMessages.js";

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

test("a request is held back after three crashes at its beginning in a row", (t) => {
  const { ledger, crash } = create();
  t.is(ledger.getStanding("a"), "unknown");
  crash("a", "b");
  crash("a");
  t.is(ledger.getStanding("a"), "suspected");
  crash("a");
  t.is(ledger.getStanding("a"), "held");
  t.is(ledger.getStanding("b"), "suspected");
});

test("a run that outlives its beginning clears its request of what was before", (t) => {
  const { clock, ledger, crash } = create();
  crash("a");
  crash("a");
  t.truthy(ledger.noteSurvived("a", clock.nowMs));
  t.is(ledger.getStanding("a"), "unknown");
  crash("a");
  crash("a");
  t.is(ledger.getStanding("a"), "suspected");
});

test("word of one crash that comes from several instances counts once", (t) => {
  const { clock, ledger } = create();
  for (let told = 0; told < 5; told++) ledger.noteCrash("i-1", clock.nowMs, new Map([["a", 1]]));
  t.is(ledger.getWeight("a"), 1);
});

test("crashes beside others that the request had no part in weigh half", (t) => {
  const { clock, ledger } = create();
  let crashed = 0;
  const crashGroup = (): void => {
    clock.nowMs += 5_000;
    for (const suspect of ["a", "b", "c", "d"])
      ledger.noteCrash(`i-${++crashed}`, clock.nowMs, new Map([[suspect, 1]]));
  };
  for (let group = 0; group < 3; group++) crashGroup();
  t.is(ledger.getStanding("a"), "suspected", "three groups lost are no proof against what was there");
  for (let group = 0; group < 3; group++) crashGroup();
  t.is(ledger.getStanding("a"), "held", "six in a row are");
});

test("a request that may only have waited at the endpoint is held after twice as many crashes", (t) => {
  const { clock, ledger } = create();
  for (let index = 1; index <= 5; index++) {
    clock.nowMs += 1_000;
    ledger.noteCrash(`i-${index}`, clock.nowMs, new Map([["a", 0.5]]));
  }
  t.is(ledger.getStanding("a"), "suspected");
  clock.nowMs += 1_000;
  ledger.noteCrash("i-6", clock.nowMs, new Map([["a", 0.5]]));
  t.is(ledger.getStanding("a"), "held");
});

test("after its hold a request is due for a trial: a crash holds it back for longer, a run that lives lets it go", (t) => {
  const { clock, ledger, crash } = create();
  for (let index = 0; index < 3; index++) crash("a");
  const firstMs = ledger.getQuarantineLeftMs("a");
  clock.nowMs += firstMs;
  t.is(ledger.getStanding("a"), "due-for-trial");
  crash("a");
  t.is(ledger.getStanding("a"), "held");
  t.true(ledger.getQuarantineLeftMs("a") > 10 * firstMs);
  clock.nowMs += ledger.getQuarantineLeftMs("a");
  ledger.noteSurvived("a", clock.nowMs);
  t.is(ledger.getStanding("a"), "unknown");
});

test("whoever is told all knows the same, and passes on nothing that it knew", (t) => {
  const { clock, ledger, crash } = create();
  crash("a");
  crash("a");
  crash("a", "b");
  clock.nowMs += 500;
  const other = new CrashLedger(() => 77_000);
  const news = other.mergeReports(ledger.getAllReports());
  t.is(news.crashes.length, 3);
  t.is(other.getStanding("a"), "held");
  t.is(Math.round(other.getQuarantineLeftMs("a")), Math.round(ledger.getQuarantineLeftMs("a")));
  t.is(other.getStanding("b"), "suspected");
  t.deepEqual(other.mergeReports(ledger.getAllReports()), noCrashReports);
});

test("late word of crashes before a clearing does no harm", (t) => {
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
  t.is(ledger.getStanding("a"), "unknown");
});

test("what is known is bounded, whatever callers send", (t) => {
  const { clock, ledger } = create();
  for (let index = 0; index < 2_000; index++) {
    clock.nowMs += 1_000;
    const digests = Array.from({ length: 200 }, (_, at) => [`${index}-${at}`, 0.5] as const);
    ledger.noteCrash(`i-${index}`, clock.nowMs, new Map([...digests, ["crashing", 1]]));
  }
  const told = ledger.getAllReports();
  t.true(told.crashes.length <= 256);
  t.true(told.crashes.every((crash) => crash.suspects.length <= mostToldSuspects));
  t.is(ledger.getStanding("crashing"), "held", "the strongest evidence is kept");
});

// Guards against a crowd of crashes that a request makes itself, and that then speaks for it.
test("a request that is at most crashes of a crowd is not taken for its victim", (t) => {
  const { clock, ledger } = create();
  const crashNow = (lifeId: string, digest: string): void =>
    void ledger.noteCrash(lifeId, clock.nowMs, new Map([[digest, 1]]));
  crashNow("i-1", "other");
  crashNow("i-2", "other");
  for (const lifeId of ["i-3", "i-4", "i-5"]) crashNow(lifeId, "a");
  t.is(ledger.getStanding("a"), "held");
  t.is(ledger.getStanding("other"), "suspected");
});
