/** The order in which waiting requests get a chain, and immediate rejections of requests that would get one too late. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ChainAdmission, type ChainAcquisition } from "../../chains/ChainAdmission.js";
import { ChainChooser } from "../../chains/ChainChooser.js";
import type { ChainReservation } from "../../chains/ChainReservation.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { createConfiguration, createListed, profile } from "../testData.js";
import { createPermitDependencies } from "../createPermitDependencies.js";

const longMs = 60_000;

/** Creates an admission with one engine, whose memory has capacity for one request of 50 tokens beside its layers. */
/** Level of the tests: the accounts that are behind it. */
class TestLevels {
  readonly behind = new Set<string>();

  isBehind({ accountName }: { readonly accountName: string | undefined }): boolean {
    return accountName !== undefined && this.behind.has(accountName);
  }
}

function setUp() {
  const endpoints = new EndpointTable();
  endpoints.setAll(new Map([["a", createListed("a", { layers: [{ start: 0, end: 4 }] })]]));
  const activeConfiguration = new ActiveConfiguration();
  const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: profile }];
  activeConfiguration.accept({ ...createConfiguration(1), services });
  const { demand, forecast } = createPermitDependencies(endpoints);
  const levels = new TestLevels();
  const admission = new ChainAdmission(activeConfiguration, endpoints, new ChainChooser(), demand, forecast, {
    levels,
  });
  const served: string[] = [];
  const acquire = async (name: string, changes: Partial<ChainAcquisition> = {}) => {
    const reservation = await admission.acquire({
      service: "engines",
      demand: { promptTokens: 40, answerTokens: 10, availabilityZone: "east" },
      priority: 1,
      maxWaitMs: longMs,
      latestStartAtMs: Number.POSITIVE_INFINITY,
      signal: new AbortController().signal,
      ...changes,
    });
    served.push(reservation === undefined ? `${name} refused` : name);
    return reservation;
  };
  const release = (reservation: ChainReservation | undefined): void => {
    reservation?.release();
    admission.noteReleased();
  };
  return { admission, endpoints, served, acquire, release, levels };
}

test("requests that can still meet their target latency go before late ones", async (t) => {
  const { served, acquire, release } = setUp();
  const first = await acquire("first");
  const late = acquire("late", { latestStartAtMs: utils.monotonicMs() - 1 });
  const inTime = acquire("in time");
  release(first);
  release(await inTime);
  release(await late);
  t.deepEqual(served, ["first", "in time", "late"]);
});

test("more urgent requests go first even if they are late", async (t) => {
  const { served, acquire, release } = setUp();
  const first = await acquire("first");
  const usual = acquire("usual");
  const urgent = acquire("urgent", { priority: 0, latestStartAtMs: utils.monotonicMs() - 1 });
  release(first);
  release(await urgent);
  release(await usual);
  t.deepEqual(served, ["first", "urgent", "usual"]);
});

test("a request whose expected wait exceeds its maximum wait is rejected immediately", async (t) => {
  const { served, acquire, release, admission } = setUp();
  const first = await acquire("first");
  await acquire("hurried", { maxWaitMs: 1 });
  t.deepEqual(served, ["first", "hurried refused"]);
  t.is(admission.waiting, 0);
  release(first);
});

test("a request that others overtake is rejected as soon as its turn would come too late", async (t) => {
  const { served, acquire, release, admission } = setUp();
  const first = await acquire("first");
  const late = acquire("late", { latestStartAtMs: utils.monotonicMs() - 1, maxWaitMs: 400 });
  const others = Array.from({ length: 20 }, (_, index) => acquire(`other ${index}`));
  t.is(admission.waiting, 21);
  await late;
  t.is(served[1], "late refused");
  release(first);
  for (const other of others) release(await other);
  t.is(served.length, 22);
});

test("a small request gets the capacity that is insufficient for several larger ones before it", async (t) => {
  const { served, acquire, release } = setUp();
  const first = await acquire("first");
  const disconnect = new AbortController();
  const demand = { promptTokens: 4_000, answerTokens: 10, availabilityZone: "east" };
  const large = Array.from({ length: 5 }, () => acquire("large", { demand, signal: disconnect.signal }));
  const small = acquire("small");
  release(first);
  release(await small);
  t.deepEqual(served, ["first", "small"]);
  disconnect.abort();
  await Promise.all(large);
});

// Guards against streams that wait for a chain while all suitable engines back off beyond the maximum wait.
test("a waiting request is rejected as soon as the engines that it needs back off for longer than its maximum wait", async (t) => {
  const { endpoints, acquire, release } = setUp();
  const first = await acquire("first");
  const waiting = acquire("waiting");
  const nowMs = utils.monotonicMs();
  endpoints.get("a")?.backoff.extendTo(nowMs + 2 * longMs, nowMs);
  release(first);
  t.is(await waiting, undefined);
});

function createTarget(accountName: string, passesLevel = false) {
  return { targetLatencyMs: 8 * longMs, dueAtMs: Number.POSITIVE_INFINITY, accountName, passesLevel };
}

test("a request behind the level waits although there is capacity, and is served once the level falls", async (t) => {
  const { admission, served, acquire, release, levels } = setUp();
  levels.behind.add("a");
  const behind = acquire("behind", { target: createTarget("a") });
  t.is(admission.waiting, 1);
  const before = await acquire("before", { target: createTarget("b") });
  t.deepEqual(served, ["before"], "it delays nobody else");
  levels.behind.clear();
  release(before);
  release(await behind);
  t.deepEqual(served, ["before", "behind"]);
});

test("a request behind the level is rejected after an eighth of its target latency, early enough for its next attempt", async (t) => {
  const { admission, served, acquire, levels } = setUp();
  levels.behind.add("a");
  await acquire("behind", { target: { ...createTarget("a"), targetLatencyMs: 8 } });
  t.deepEqual(served, ["behind refused"]);
  t.is(admission.waiting, 0);
});

test("requests that return after a rejection and streams that have begun pass the level", async (t) => {
  const { served, acquire, release, levels } = setUp();
  levels.behind.add("a");
  release(await acquire("return", { target: createTarget("a", true) }));
  release(await acquire("begun", { target: undefined }));
  t.deepEqual(served, ["return", "begun"]);
});
