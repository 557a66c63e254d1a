/** Checks a replay against the expectations of its trace and against the guarantees that hold for every trace. */
import type { CallerReport } from "../fleet/CallerClient.js";
import { getLayerCount } from "../fleet/seedConfiguration.js";
import type { TraceRecord } from "./runTrace.js";
import type { CallLine, ExpectLine, RequestLine } from "./traceSchema.js";

/** Time after the start of draining from which an endpoint must not receive new work. */
const drainingGraceMs = 3_000;

/** Outcome of one request or call. */
export interface RequestOutcome {
  readonly outcome: string;
  readonly timesRun: number;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
}

/** Result of the check of a replay. */
export interface TraceVerdict {
  readonly held: boolean;
  /** One sentence for each expectation or guarantee that did not hold. */
  readonly failed: readonly string[];
  readonly requests: Readonly<Record<string, RequestOutcome>>;
}

/** Options of {@link checkTrace}. */
export interface CheckOptions {
  /** Whether expected times are checked. Off in CI, where times depend on the speed of the machines. */
  readonly areTimesChecked: boolean;
}

/** Checks a replay after the planned stops that the replay started have ended. */
export async function checkTrace(
  record: TraceRecord,
  options: CheckOptions = { areTimesChecked: true },
): Promise<TraceVerdict> {
  const expectations = record.trace.expectations.map((line) =>
    options.areTimesChecked ? line : withoutTimes(line),
  );
  const failed = [
    ...expectations.flatMap((line) => checkExpectation(record, line)),
    ...record.trace.requests.flatMap((line) => checkRequest(record, line)),
    ...record.trace.calls.flatMap((line) => checkCall(record, line)),
    ...checkKeys(record),
    ...checkDraining(record),
    ...(await checkPlannedStops(record)),
  ];
  const lines = [...record.trace.requests, ...record.trace.calls];
  const requests = Object.fromEntries(lines.map((line) => [line.id, toOutcome(record, line)]));
  return { held: failed.length === 0, failed, requests };
}

function withoutTimes(line: ExpectLine): ExpectLine {
  return { ...line, withinMs: undefined, firstTokenWithinMs: undefined };
}

function toOutcome(record: TraceRecord, line: RequestLine | CallLine): RequestOutcome {
  const report = record.reports.get(line.id);
  return {
    outcome: report?.outcome ?? "none",
    timesRun: getTimesRun(record, line),
    firstTokenMs: report?.firstTokenMs ?? null,
    totalMs: report?.totalMs ?? 0,
  };
}

/** Returns how often a request ran: 1 for an answered model request, and the counted runs for a service call. */
function getTimesRun(record: TraceRecord, line: RequestLine | CallLine): number {
  const report = record.reports.get(line.id);
  if (line.kind === "request") return report?.outcome === "answered" ? 1 : 0;
  if (line.key !== undefined) return record.fleet.runs.byKey.get(record.keys.get(line.key) ?? "") ?? 0;
  return record.fleet.runs.byRequestId.get(report?.requestId ?? "") ?? 0;
}

function checkExpectation(record: TraceRecord, expected: ExpectLine): string[] {
  if (expected.key !== undefined) return checkKeyExpectation(record, expected);
  const line = [...record.trace.requests, ...record.trace.calls].find(
    (candidate) => candidate.id === expected.id,
  );
  const report = record.reports.get(expected.id ?? "");
  if (line === undefined || report === undefined) return [`${expected.id ?? ""}: no outcome was recorded.`];
  const failed: string[] = [];
  const allowed = expected.outcome === undefined ? undefined : [expected.outcome].flat();
  if (allowed !== undefined && !allowed.some((outcome) => outcome === report.outcome)) {
    failed.push(
      `${line.id}: outcome ${report.outcome} instead of ${allowed.join(" or ")} (${report.detail}).`,
    );
  }
  failed.push(...checkCount(line.id, getTimesRun(record, line), expected));
  if (
    expected.firstTokenWithinMs !== undefined &&
    (report.firstTokenMs ?? Infinity) > expected.firstTokenWithinMs
  ) {
    failed.push(
      `${line.id}: first token after ${report.firstTokenMs ?? "no"} ms instead of ${expected.firstTokenWithinMs}.`,
    );
  }
  if (expected.withinMs !== undefined && report.totalMs > expected.withinMs) {
    failed.push(`${line.id}: took ${report.totalMs} ms instead of ${expected.withinMs}.`);
  }
  return failed;
}

function checkKeyExpectation(record: TraceRecord, expected: ExpectLine): string[] {
  const key = expected.key ?? "";
  return checkCount(key, getKeyRuns(record, key), expected);
}

