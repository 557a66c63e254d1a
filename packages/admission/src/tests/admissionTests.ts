import test from "ava";
import * as fc from "fast-check";
import { AccountLimits } from "../AccountLimits.js";
import type { AdmissionPermit, AdmissionRequest } from "../Admission.js";
import { AdmissionQueue } from "../AdmissionQueue.js";
import { getShare } from "../sharedLimit.js";

let nowMs = 0;
const clock = (): number => nowMs;

function createRequest(structure: Partial<AdmissionRequest>): AdmissionRequest {
  const signal = new AbortController().signal;
  return {
    requestId: "r",
    account: "a",
    rank: 1,
    floorShare: 0,
    tokens: 10,
    deadlineMs: nowMs + 60_000,
    signal,
    ...structure,
  };
}

const withoutShedding = { maxWaitMs: 1_000_000, reservePerRank: 0 };

test("the shares of instances that have the same demands add up to the limit", (t) => {
  const demands = fc.array(fc.double({ min: 0, max: 500, noNaN: true }), { minLength: 1, maxLength: 12 });
  fc.assert(
    fc.property(demands, fc.double({ min: 1, max: 300, noNaN: true }), (list, limit) => {
      const shares = list.map((ownDemand, index) =>
        getShare({ limit, ownDemand, otherDemands: list.filter((_d, i) => i !== index) }),
      );
      const sum = shares.reduce((a, b) => a + b, 0);
      t.true(Math.abs(sum - limit) < 1e-6 * limit + 1e-6);
    }),
    { seed: 5 },
  );
});

test("the highest class is granted first, regardless of the order of arrival", async (t) => {
  const queue = new AdmissionQueue(() => 1, withoutShedding, clock);
  const running = (await queue.acquire(createRequest({}))).unwrap();
  const order: string[] = [];
  const waits = [3, 1, 2].map(async (rank) => {
    const permit = (await queue.acquire(createRequest({ rank }))).unwrap();
    order.push(`rank ${rank}`);
    permit.release();
  });
  running.release();
  await Promise.all(waits);
  t.deepEqual(order, ["rank 1", "rank 2", "rank 3"]);
});

test("within a class, an account that has used many tokens waits for an account that has used few", async (t) => {
  const queue = new AdmissionQueue(() => 1, withoutShedding, clock);
  const running = (await queue.acquire(createRequest({ account: "big", tokens: 1_000 }))).unwrap();
  const order: string[] = [];
  const waits = ["big", "big", "small", "small"].map(async (account) => {
    const permit = (
      await queue.acquire(createRequest({ account, tokens: account === "big" ? 1_000 : 10 }))
    ).unwrap();
    order.push(account);
    permit.release();
  });
  running.release();
  await Promise.all(waits);
  t.deepEqual(order, ["small", "small", "big", "big"]);
});

test("a class with a minimum share receives it although a higher class would use the whole capacity", async (t) => {
  const queue = new AdmissionQueue(() => 1, withoutShedding, clock);
  const granted = { high: 0, low: 0 };
  let running: AdmissionPermit = (await queue.acquire(createRequest({}))).unwrap();
  const add = (rank: number, floorShare: number): void => {
    const request = createRequest({ rank, floorShare, account: `r${rank}`, deadlineMs: nowMs + 1_000_000 });
    void queue.acquire(request).then((permit) => {
      running = permit.unwrap();
      granted[rank === 1 ? "high" : "low"] += 1;
    });
  };
  for (let round = 0; round < 100; round++) {
    add(1, 0);
    add(3, 0.2);
  }
  for (let round = 0; round < 100; round++) {
    nowMs += 10;
    running.release();
    await Promise.resolve();
    await Promise.resolve();
  }
  t.true(granted.low >= 15 && granted.low <= 30, `low got ${granted.low}`);
});

test("under overload the lowest class is rejected at once, with a time after which to retry", async (t) => {
  const queue = new AdmissionQueue(() => 1, { maxWaitMs: 2_000, reservePerRank: 0 }, clock);
  await queue.acquire(createRequest({}));
  const high = [1, 2].map(() => queue.acquire(createRequest({ rank: 1 })));
  const low = await Promise.all([1, 2, 3].map(() => queue.acquire(createRequest({ rank: 5 }))));
  t.is(low.filter((outcome) => outcome.err).length, 3);
  for (const outcome of low) t.true(outcome.err && outcome.val.ran === "no" && outcome.val.retryAfterMs > 0);
  t.is(queue.waiting, 2);
  t.is(high.length, 2);
});

test("before any request has ended, a short queue does not count as a long wait", async (t) => {
  const queue = new AdmissionQueue(() => 8, { maxWaitMs: 2_000, reservePerRank: 0 }, clock);
  const granted = Array.from({ length: 8 }, () => queue.acquire(createRequest({})));
  await Promise.all(granted);
  for (let count = 0; count < 8; count++) void queue.acquire(createRequest({}));
  t.is(queue.waiting, 8);
});

test("a request whose caller disconnects leaves the queue", async (t) => {
  const queue = new AdmissionQueue(() => 1, withoutShedding, clock);
  await queue.acquire(createRequest({}));
  const caller = new AbortController();
  const waiting = queue.acquire(createRequest({ signal: caller.signal }));
  caller.abort();
  const outcome = await waiting;
  t.true(outcome.err && outcome.val.reason === "cancelled");
  t.is(queue.waiting, 0);
});

test("an account's concurrent requests are limited to its share, and a rejection contains a time after which to retry", (t) => {
  const limits = new AccountLimits(clock);
  limits.setDemands("e2", [["crews", 30, 0]]);
  const admitted = Array.from({ length: 20 }, () => limits.tryAdmit("crews", { concurrency: 8 }, 10)).filter(
    (p) => p.ok,
  );
  t.true(admitted.length >= 1 && admitted.length < 8);
  const refused = limits.tryAdmit("crews", { concurrency: 8 }, 10);
  t.true(refused.err && refused.val.reason === "account-concurrency" && refused.val.retryAfterMs > 0);
});

test("an account's tokens per minute are limited, and its bucket is refilled with time", (t) => {
  const limits = new AccountLimits(clock);
  const limit = { tokensPerMinute: 600 };
  let admitted = 0;
  for (let second = 0; second < 60; second++) {
    nowMs += 1_000;
    for (let call = 0; call < 5; call++) if (limits.tryAdmit("office", limit, 10).ok) admitted += 10;
  }
  t.true(admitted >= 570 && admitted <= 630, `admitted ${admitted}`);
});

// Guards against instances that have received no demands of others and therefore each use the whole limit.
test("instances that have not received each other's demands stay within the limit together", (t) => {
  const limit = { concurrency: 80, tokensPerMinute: 4_800 };
  const instances = Array.from({ length: 8 }, () => new AccountLimits(clock));
  for (const limits of instances) limits.setInstanceCounter(() => instances.length);
  let concurrent = 0;
  for (const limits of instances) {
    for (let call = 0; call < 200; call++)
      if (limits.tryAdmit("office", { concurrency: 80 }, 1).ok) concurrent += 1;
  }
  t.is(concurrent, limit.concurrency);
  let tokens = 0;
  for (let second = 0; second < 60; second++) {
    nowMs += 1_000;
    for (const limits of instances) {
      for (let call = 0; call < 20; call++)
        if (limits.tryAdmit("crews", { tokensPerMinute: 4_800 }, 1).ok) tokens += 1;
    }
  }
  t.true(tokens >= 4_800 * 0.95 && tokens <= 4_800 * 1.05, `${tokens} tokens in a minute`);
});
