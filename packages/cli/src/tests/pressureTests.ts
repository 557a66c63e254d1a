/** `shedtiller pressure` shows by zone what is decided and why, and says what is not known. */
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as url from "node:url";
import * as util from "node:util";
import test, { type ExecutionContext } from "ava";
import { GatewayMetrics, type PressureEntry, type PressureReport } from "@shedtiller/gateway";
import { fetchPressure } from "../pressure/fetchPressure.js";
import { formatPressure } from "../pressure/formatPressure.js";

const shedtiller = url.fileURLToPath(new URL("../../bin/shedtiller.js", import.meta.url));
const run = util.promisify(childProcess.execFile);
const host = "127.0.0.1";
const generousMs = 60_000;

function createEntry(changes: Partial<PressureEntry>): PressureEntry {
  const entry = { decision: "urgencyLevels", service: "assist", subject: "priority 3", value: 0.25 };
  return { ...entry, reason: "14 of 80 streams missed their targets", ageMs: 300, ...changes };
}

function createReport(changes: Partial<PressureReport>): PressureReport {
  const report = { instance: "front-1", availabilityZone: "east", isCollector: true, collector: "front-1" };
  return { ...report, figuresAgeMs: 200, entries: [], omitted: 0, ...changes };
}

/** Starts the listener of a gateway that reports `content`; returns its address. */
async function serve(t: ExecutionContext, content: unknown): Promise<string> {
  const metrics = new GatewayMetrics();
  metrics.addPage("/pressure", () => content);
  await metrics.listen({ host, port: 0 });
  t.teardown(() => metrics.close());
  return `${host}:${metrics.port}`;
}

/** Starts a listener that accepts connections and never answers; returns its address. */
async function listenSilently(t: ExecutionContext): Promise<string> {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => sockets.push(socket.on("error", () => undefined)));
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `${host}:${(server.address() as net.AddressInfo).port}`;
}

/** Returns an address at which nothing listens. */
async function getRefusingAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `${host}:${port}`;
}

test("refusals rise at night: the command names by zone the level, its reason, who is refused, flows and first engines", (t) => {
  const entries = [
    createEntry({ decision: "earlyMoves", subject: "moves", value: 4, reason: "engines were lost" }),
    createEntry({ decision: "firstEngineShare", subject: "e1", value: 0.41, reason: "1 of 2 engines" }),
    createEntry({ decision: "zoneFlows", subject: "east to west", value: 0.3, reason: "east is full" }),
    createEntry({}),
  ];
  t.deepEqual(formatPressure([createReport({ entries })]), [
    "zone east: collector front-1, 1 instance asked",
    "  level of admission, and who is refused",
    "    assist  priority 3  0.25  14 of 80 streams missed their targets (0.3 s old)",
    "  flows between zones",
    "    assist  east to west  0.3  east is full (0.3 s old)",
    "  first engines, and the share that each begins",
    "    assist  e1  0.41  1 of 2 engines (0.3 s old)",
    "  earlyMoves",
    "    assist  moves  4  engines were lost (0.3 s old)",
  ]);
});

test("while the collector is away, the command says what is not known, and still shows the last decisions", (t) => {
  const follower = { isCollector: false, collector: "front-9" };
  const reports = [
    createReport({ ...follower, figuresAgeMs: 3_200, entries: [createEntry({ ageMs: 3_500 })] }),
    createReport({ ...follower, instance: "front-2", figuresAgeMs: undefined }),
  ];
  t.deepEqual(formatPressure(reports), [
    "zone east: collector front-9, 2 instances asked",
    "  not known to front-1: figures of all other instances and the zone's decisions are 3.2 s old; the collector front-9 is silent",
    "  not known to front-2: figures of all other instances and the zone's decisions have not arrived since its start; the collector front-9 is silent",
    "  level of admission, and who is refused",
    "    assist  priority 3  0.25  14 of 80 streams missed their targets (3.5 s old)",
  ]);
});

test("two collectors at once are both named, and values that differ are shown as a range", (t) => {
  const reports = [
    createReport({ entries: [createEntry({ value: 0.25, ageMs: 900 })] }),
    createReport({ instance: "front-2", collector: "front-2", entries: [createEntry({ value: 0.5 })] }),
    createReport({ instance: "front-3", availabilityZone: "west", collector: "front-3", omitted: 7 }),
  ];
  t.deepEqual(formatPressure(reports), [
    "zone east: collectors front-1 and front-2, 2 instances asked",
    "  level of admission, and who is refused",
    "    assist  priority 3  0.25 to 0.5 (2 instances)  14 of 80 streams missed their targets (0.3 s old)",
    "zone west: collector front-3, 1 instance asked",
    "  front-3 left out 7 smaller values; see its log for their changes",
    "  no decision has an effect",
  ]);
});

test("an instance that is silent, and one of an earlier version, are errors that name the address", async (t) => {
  const silent = await listenSilently(t);
  const unreached = await fetchPressure(silent, 50);
  t.is(unreached.err ? `${unreached.val.code} ${unreached.val.address}` : "", `not_reached ${silent}`);
  const earlier = await serve(t, "metrics as text");
  const unreadable = await fetchPressure(earlier, generousMs);
  t.is(
    unreadable.err ? `${unreadable.val.code} ${unreadable.val.address}` : "",
    `pressure_unreadable ${earlier}`,
  );
});

test("the command prints what it got, and exits with 1 if an instance was not reached and with 2 if none was", async (t) => {
  const address = await serve(t, createReport({ entries: [createEntry({})] }));
  const unreached = await getRefusingAddress();
  const all = await run(process.execPath, [shedtiller, "pressure", address]);
  t.regex(all.stdout, /zone east: collector front-1/);
  type Failure = { code: number; stdout: string; stderr: string };
  const some = (await t.throwsAsync(
    run(process.execPath, [shedtiller, "pressure", address, unreached, "--json"]),
  )) as unknown as Failure;
  const printed = JSON.parse(some.stdout) as { reports: PressureReport[]; failures: { address: string }[] };
  t.deepEqual([some.code, printed.reports.length, printed.failures[0]?.address], [1, 1, unreached]);
  t.true(some.stderr.includes(`${unreached} could not be reached`));
  const none = (await t.throwsAsync(
    run(process.execPath, [shedtiller, "pressure", unreached]),
  )) as unknown as Failure;
  t.is(none.code, 2);
});
