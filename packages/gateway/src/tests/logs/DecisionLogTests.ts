/** Tests that the volume of the log is bounded, and that lines that were left out are counted. */
import test from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LogOutput, type LogFields, type LogLevel } from "../../logs/LogOutput.js";

class CollectingLogOutput extends LogOutput {
  readonly lines: { level: LogLevel; event: string; fields: LogFields }[] = [];
  isSlow = false;

  override isBehind(): boolean {
    return this.isSlow;
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.lines.push({ level, event, fields });
  }
}

test("lines beyond the rate limit of their event name are left out and counted", (t) => {
  const output = new CollectingLogOutput();
  let nowMs = 0;
  const log = new DecisionLog(output, () => nowMs);
  for (let index = 0; index < 1_000; index++) log.info("often", {});
  log.warn("seldom", {});
  const often = output.lines.filter((line) => line.event === "often").length;
  t.true(often < 1_000);
  t.is(output.lines.filter((line) => line.event === "seldom").length, 1);
  nowMs = 1_000;
  log.info("often", {});
  t.is(output.lines.at(-1)?.fields["leftOut"], 1_000 - often);
});

test("nothing is written while the consumer of the output is behind", (t) => {
  const output = new CollectingLogOutput();
  const log = new DecisionLog(output, () => 0);
  output.isSlow = true;
  log.error("lost", {});
  t.is(output.lines.length, 0);
  output.isSlow = false;
  log.error("lost", {});
  t.is(output.lines[0]?.fields["leftOut"], 1);
});
