/** Tests which statements of answers about their endpoints are applied. */
import test from "ava";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointStatements } from "../../discovery/EndpointStatements.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { emptyStatement, type EndpointStatement } from "../../http/EndpointStatement.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";

class Fixture {
  nowMs = 1_000;
  readonly lines = new RecordingLogOutput();
  readonly counted: string[] = [];
  readonly endpoints = new EndpointTable(() => this.nowMs);
  private readonly _log = new DecisionLog(this.lines, () => this.nowMs);
  readonly statements = new EndpointStatements({
    endpoints: this.endpoints,
    limits: new EndpointLimits({ log: this._log, nowMs: () => this.nowMs }),
    log: this._log,
    count: (kind) => this.counted.push(kind),
    nowMs: () => this.nowMs,
  });

  constructor() {
    this.endpoints.setAll(new Map([["a", createListed("a", { bornAtMs: 5 })]]));
  }

  get backoffMs(): number {
    return this.endpoints.get("a")?.backoff.getLeftMs(this.nowMs) ?? 0;
  }

  answer(status: number, statement: Partial<EndpointStatement>): void {
    const endpoint = this.endpoints.get("a");
    const answer = { status, stated: { ...emptyStatement, ...statement }, sentAtMs: this.nowMs };
    if (endpoint !== undefined) this.statements.noteAnswer(endpoint, answer);
  }

  report(status: number, statement: Partial<EndpointStatement>, lifeId: string): void {
    const target = { id: "a", address: "a:1", lifeId };
    const answer = { status, stated: { ...emptyStatement, ...statement }, sentAtMs: this.nowMs };
    this.statements.noteOrderAnswer(target, answer);
  }
}

const threeSeconds = { retryAfter: { kind: "named", afterMs: 3_000 } } as const;

test("a rejection with a retry time starts a back-off with one log line; other answers start none", (t) => {
  const fixture = new Fixture();
  fixture.answer(200, threeSeconds);
  fixture.answer(500, threeSeconds);
  t.is(fixture.backoffMs, 0);
  for (const status of [503, 429, 503]) fixture.answer(status, threeSeconds);
  t.is(fixture.backoffMs, 3_000);
  t.deepEqual(fixture.lines.events, ["info endpoint-rest-began"]);
  t.deepEqual(fixture.counted, ["rest", "rest", "rest"]);
  fixture.nowMs += 3_000;
  fixture.answer(200, {});
  t.deepEqual(fixture.lines.events, ["info endpoint-rest-began", "info endpoint-rest-ended"]);
});

test("an invalid retry time is logged as an error and changes nothing; a very long one is capped", (t) => {
  const fixture = new Fixture();
  fixture.answer(503, { retryAfter: { kind: "unreadable", text: "-1" } });
  t.is(fixture.backoffMs, 0);
  t.deepEqual(fixture.lines.events, ["error endpoint-rest-unreadable"]);
  fixture.answer(503, { retryAfter: { kind: "named", afterMs: 80_000_000 } });
  t.is(fixture.backoffMs, 600_000);
});

test("statements of reports and orders apply to the life that was addressed", (t) => {
  const fixture = new Fixture();
  fixture.report(503, threeSeconds, "a@4");
  t.is(fixture.backoffMs, 0);
  fixture.report(503, threeSeconds, "a@5");
  t.is(fixture.backoffMs, 3_000);
});

test("a new life of an endpoint has no back-off", (t) => {
  const fixture = new Fixture();
  fixture.answer(503, threeSeconds);
  fixture.endpoints.noteStart("a", 6, []);
  t.is(fixture.backoffMs, 0);
});

test("an unknown header is logged once per name, and counted each time", (t) => {
  const fixture = new Fixture();
  for (let answer = 0; answer < 3; answer++) fixture.answer(200, { unknownHeaderNames: ["server-mood"] });
  t.deepEqual(fixture.lines.events, ["warn endpoint-header-unknown"]);
  t.is(fixture.counted.length, 3);
});
