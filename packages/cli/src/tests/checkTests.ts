/** Settings files of both daemons are checked by their own schema, with file, line, field and the nearest name. */
import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import test, { type ExecutionContext } from "ava";

const command = path.resolve("packages/cli/bin/shedtiller.js");

interface Ended {
  readonly status: number | null;
  readonly output: string;
}

function run(...args: string[]): Ended {
  const { status, stdout, stderr } = spawnSync(process.execPath, [command, ...args], { encoding: "utf8" });
  return { status, output: stdout + stderr };
}

function write(t: ExecutionContext, text: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "shedtiller-check-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, "settings.ini");
  fs.writeFileSync(file, text);
  return file;
}

const template = fs.readFileSync("platform/settings.ini", "utf8");

test("a gateway's template is in order, though its values are filled in later", (t) => {
  const ended = run("check", "platform/settings.ini");
  t.is(ended.status, 0, ended.output);
  t.regex(ended.output, /\(gateway\)/);
});

test("an entry's settings are checked as before", (t) => {
  const ended = run("check", "examples/lakeshore-east-1.ini");
  t.is(ended.status, 0, ended.output);
  t.regex(ended.output, /\(entry\)/);
});

test("a slip in a gateway's settings names the line, the field and the nearest name", (t) => {
  const file = write(t, template.replace("budgetSlack", "budgetSlck"));
  const ended = run("check", file);
  t.is(ended.status, 1);
  t.regex(ended.output, /settings\.ini:\d+: \[retries\] budgetSlck.*did you mean budgetSlack/);
});

test("a value that is wrong is a fault also in a template", (t) => {
  const file = write(t, template.replace("{{bounds.budget-window-s}}", "soon"));
  const ended = run("check", "--json", file);
  t.is(ended.status, 1);
  const { daemon, faults } = JSON.parse(ended.output) as { daemon: string; faults: { place: string }[] };
  t.is(daemon, "gateway");
  t.is(faults.length, 1);
  t.regex(faults[0]?.place ?? "", /\[retries\] budgetWindowS$/);
});

test("a daemon that does not exist, and a file that can't be read, are told apart", (t) => {
  t.is(run("check", "--daemon", "gatway", "platform/settings.ini").status, 2);
  t.is(run("check", "no-such-file.ini").status, 1);
});
