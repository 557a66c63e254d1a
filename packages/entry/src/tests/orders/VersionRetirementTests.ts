/** When the last chain of a version may be broken up, by what the other instances answer. */
import { errors, results } from "@shedtiller/common";
import type { Member, RequestHandler } from "@shedtiller/membership";
import test from "ava";
import { VersionRetirement } from "../../orders/VersionRetirement.js";
import { createPipeline } from "../createPipeline.js";

const pipeline = createPipeline();

type Answer = { isFree: boolean } | "nothing" | "unreached";

/** One instance that gives orders, and others that answer as `answers` says at the moment. */
class Fleet {
  nowMs = 0;
  isOwnFree = true;
  handler: RequestHandler | undefined;
  readonly retirement: VersionRetirement;

  constructor(readonly answers: Map<string, Answer>) {
    this.retirement = new VersionRetirement({
      membership: {
        getMembers: () => [...answers.keys()].map((name) => ({ name }) as Member),
        onRequest: (_topic, handler) => {
          this.handler = handler;
        },
        request: async (name) => {
          const answer = answers.get(name);
          if (answer === undefined || answer === "unreached")
            return results.Err(new errors.ConnectionLostError(name));
          return results.Ok(answer === "nothing" ? undefined : answer);
        },
      },
      versions: { tryClose: () => this.isOwnFree },
      getPipeline: (model) => (model === pipeline.name ? pipeline : undefined),
      nowMs: () => this.nowMs,
    });
  }

  ask(): Promise<string | undefined> {
    return this.retirement.getBlocker(pipeline, "1", false);
  }
}

test("a version is free once every other instance says so", async (t) => {
  const fleet = new Fleet(
    new Map<string, Answer>([
      ["e2", { isFree: true }],
      ["e3", { isFree: false }],
    ]),
  );
  t.is(await fleet.ask(), "version 1: e3 uses it");
  fleet.answers.set("e3", { isFree: true });
  t.is(await fleet.ask(), undefined);
});

test("a version that is used here is not even asked about", async (t) => {
  const fleet = new Fleet(new Map());
  fleet.isOwnFree = false;
  t.is(await fleet.ask(), "version 1 is in use here");
});

test("an instance that answers nothing is waited for 30 s, one that uses the version for as long as it says so", async (t) => {
  const fleet = new Fleet(
    new Map<string, Answer>([
      ["e2", "unreached"],
      ["e3", "nothing"],
    ]),
  );
  t.is(await fleet.ask(), "version 1: e2 has not answered, e3 has not answered");
  fleet.nowMs = 29_999;
  t.is(await fleet.ask(), "version 1: e2 has not answered, e3 has not answered");
  fleet.nowMs = 30_000;
  t.is(await fleet.ask(), undefined);
  fleet.answers.set("e3", { isFree: false });
  fleet.nowMs = 90_000;
  t.is(await fleet.ask(), "version 1: e3 uses it");
});

test("silence counts from the last answer", async (t) => {
  const fleet = new Fleet(new Map<string, Answer>([["e2", "unreached"]]));
  await fleet.ask();
  fleet.nowMs = 20_000;
  fleet.answers.set("e2", { isFree: false });
  await fleet.ask();
  fleet.answers.set("e2", "unreached");
  fleet.nowMs = 40_000;
  t.is(await fleet.ask(), "version 1: e2 has not answered");
});

test("a question is answered by what is in use, and a broken one by nothing", async (t) => {
  const fleet = new Fleet(new Map());
  const from = { name: "e1", availabilityZone: "a" };
  const ask = async (body: unknown): Promise<unknown> => fleet.handler?.(body, from);
  t.deepEqual(await ask({ model: "assistant", version: "1", isGap: false }), { isFree: true });
  fleet.isOwnFree = false;
  t.deepEqual(await ask({ model: "assistant", version: "1", isGap: false }), { isFree: false });
  t.deepEqual(await ask({ model: "unknown", version: "1", isGap: false }), { isFree: true });
  t.is(await ask({ model: 7 }), undefined);
});
