/** What is taken of what answers say of their endpoints. */
import test from "ava";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointStatements } from "../../discovery/EndpointStatements.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { emptyStatement, type EndpointStatement } from "../../http/EndpointStatement.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { RecordingSink } from "../RecordingSink.js";

class Scene {
  nowMs = 1_000;
  readonly lines = new RecordingSink();
  readonly counted: string[] = [];
  readonly endpoints = new EndpointTable(() => this.nowMs);
  private readonly _log = new DecisionLog(this.lines, () => this.nowMs);
  readonly statements = new EndpointStatements({
    endpoints: this.endpoints,
    limits: new EndpointLimits({ log: this._log, nowMs: () => this.nowMs }),
    log: this._log,
    count: (what) => this.counted.push(what),
    nowMs: () => this.nowMs,
  });

  constructor() {
    this.endpoints.setAll(new Map([["a", createListed("a", { bornAtMs: 5 })]]));
  }

  get restMs(): number {
    return this.endpoints.get("a")?.backoff.getLeftMs(this.nowMs) ?? 0;
  }

  answer(status: number, said: Partial<EndpointStatement>): void {
    const endpoint = this.endpoints.get("a");
    const answer = { status, stated: { ...emptyStatement, ...said }, sentAtMs: this.nowMs };
    if (endpoint !== undefined) this.statements.noteAnswer(endpoint, answer);
  }

  report(status: number, said: Partial<EndpointStatement>, lifeId: string): void {
    const target = { id: "a", address: "a:1", lifeId };
    const answer = { status, stated: { ...emptyStatement, ...said }, sentAtMs: this.nowMs };
    this.statements.noteOrderAnswer(target, answer);
  }
}

const threeSeconds = { retryAfter: { kind: "named", afterMs: 3_000 } } as const;

test("an endpoint that turns a request away and names a time rests, in one line; other answers name no rest", (t) => {
  const scene = new Scene();
  scene.answer(200, threeSeconds);
  scene.answer(500, threeSeconds);
  t.is(scene.restMs, 0);
  for (const status of [503, 429, 503]) scene.answer(status, threeSeconds);
  t.is(scene.restMs, 3_000);
  t.deepEqual(scene.lines.events, ["info endpoint-rest-began"]);
  t.deepEqual(scene.counted, ["rest", "rest", "rest"]);
  scene.nowMs += 3_000;
  scene.answer(200, {});
  t.deepEqual(scene.lines.events, ["info endpoint-rest-began", "info endpoint-rest-ended"]);
});

test("a time that can't be meant is logged as an error and changes nothing, a very long one is bounded", (t) => {
  const scene = new Scene();
  scene.answer(503, { retryAfter: { kind: "unreadable", text: "-1" } });
  t.is(scene.restMs, 0);
  t.deepEqual(scene.lines.events, ["error endpoint-rest-unreadable"]);
  scene.answer(503, { retryAfter: { kind: "named", afterMs: 80_000_000 } });
  t.is(scene.restMs, 600_000);
});

test("reports and orders are answers, too, of the life that they went to", (t) => {
  const scene = new Scene();
  scene.report(503, threeSeconds, "a@4");
  t.is(scene.restMs, 0);
  scene.report(503, threeSeconds, "a@5");
  t.is(scene.restMs, 3_000);
});

test("a new life of an endpoint is not at rest", (t) => {
  const scene = new Scene();
  scene.answer(503, threeSeconds);
  scene.endpoints.noteStart("a", 6, []);
  t.is(scene.restMs, 0);
});

test("an unknown header is logged once by its name, and counted each time", (t) => {
  const scene = new Scene();
  for (let answer = 0; answer < 3; answer++) scene.answer(200, { unknownHeaderNames: ["server-mood"] });
  t.deepEqual(scene.lines.events, ["warn endpoint-header-unknown"]);
  t.is(scene.counted.length, 3);
});
