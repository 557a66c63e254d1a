/** What an instance tells operators about its decisions under load: as a report, as metrics, and as log lines of changes. */
import * as zod from "zod";
import test, { type ExecutionContext } from "ava";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import type { PressureEntry } from "../../loadcontrol/PressureSource.js";
import { PressureSource } from "../../loadcontrol/PressureSource.js";
import { pressureReportSchema, PressureView } from "../../loadcontrol/PressureView.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LogOutput, type LogFields, type LogLevel } from "../../logs/LogOutput.js";

const level: PressureEntry = {
  decision: "urgencyLevels",
  service: "assist",
  subject: "east",
  value: 2,
  reason: "14 of 80 streams missed their targets",
  ageMs: 300,
};

class LineRecorder extends LogOutput {
  readonly lines: (LogFields & { readonly event: string })[] = [];

  override isBehind(): boolean {
    return false;
  }

  override write(_level: LogLevel, event: string, fields: LogFields): void {
    this.lines.push({ event, ...fields });
  }
}

/** A decision whose entries the test sets. */
class ScriptedSource extends PressureSource {
  entries: readonly PressureEntry[] = [];
  isBroken = false;

  override getPressure(): readonly PressureEntry[] {
    if (this.isBroken) throw new TypeError("no level");
    return this.entries;
  }
}

function createView() {
  const source = new ScriptedSource();
  const figures = { ageMs: 250, getAgeMs: (): number => figures.ageMs };
  const output = new LineRecorder();
  const view = new PressureView({
    instance: { name: "front-1", availabilityZone: "east" },
    loads: { isCollector: false, collector: "front-2" },
    figures,
    sources: [source],
    log: new DecisionLog(output, () => 0),
  });
  return { source, figures, output, view };
}

async function serve(t: ExecutionContext, view: PressureView): Promise<(path: string) => Promise<Response>> {
  const metrics = new GatewayMetrics();
  view.addTo(metrics);
  await metrics.listen({ host: "127.0.0.1", port: 0 });
  t.teardown(() => metrics.close());
  return (path) => fetch(`http://127.0.0.1:${metrics.port}${path}`);
}

test("refusals rise at night: the listener for metrics says what is decided, why, and by which figures", async (t) => {
  const { source, view } = createView();
  source.entries = [level];
  const get = await serve(t, view);
  const report = pressureReportSchema.parse(await (await get("/pressure")).json());
  t.deepEqual(report, {
    instance: "front-1",
    availabilityZone: "east",
    isCollector: false,
    collector: "front-2",
    figuresAgeMs: 250,
    entries: [level],
    omitted: 0,
  });
  const text = await (await get("/metrics")).text();
  t.regex(text, /shedtiller_gateway_pressure\{decision="urgencyLevels",service="assist",subject="east"\} 2/);
});

test("a metric of a decision that has no effect any more disappears", async (t) => {
  const { source, view } = createView();
  const get = await serve(t, view);
  source.entries = [level];
  await get("/metrics");
  source.entries = [];
  t.notRegex(await (await get("/metrics")).text(), /shedtiller_gateway_pressure\{/);
});

test("after a restart of all instances, the report has no age, and JSON represents inputs that never arrived", async (t) => {
  const { source, figures, view } = createView();
  figures.ageMs = Number.POSITIVE_INFINITY;
  source.entries = [{ ...level, ageMs: Number.POSITIVE_INFINITY, value: Number.NaN }];
  const get = await serve(t, view);
  const report = pressureReportSchema.parse(await (await get("/pressure")).json());
  t.is(report.figuresAgeMs, undefined);
  t.deepEqual([report.entries[0]?.value, report.entries[0]?.ageMs], [0, Number.MAX_SAFE_INTEGER]);
});

test("a decision with many subjects has a bounded number of label values, with the largest ones", (t) => {
  const { source, view } = createView();
  source.entries = Array.from({ length: 1_000 }, (_, index) => ({
    ...level,
    subject: `account-${index}`,
    value: index,
  }));
  const { entries, omitted } = view.getReport();
  t.is(entries.length + omitted, 1_000);
  t.true(entries.length < 50);
  t.is(entries[0]?.subject, "account-999");
});

test("a decision that can't be read is answered with an error, and the metrics of the instance go on", async (t) => {
  const { source, view } = createView();
  const get = await serve(t, view);
  source.isBroken = true;
  const answer = await get("/pressure");
  t.is(answer.status, 500);
  t.regex(await answer.text(), /no level/);
  source.isBroken = false;
  t.is((await get("/metrics")).status, 200);
});

test("a change is logged once, if it exceeds the hysteresis since the last logged value", (t) => {
  const { source, output, view } = createView();
  const valueSchema = zod.object({
    event: zod.string(),
    value: zod.number().optional(),
    before: zod.number(),
  });
  for (const value of [2, 2, 2.2, 2.3, 2.6, 2.6]) {
    source.entries = [{ ...level, value }];
    view.logChanges();
  }
  source.entries = [];
  view.logChanges();
  view.logChanges();
  t.deepEqual(
    output.lines.map((line) => valueSchema.parse(line)),
    [
      { event: "pressure-changed", value: 2, before: 0 },
      { event: "pressure-changed", value: 2.6, before: 2 },
      { event: "pressure-ended", before: 2.6 },
    ],
  );
});
