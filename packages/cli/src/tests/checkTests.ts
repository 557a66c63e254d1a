/** `shedtiller check` validates the settings of each daemon by its own schema and reports file, line and field of faults. */
import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import test, { type ExecutionContext } from "ava";

const command = path.resolve("packages/cli/bin/shedtiller.js");

interface CommandResult {
  readonly status: number | null;
  readonly output: string;
}

function run(...args: string[]): CommandResult {
  const { status, stdout, stderr } = spawnSync(process.execPath, [command, ...args], { encoding: "utf8" });
  return { status, output: stdout + stderr };
}

function writeSettings(t: ExecutionContext, text: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "shedtiller-check-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, "settings.ini");
  fs.writeFileSync(file, text);
  return file;
}

const template = fs.readFileSync("platform/settings.ini", "utf8");

test("a gateway's template has no faults, although its values are placeholders", (t) => {
  const result = run("check", "platform/settings.ini");
  t.is(result.status, 0, result.output);
  t.regex(result.output, /\(gateway\)/);
});

test("an entry's settings are checked by the entry's schema", (t) => {
  const result = run("check", "examples/lakeshore-east-1.ini");
  t.is(result.status, 0, result.output);
  t.regex(result.output, /\(entry\)/);
});

test("a misspelt name in a gateway's settings is reported with its line, its field and the nearest name", (t) => {
  const file = writeSettings(t, template.replace("budgetSlack", "budgetSlck"));
  const result = run("check", file);
  t.is(result.status, 1);
  t.regex(result.output, /settings\.ini:\d+: \[retries\] budgetSlck.*did you mean budgetSlack/);
});

test("an invalid value is a fault in a template as well", (t) => {
  const file = writeSettings(t, template.replace("{{bounds.budget-window-s}}", "soon"));
  const result = run("check", "--json", file);
  t.is(result.status, 1);
  const { daemon, faults } = JSON.parse(result.output) as { daemon: string; faults: { place: string }[] };
  t.is(daemon, "gateway");
  t.is(faults.length, 1);
  t.regex(faults[0]?.place ?? "", /\[retries\] budgetWindowS$/);
});

test("an unknown daemon and an unreadable file have different exit codes", (t) => {
  t.is(run("check", "--daemon", "gatway", "platform/settings.ini").status, 2);
  t.is(run("check", "no-such-file.ini").status, 1);
});