/** Returns the runs of a key: the runs that services counted, and the model answers that were generated completely. */
function getKeyRuns(record: TraceRecord, key: string): number {
  const runs = record.fleet.runs.byKey.get(record.keys.get(key) ?? "") ?? 0;
  const models = record.trace.requests.filter((line) => line.key === key);
  return runs + models.filter((line) => isFullyGenerated(record, line)).length;
}

/** Whether engines generated the complete answer under the id of this request. */
function isFullyGenerated(record: TraceRecord, line: RequestLine): boolean {
  const requestId = record.reports.get(line.id)?.requestId;
  if (requestId === undefined) return false;
  const positions = line.promptTokens + line.outputTokens - 1;
  const executions = record.fleet.executionLog.getExecutions(requestId);
  return executions.some((execution) => execution.position + execution.count >= positions);
}

function checkCount(name: string, timesRun: number, expected: ExpectLine): string[] {
  const failed: string[] = [];
  if (expected.timesRun !== undefined && timesRun !== expected.timesRun) {
    failed.push(`${name}: ran ${timesRun} times instead of ${expected.timesRun}.`);
  }
  if (expected.timesRunAtMost !== undefined && timesRun > expected.timesRunAtMost) {
    failed.push(`${name}: ran ${timesRun} times, at most ${expected.timesRunAtMost} allowed.`);
  }
  return failed;
}

function checkRequest(record: TraceRecord, line: RequestLine): string[] {
  const report = record.reports.get(line.id);
  if (report === undefined) return [`${line.id}: no outcome was recorded.`];
  if (report.outcome === "wrong") return [`${line.id}: the caller received wrong tokens.`];
  const { executionLog } = record.fleet;
  const requestId = report.requestId ?? "";
  if (report.outcome === "refused-not-run")
    return checkNotRun(line.id, executionLog.getExecutions(requestId).length);
  // A repeated request with the same key receives the answer that was generated under the id of the first request.
  const isOwnRun = executionLog.getExecutions(requestId).length > 0;
  if (report.outcome !== "answered" || (line.key !== undefined && !isOwnRun)) return [];
  const positions = line.promptTokens + line.outputTokens - 1;
  return executionLog.findViolations(requestId, getLayerCount(record.trace.setup, line.model), positions);
}

function checkCall(record: TraceRecord, line: CallLine): string[] {
  const report = record.reports.get(line.id);
  if (report === undefined) return [`${line.id}: no outcome was recorded.`];
  if (report.outcome !== "refused-not-run") return [];
  return checkNotRun(line.id, record.fleet.runs.byRequestId.get(report.requestId ?? "") ?? 0);
}

function checkNotRun(id: string, runs: number): string[] {
  return runs === 0 ? [] : [`${id}: was refused as not executed, but ran.`];
}

function checkKeys(record: TraceRecord): string[] {
  return [...record.keys.keys()].flatMap((key) =>
    checkCount(key, getKeyRuns(record, key), { kind: "expect", key, timesRunAtMost: 1 }),
  );
}

function checkDraining(record: TraceRecord): string[] {
  const failed: string[] = [];
  const { engines, services, executionLog } = record.fleet;
  for (const { name, drainingSinceMs } of engines.values()) {
    if (drainingSinceMs === undefined) continue;
    const ids = executionLog.getRequestIds();
    const all = ids.flatMap((requestId) => executionLog.getExecutions(requestId));
    const late = all.find(
      (execution) =>
        execution.endpoint === name && execution.streamStartedAtMs > drainingSinceMs + drainingGraceMs,
    );
    if (late !== undefined)
      failed.push(
        `${name}: received new work ${late.streamStartedAtMs - drainingSinceMs} ms after the start of draining.`,
      );
  }
  for (const { name, drainingSinceMs, callTimesMs } of services.values()) {
    const isLate =
      drainingSinceMs !== undefined && callTimesMs.some((atMs) => atMs > drainingSinceMs + drainingGraceMs);
    if (isLate) failed.push(`${name}: received new work after the start of draining.`);
  }
  return failed;
}

/** Checks that planned stops aborted no request, and that no request at a stopped instance ended without a final response. */
async function checkPlannedStops(record: TraceRecord): Promise<string[]> {
  const failed: string[] = [];
  for (const [name, drain] of record.fleet.drains) {
    const { abortedRequestIds: aborted } = await drain;
    if (aborted.length > 0) failed.push(`${name}: its planned stop aborted ${aborted.length} requests.`);
    const lines = [...record.trace.requests, ...record.trace.calls].filter((line) => line.instance === name);
    for (const { id } of lines)
      if (isCut(record.reports.get(id))) failed.push(`${id}: was aborted by the planned stop of ${name}.`);
  }
  return failed;
}

function isCut(report: CallerReport | undefined): boolean {
  return report === undefined || report.outcome === "cut";
}
