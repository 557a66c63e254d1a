/** Random schedules of sound requests and of requests that share a part which crashes each endpoint. */
import test from "ava";
import * as fc from "fast-check";
import { CrashLedger } from "../CrashLedger.js";

const seed = 55;
const numRuns = 1_000;
const account = "part:account";
const culprit = "part:bad";
const topics = ["part:t1", "part:t2", "part:t3", "part:t4"];
const initialMs = 250;
/** Three crashes before the quarantine, those of them that chance halved, and one in a trial. */
const maxCrashes = 8;

const step = fc.record({
  gapMs: fc.integer({ min: 100, max: 900 }),
  isCrashing: fc.boolean(),
  topic: fc.constantFrom(...topics),
  /** Topics of sound runs that are in their initial phase at the endpoint. */
  beside: fc.subarray(topics),
});
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Plays a schedule on one ledger, as an instance that sends all requests would. */
class Play {
  nowMs = 1_000_000;
  readonly ledger = new CrashLedger(() => this.nowMs);
  /** Traits that a trial has convicted. */
  readonly convicted = new Set<string>();
  crashes = 0;
  private _sent = 0;

  constructor() {
    this.ledger.onQuarantineChanged((trait, quarantine) => {
      if (quarantine?.isConvicted === true) this.convicted.add(trait);
    });
  }

  run({ gapMs, isCrashing, topic, beside }: Step): void {
    this.nowMs += gapMs;
    const digest = `request-${++this._sent}`;
    if (isCrashing) this._sendCrashing([digest, account, culprit, topic], beside);
    else this.sendSound(digest, topic);
  }

  sendSound(digest: string, topic: string): void {
    const traits = [digest, account, topic];
    if (!this._mayRun(traits)) return;
    this.nowMs += initialMs;
    for (const trait of traits) this.ledger.noteHarmless(trait, this.nowMs);
  }

  private _sendCrashing(traits: readonly string[], beside: readonly string[]): void {
    if (!this._mayRun(traits)) return;
    this.crashes += 1;
    const running = beside.filter((topic) => this.ledger.getQuarantined([account, topic]).length === 0);
    const suspects = [...traits, ...running.flatMap((topic) => [`${topic}-${this._sent}`, topic])];
    const lifeId = `i-${this.crashes}`;
    this.ledger.noteCrash(lifeId, this.nowMs, new Map(suspects.map((trait) => [trait, 1])));
  }

  private _mayRun(traits: readonly string[]): boolean {
    const status = this.ledger.getRequestStatus(traits);
    if (status === "held") return false;
    if (status !== "due-for-trial") return true;
    if (!this.ledger.mayTry(traits, 0)) return false;
    for (const trait of this.ledger.getQuarantined(traits))
      this.ledger.noteTrial({ digest: trait, ageMs: 0 });
    return true;
  }
}

test("a part that crashes endpoints is quarantined within its bound, and only that part is ever convicted", (t) => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), (steps) => {
      const play = new Play();
      for (const each of steps) play.run(each);
      t.true(play.crashes <= maxCrashes, `${play.crashes} crashes`);
      t.deepEqual(
        [...play.convicted].filter((trait) => trait !== culprit),
        [],
      );
    }),
    { seed, numRuns },
  );
});

test("sound requests are released once they are sent again, whatever they were beside", (t) => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const play = new Play();
      for (const each of steps) play.run(each);
      for (let round = 0; round < 4; round++)
        for (const topic of topics) {
          play.nowMs += 3_500;
          play.sendSound(`last-${round}-${topic}`, topic);
        }
      const held = [account, ...topics].filter((trait) => play.ledger.getQuarantined([trait]).length > 0);
      t.deepEqual(held, []);
    }),
    { seed, numRuns },
  );
});
