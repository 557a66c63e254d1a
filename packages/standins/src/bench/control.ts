/**
 * Benchmark of the control plane: processor time, memory, messages and bytes at one node, by task and by the size of the controlled system.
 * The figures are stored as JSON lines in `bench/slopes/control.jsonl`, from which the tables in docs/CAPACITY.md are computed.
 */
import * as crypto from "node:crypto";
import * as admission from "@shedtiller/admission";
import * as claims from "@shedtiller/claims";
import { utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import { Membership } from "@shedtiller/membership";
import type { ListedInstance } from "@shedtiller/logservice";
import { EndpointDirectory, type EngineReport } from "@shedtiller/routing";
import { Timeline } from "@shedtiller/timeline";
import { AccountDirectory } from "@shedtiller/entry";
import { getLayerCount } from "../fleet/seedConfiguration.js";
import { createDemoStructure } from "../fleet/demoStructure.js";
import type { BenchReport } from "./BenchReport.js";

const peerCounts = [4, 8, 16, 24, 32];
const peerSettleMs = 1_500;
const peerMeasureMs = 4_000;

/** Runs the benchmark. */
export async function runControl(report: BenchReport): Promise<void> {
  for (const count of peerCounts) await measurePeers(report, count);
  for (const count of [1_000, 4_000, 10_000, 19_000]) measureAccounts(report, count);
  for (const count of [100, 400, 800, 1_500]) measureEndpoints(report, count);
  for (const count of [500, 2_000, 8_000, 32_000]) measureClaims(report, count);
  for (const count of [1_000, 5_000, 10_000, 20_000]) measureTimeline(report, count);
  for (const count of [10, 40, 160, 500]) measureDemands(report, count);
}

/** Measures fully linked peers: `count` nodes of one zone in this process. The cost of the process is divided by the number of nodes. */
async function measurePeers(report: BenchReport, count: number): Promise<void> {
  const stop = new AbortController();
  const members = Array.from({ length: count }, (_value, index) => createMember(`n${index}`));
  await Promise.all(members.map((member) => member.listen()));
  const listed = members.map((member): ListedInstance => {
    return { ...member.self, role: "entry", address: `127.0.0.1:${member.port}`, state: "live" };
  });
  const heapBefore = getHeapBytes();
  for (const member of members) {
    member.setListed(listed);
    member.addHeartbeatField("offset", () => 1_234);
    void member.run(stop.signal);
  }
  await utils.waitUntil(() => members.every((member) => member.getLinked().length === count - 1), 20_000, 20);
  await utils.sleep(peerSettleMs);
  const cpuBefore = process.cpuUsage();
  const before = getSentTraffic(members);
  const startMs = utils.monotonicMs();
  await utils.sleep(peerMeasureMs);
  const tookS = (utils.monotonicMs() - startMs) / utils.msPerSecond;
  const cpu = process.cpuUsage(cpuBefore);
  const sent = getSentTraffic(members);
  const variant = `peers ${count - 1}`;
  report.add(variant, "peers cpu", (cpu.user + cpu.system) / 1e6 / tookS / count, "cores/node");
  report.add(variant, "peers sent", (sent.bytes - before.bytes) / tookS / count, "B/s/node");
  report.add(variant, "peers messages", (sent.messages - before.messages) / tookS / count, "1/s/node");
  report.add(variant, "peers memory", (getHeapBytes() - heapBefore) / count, "B/node");
  stop.abort();
  for (const member of members) member.close();
}

function createMember(name: string): Membership {
  const self = { name, availabilityZone: "zone" };
  return new Membership({
    self,
    secret: "control bench secret",
    timeline: new Timeline(name, 100),
    host: "127.0.0.1",
    port: 0,
  });
}

function getSentTraffic(members: readonly Membership[]): { messages: number; bytes: number } {
  let [messages, bytes] = [0, 0];
  for (const member of members) {
    for (const traffic of member.traffic.getByTopic("sent").values()) {
      messages += traffic.messages;
      bytes += traffic.bytes;
    }
  }
  return { messages, bytes };
}

/** Measures a configuration of `count` accounts: its memory, the cost of one change and the size of the state for a new node. */
function measureAccounts(report: BenchReport, count: number): void {
  const objects = Array.from({ length: count }, (_value, index) => createAccount(index));
  const heapBefore = getHeapBytes();
  const projection = new intent.ConfigurationProjection();
  const directory = new AccountDirectory(projection);
  const changes = objects.map((value) => ({ key: intent.getObjectKey(value), baseOffset: -1, value }));
  const first = {
    version: 1,
    type: "confirm",
    planId: "first",
    operator: "bench",
    changes: structuredClone(changes),
  };
  projection.acceptRecord({ offset: 0, atMs: 0, id: "first", payload: first });
  const variant = `accounts ${count}`;
  report.add(variant, "configuration memory", getHeapBytes() - heapBefore, "B");
  report.add(variant, "state sent to a new node", JSON.stringify(projection.state).length, "B");
  const rounds = 50;
  directory.find("k0");
  const cpuMs = measureCpuMs(() => {
    for (let round = 0; round < rounds; round++) {
      const change = { key: `account/a${round}`, baseOffset: 0, value: createAccount(round) };
      const payload = {
        version: 1,
        type: "confirm",
        planId: `p${round}`,
        operator: "bench",
        changes: [change],
      };
      projection.acceptRecord({ offset: round + 1, atMs: 0, id: `p${round}`, payload });
    }
  });
  report.add(variant, "configuration change cpu", cpuMs / rounds, "ms/change");
}

function createAccount(index: number): intent.AccountObject {
  const stored = {
    keyId: `k${index}`,
    salt: crypto.randomBytes(16).toString("base64url"),
    hash: crypto.randomBytes(32).toString("base64url"),
  };
  return {
    kind: "account",
    name: `a${index}`,
    priorityClass: "c1",
    keys: [stored],
    concurrency: 8,
    tokensPerMinute: 6_000,
  };
}

/** Measures a directory of `count` endpoints: its memory, and the cost of one report of each endpoint and of one list page. */
function measureEndpoints(report: BenchReport, count: number): void {
  const heapBefore = getHeapBytes();
  const directory = new EndpointDirectory();
  const listed = Array.from({ length: count }, (_value, index): ListedInstance => {
    return {
      name: `g${index}`,
      role: "engine",
      availabilityZone: "zone",
      address: `10.0.0.1:${index}`,
      state: "live",
    };
  });
  directory.setListed(listed);
  for (const { name } of listed) directory.setReport(createReport(name), false);
  const variant = `endpoints ${count}`;
  report.add(variant, "directory memory", getHeapBytes() - heapBefore, "B");
  const rounds = 20;
  const cpuMs = measureCpuMs(() => {
    for (let round = 0; round < rounds; round++)
      for (const { name } of listed) directory.setReport(createReport(name), false);
  });
  report.add(variant, "reports cpu", cpuMs / rounds, "ms/round");
  const listMs = measureCpuMs(() => {
    for (let round = 0; round < rounds; round++) directory.setListed(listed);
  });
  report.add(variant, "list page cpu", listMs / rounds, "ms/page");
  report.add(variant, "list page", JSON.stringify({ instances: listed }).length, "B");
}

function createReport(name: string): EngineReport {
  const layers: [number, number] = [0, getLayerCount(createDemoStructure(), "assistant")];
  const speed = { stepMs: 5, prefillMsPerToken: 0.1, slots: 16, memoryLayers: 32 };
  const loaded = { model: "assistant", version: "1", layers, activeStreams: 3 };
  return {
    name,
    accelerator: "large",
    ...speed,
    ...loaded,
    checksOrders: true,
    fencingToken: 1,
    state: "live",
  };
}

/** Measures a claim projection with `count` keys within the horizon: its memory, and the cost of applying one claim. */
function measureClaims(report: BenchReport, count: number): void {
  const atMs = utils.wallMs();
  const batch = 50;
  const records = Array.from({ length: count / batch }, (_value, offset) => {
    const keys = Array.from({ length: batch }, () => ({ key: utils.newIdAt(atMs), claimId: utils.newId() }));
    return {
      offset,
      atMs,
      id: "r",
      payload: { version: 1, type: "claims", holder: "e1", claims: keys, abandoned: [] },
    };
  });
  const heapBefore = getHeapBytes();
  const projection = new claims.ClaimProjection(600_000);
  const cpuMs = measureCpuMs(() => {
    for (const record of records) projection.acceptRecord(record);
  });
  const variant = `claims ${count}`;
  report.add(variant, "claims memory", getHeapBytes() - heapBefore, "B");
  report.add(variant, "claims cpu", (cpuMs / count) * utils.msPerSecond, "us/claim");
}

/** Measures a timeline with a ring buffer of `count` events: its memory, and the cost of recording one event. */
function measureTimeline(report: BenchReport, count: number): void {
  const heapBefore = getHeapBytes();
  const timeline = new Timeline("e1", count);
  const cpuMs = measureCpuMs(() => {
    for (let index = 0; index < count; index++)
      timeline.add("step", { requestId: `r${index % 50}`, detail: `token ${index}`, durationMs: 3 });
  });
  const variant = `events ${count}`;
  report.add(variant, "timeline memory", getHeapBytes() - heapBefore, "B");
  report.add(variant, "timeline cpu", (cpuMs / count) * utils.msPerSecond, "us/event");
}

/** Measures limits with `count` active accounts: the cost and the size of one exchange of demands. */
function measureDemands(report: BenchReport, count: number): void {
  const limits = new admission.AccountLimits();
  const names = Array.from({ length: count }, (_value, index) => `account-${index}`);
  for (const name of names) limits.tryAdmit(name, { concurrency: 100, tokensPerMinute: 60_000 }, 100);
  const demands = limits.getDemands();
  const rounds = 200;
  const cpuMs = measureCpuMs(() => {
    for (let round = 0; round < rounds; round++) limits.setDemands(`e${round % 30}`, limits.getDemands());
  });
  const variant = `active accounts ${count}`;
  report.add(variant, "demands cpu", cpuMs / rounds, "ms/exchange");
  report.add(variant, "demands told", JSON.stringify(demands).length, "B");
}

function measureCpuMs(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const cpu = process.cpuUsage(before);
  return (cpu.user + cpu.system) / 1_000;
}

/** Returns the heap in use after a garbage collection. Requires `--expose-gc`, which `npm run bench` sets. */
function getHeapBytes(): number {
  (globalThis as { gc?: () => void }).gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
