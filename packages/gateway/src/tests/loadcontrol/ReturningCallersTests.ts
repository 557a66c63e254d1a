/** Returns at this and at other instances. */
import test from "ava";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import { AccountRates } from "../../loadcontrol/AccountRates.js";
import { AdmissionGate, type GateQuery, type GateRefusal } from "../../loadcontrol/AdmissionGate.js";
import { ReturningCallers } from "../../loadcontrol/ReturningCallers.js";
import { SharedFigures } from "../../peers/SharedFigures.js";

const service = "engines";
const decisions = new Map([[`levels/${service}`, 1]]);

/** Rejects everything as long as it is told to. */
class ScriptedGate extends AdmissionGate {
  isRejecting = true;
  asked = 0;

  override getRefusal(): GateRefusal | undefined {
    this.asked += 1;
    return this.isRejecting ? { reason: "less-urgent", retryAfterMs: 1, inputs: {} } : undefined;
  }
}

/** Two instances that exchange their figures when a test says so. */
class Pair {
  nowMs = 0;
  isInEffect = true;
  readonly gate = new ScriptedGate();
  readonly figures = [0, 1].map(() => new SharedFigures(() => this.nowMs));
  readonly instances = this.figures.map((figures) => {
    const rates = new AccountRates(figures, () => this.nowMs);
    for (let count = 0; count < 400; count++) rates.noteAdmitted(service);
    return new ReturningCallers({
      gates: [this.gate],
      rates,
      figures,
      metrics: new GatewayMetrics(),
      isInEffect: () => this.isInEffect,
      nowMs: () => this.nowMs,
    });
  });

  exchange(): void {
    const own = this.figures.map((figures) => figures.getOwn());
    for (const [index, figures] of this.figures.entries())
      figures.update(own[1 - index] ?? new Map(), decisions);
  }

  arrive(instance: number, changes: Partial<GateQuery> = {}): GateRefusal | undefined {
    return this.instances[instance]?.getRefusal(createQuery(changes));
  }
}

function createQuery(changes: Partial<GateQuery>): GateQuery {
  const base = { service, priority: 1, accountName: "farm", targetLatencyMs: 500, promptTokens: 10 };
  return { ...base, digest: () => "abcdefghijkl", ...changes };
}

test("a return in time passes the gates, at the same instance and at another", (t) => {
  for (const instance of [0, 1]) {
    const pair = new Pair();
    pair.exchange();
    const refusal = pair.arrive(0);
    pair.nowMs += refusal?.retryAfterMs ?? 0;
    pair.exchange();
    t.true(pair.instances[instance]?.isReturn(createQuery({})));
    t.is(pair.arrive(instance), undefined);
    t.is(pair.gate.asked, 1);
  }
});

test("a return is admitted once, also if two instances know of it", (t) => {
  const pair = new Pair();
  pair.exchange();
  pair.nowMs += pair.arrive(0)?.retryAfterMs ?? 0;
  pair.exchange();
  t.is(pair.arrive(1), undefined);
  t.truthy(pair.arrive(1), "the same instance has taken it");
  pair.nowMs += 200;
  pair.exchange();
  t.truthy(pair.arrive(0), "the other instance has heard of it");
});

test("a request back before its time gets the rest of it, at the same instance and at another", (t) => {
  for (const instance of [0, 1]) {
    const pair = new Pair();
    pair.exchange();
    const refusal = pair.arrive(0, { targetLatencyMs: 4_000 });
    pair.exchange();
    const early = pair.arrive(instance);
    t.true((early?.retryAfterMs ?? 0) > 0.9 * (refusal?.retryAfterMs ?? 0));
    t.is(pair.gate.asked, 1, "it is rejected without another attempt");
  }
});

test("figures of the others that lapse make a return a first attempt there", (t) => {
  const pair = new Pair();
  pair.exchange();
  pair.arrive(0);
  pair.exchange();
  pair.nowMs += 5_000;
  pair.arrive(1);
  t.is(pair.gate.asked, 2);
});

test("a rejection by a later decision is expected back as well", (t) => {
  const pair = new Pair();
  pair.gate.isRejecting = false;
  t.is(pair.arrive(0), undefined);
  pair.instances[0]?.noteRefused(createQuery({}), 700);
  pair.gate.isRejecting = true;
  pair.nowMs += 700;
  t.is(pair.arrive(0), undefined);
});

test("without accounts to share between, each request passes the gates only", (t) => {
  const pair = new Pair();
  pair.isInEffect = false;
  t.is(pair.arrive(0)?.retryAfterMs, 1);
  t.is(pair.arrive(0)?.retryAfterMs, 1);
  t.is(pair.gate.asked, 2);
  t.deepEqual([...(pair.figures[0]?.getOwn() ?? [])], []);
});

test("the digest of a request is not computed while nothing is rejected", (t) => {
  const pair = new Pair();
  pair.gate.isRejecting = false;
  const digest = (): string => {
    throw new RangeError("The digest is not needed.");
  };
  t.notThrows(() => pair.arrive(0, { digest }));
});
