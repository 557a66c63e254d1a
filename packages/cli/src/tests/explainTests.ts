/** `shedtiller explain` finds the lines that explain a request over all instances, in order and without unrelated lines. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as util from "node:util";
import test from "ava";
import { explainRequest, formatExplained } from "../explain/explainRequest.js";
import { parseLogLine, type LogLine } from "../explain/logLine.js";

const shedtiller = url.fileURLToPath(new URL("../../bin/shedtiller.js", import.meta.url));
const run = util.promisify(childProcess.execFile);

function createLine(second: number, instance: string, message: string, fields: object = {}): LogLine {
  const timestamp = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return { level: "info", message, instance, timestamp, ...fields };
}

const chain = ["10.0.0.1:80=0-40", "10.0.0.2:80=40-80"];
const lines = [
  createLine(0, "a", "instance-started"),
  createLine(20, "b", "endpoint-suspected", { endpointId: "e2", address: "10.0.0.2:80" }),
  createLine(21, "a", "stream-run-failed", { requestId: "r1", cause: "stream broken off", chain }),
  createLine(20.5, "a", "endpoint-gone", { endpointId: "e2", address: "10.0.0.2:80" }),
  createLine(20.6, "a", "endpoint-gone", { endpointId: "e9", address: "10.0.0.9:80" }),
  createLine(21, "a", "request-ended", { requestId: "r2", outcome: "completed", chain }),
  createLine(22, "a", "request-ended", { requestId: "r1", outcome: "outcome-unknown", tookMs: 3_000, chain }),
  createLine(19, "a", "configuration-in-force", { version: 4 }),
  createLine(19, "b", "configuration-in-force", { version: 4 }),
  createLine(30, "a", "endpoint-added", { endpointId: "e3", address: "10.0.0.2:80" }),
];

test("an interrupted request is explained by its own lines, its engines' lines at all instances, and its instance's configuration", (t) => {
  const found = explainRequest("r1", lines).map((line) => `${line.instance} ${line.message}`);
  t.deepEqual(found, [
    "a configuration-in-force",
    "b endpoint-suspected",
    "a endpoint-gone",
    "a stream-run-failed",
    "a request-ended",
  ]);
});

test("a request that a peer forwarded is explained by the peer's line on the tunnel, and not by other tunnels to the endpoint", (t) => {
  const address = "10.0.0.4:80";
  const found = explainRequest("r4", [
    createLine(19, "a", "instance-cut-off", { lostPaths: 2, listed: 36 }),
    createLine(20, "a", "request-sent-through-peer", {
      requestId: "r4",
      endpointId: "e4",
      peer: "b",
      tunnelId: "t1",
    }),
    createLine(21, "a", "request-ended", { requestId: "r4", outcome: "completed", tookMs: 900, peer: "b" }),
    createLine(25, "b", "tunnel-ended", { tunnelId: "t1", peer: "a", address, end: "closed" }),
    createLine(20.5, "b", "tunnel-ended", { tunnelId: "t2", peer: "c", address, end: "closed" }),
  ]);
  t.deepEqual(
    found.map((line) => `${line.instance} ${line.message}`),
    ["a instance-cut-off", "a request-sent-through-peer", "a request-ended", "b tunnel-ended"],
  );
});

test("a request that lacked capacity is also explained by endpoints that were lost before the request", (t) => {
  const refused = createLine(23, "a", "stream-refused", { requestId: "r3", reason: "no-room" });
  const found = explainRequest("r3", [...lines, refused]).map((line) => line.message);
  t.deepEqual(found, ["configuration-in-force", "endpoint-gone", "endpoint-gone", "stream-refused"]);
});

test("a request that was rejected for more urgent ones shows the inputs of the decision, and the changes before it", (t) => {
  const rejectedLines = [
    createLine(20, "a", "pressure-changed", { decision: "urgencyLevels", service: "s", value: 2, before: 1 }),
    createLine(20, "b", "pressure-changed", { decision: "urgencyLevels", service: "s", value: 2, before: 1 }),
    createLine(21, "a", "request-refused", {
      requestId: "r6",
      reason: "less-urgent",
      retryAfterMs: 1_500,
      inputs: { level: 2, missShare: 0.3, isFull: "yes" },
    }),
  ];
  const found = explainRequest("r6", rejectedLines);
  t.deepEqual(
    found.map((line) => line.message),
    ["pressure-changed", "request-refused"],
  );
  t.regex(
    formatExplained(rejectedLines[2] as LogLine),
    /reason=less-urgent retryAfterMs=1500 inputs=\(level=2, missShare=0.3, isFull=yes\)$/,
  );
});

test("a quarantined request is explained by crashes of equal requests, even minutes earlier and at other instances", (t) => {
  const crashLines = [
    createLine(1, "a", "crash-counted", { digest: "d1", endpointId: "e1", weight: 1 }),
    createLine(2, "b", "crash-counted", { digest: "d1", endpointId: "e2", weight: 1 }),
    createLine(2, "b", "crash-counted", { digest: "d2", endpointId: "e2", weight: 1 }),
    createLine(3, "b", "request-held", { digest: "d1" }),
    createLine(200, "a", "request-held-back", { requestId: "r5", digest: "d1" }),
    createLine(201, "b", "request-released", { digest: "d1" }),
  ];
  t.deepEqual(
    explainRequest("r5", crashLines).map((line) => line.message),
    ["crash-counted", "crash-counted", "request-held", "request-held-back"],
  );
});

test("a request with a quarantined part of its prompt is explained by the crashes that count against the part", (t) => {
  const crashLines = [
    createLine(1, "a", "crash-counted", {
      suspects: ["part:bad weight=1 against=1", "d1 weight=1 against=1"],
    }),
    createLine(2, "b", "crash-counted", { suspects: ["part:other weight=1 against=1"] }),
    createLine(3, "b", "request-held", { trait: "part:bad" }),
    createLine(200, "a", "request-held-back", { requestId: "r7", digest: "d7", traits: ["part:bad"] }),
  ];
  t.deepEqual(
    explainRequest("r7", crashLines).map((line) => line.message),
    ["crash-counted", "request-held", "request-held-back"],
  );
});

test("a request refused for a stale configuration is explained by the loss of the configuration store", (t) => {
  const staleLines = [
    createLine(2, "a", "configuration-store-lost", { cause: "no answer" }),
    createLine(7, "a", "request-refused", {
      requestId: "r4",
      reason: "stale-configuration",
      proofAgeMs: 4_700,
    }),
  ];
  t.deepEqual(
    explainRequest("r4", staleLines).map((line) => line.message),
    ["configuration-store-lost", "request-refused"],
  );
});

test("a log line may have a prefix before its JSON object; a line without an object is an error that names the line", (t) => {
  const good = parseLogLine(`12.5 front-1 ${JSON.stringify(lines[0])}`, "x.log:1");
  t.is(good.ok ? good.val.message : "", "instance-started");
  const bad = parseLogLine("no object", "x.log:2");
  t.regex(bad.err ? bad.val.message : "", /x\.log:2/);
});

test("the command prints the lines, and exits with 1 for an unknown request and with 2 for an unreadable file", async (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "explain-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, "a.log");
  fs.writeFileSync(file, lines.map((line) => JSON.stringify(line)).join("\n"));
  const { stdout } = await run(process.execPath, [shedtiller, "explain", "r1", file]);
  t.regex(stdout, /a {2}request-ended {2}requestId=r1 outcome=outcome-unknown tookMs=3000/);
  const none = await t.throwsAsync<Error & { code: number; stderr: string }>(
    run(process.execPath, [shedtiller, "explain", "r0", file]),
  );
  t.is(none?.code, 1);
  t.regex(none?.stderr ?? "", /No line of 1 files names the request r0\..*connection-invalid/s);
  const unreadable = await t.throwsAsync<Error & { code: number }>(
    run(process.execPath, [shedtiller, "explain", "r1", path.join(folder, "none.log")]),
  );
  t.is(unreadable?.code, 2);
});
