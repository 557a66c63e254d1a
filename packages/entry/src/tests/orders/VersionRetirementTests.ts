/** The last chain of a version may be reconfigured only once all other instances agree or have been unresponsive for 30 s. */
import { errors, results } from "@shedtiller/common";
import type { Member, RequestHandler } from "@shedtiller/membership";
import test from "ava";
import { VersionRetirement } from "../../orders/VersionRetirement.js";
import { createPipeline } from "../createPipeline.js";

const pipeline = createPipeline();

type Reply = { isFree: boolean } | "nothing" | "unreached";

/** An instance that sends orders, and peers whose replies to the next request are set in `answers`. */
class Fleet {
  nowMs = 0;
  isOwnFree = true;
  hasChain = true;
  handler: RequestHandler | undefined;
  readonly retirement: VersionRetirement;

  constructor(readonly answers: Map<string, Reply>) {
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
      versions: { tryClose: () => this.isOwnFree, hasChain: () => this.hasChain },
      getPipeline: (model) => (model === pipeline.name ? pipeline : undefined),
      nowMs: () => this.nowMs,
    });
  }

  getBlocker(): Promise<string | undefined> {
    return this.retirement.getBlocker(pipeline, "1", false);
  }
}

test("a version is free once every other instance has replied that the version is not in use", async (t) => {
  const fleet = new Fleet(
    new Map<string, Reply>([
      ["e2", { isFree: true }],
      ["e3", { isFree: false }],
    ]),
  );
  t.is(await fleet.getBlocker(), "version 1: e3 uses it");
  fleet.answers.set("e3", { isFree: true });
  t.is(await fleet.getBlocker(), undefined);
});

test("use of the version at this instance blocks its retirement without requests to other instances", async (t) => {
  const fleet = new Fleet(new Map());
  fleet.isOwnFree = false;
  t.is(await fleet.getBlocker(), "version 1 is in use here");
});

test("an instance that does not reply blocks retirement for 30 s; use of the version blocks it without a time limit", async (t) => {
  const fleet = new Fleet(
    new Map<string, Reply>([
      ["e2", "unreached"],
      ["e3", "nothing"],
    ]),
  );
  t.is(await fleet.getBlocker(), "version 1: e2 has not answered, e3 has not answered");
  fleet.nowMs = 29_999;
  t.is(await fleet.getBlocker(), "version 1: e2 has not answered, e3 has not answered");
  fleet.nowMs = 30_000;
  t.is(await fleet.getBlocker(), undefined);
  fleet.answers.set("e3", { isFree: false });
  fleet.nowMs = 90_000;
  t.is(await fleet.getBlocker(), "version 1: e3 uses it");
});

test("a reply resets the time for which an instance has not replied", async (t) => {
  const fleet = new Fleet(new Map<string, Reply>([["e2", "unreached"]]));
  await fleet.getBlocker();
  fleet.nowMs = 20_000;
  fleet.answers.set("e2", { isFree: false });
  await fleet.getBlocker();
  fleet.answers.set("e2", "unreached");
  fleet.nowMs = 40_000;
  t.is(await fleet.getBlocker(), "version 1: e2 has not answered");
});

// Guards against a rollout that breaks up the last chain of a version while an instance does not know any chain yet.
test("an instance that knows no complete chain does not answer, unless a gap is needed", async (t) => {
  const fleet = new Fleet(new Map());
  fleet.hasChain = false;
  const request = { model: pipeline.name, version: "1", isGap: false };
  const from = { name: "e2", availabilityZone: "a" };
  t.is(await fleet.handler?.(request, from), undefined);
  t.deepEqual(await fleet.handler?.({ ...request, isGap: true }, from), { isFree: true });
});

test("a retirement request is answered with whether the version is free, an invalid one is not answered", async (t) => {
  const fleet = new Fleet(new Map());
  const from = { name: "e1", availabilityZone: "a" };
  const request = async (body: unknown): Promise<unknown> => fleet.handler?.(body, from);
  t.deepEqual(await request({ model: "assistant", version: "1", isGap: false }), { isFree: true });
  fleet.isOwnFree = false;
  t.deepEqual(await request({ model: "assistant", version: "1", isGap: false }), { isFree: false });
  t.deepEqual(await request({ model: "unknown", version: "1", isGap: false }), { isFree: true });
  t.is(await request({ model: 7 }), undefined);
});
