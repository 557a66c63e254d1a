/** The examples in the packages' READMEs run, the example files are valid, and commands exit with the documented codes. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as url from "node:url";
import * as util from "node:util";
import test from "ava";
import { loadSettings } from "@shedtiller/settings";
import { readIntent } from "../commands/plans.js";

const root = url.fileURLToPath(new URL("../../../../", import.meta.url));
const run = util.promisify(childProcess.execFile);
const shedtiller = `${root}packages/cli/bin/shedtiller.js`;

for (const name of fs.readdirSync(`${root}packages`)) {
  const example = /```js\n([\s\S]*?)```/.exec(
    fs.readFileSync(`${root}packages/${name}/README.md`, "utf8"),
  )?.[1];
  if (example === undefined) continue;
  test.serial(`the example of ${name} runs`, async (t) => {
    const file = `${root}packages/${name}/dist/example.mjs`;
    fs.writeFileSync(file, example);
    const { stdout } = await run(process.execPath, [file]);
    t.true(stdout.length > 0 || name === "admission");
  });
}

for (const name of fs.readdirSync(`${root}examples`)) {
  test(`the example file ${name} is valid`, (t) => {
    const file = `${root}examples/${name}`;
    const isIntent = name.includes("intent");
    const read = isIntent ? readIntent(file) : loadSettings(file);
    t.is(read.err ? read.val.message : "", "");
  });
}

interface Failure {
  readonly code: number;
  readonly stderr: string;
}

/** Runs the command line without an operator token, and returns its exit code and error output. */
async function runToFailure(...args: string[]): Promise<Failure> {
  return run(process.execPath, [shedtiller, ...args], {
    env: { ...process.env, SHEDTILLER_OPERATOR_TOKEN: "" },
  }).then(
    () => ({ code: 0, stderr: "" }),
    (error: Failure) => error,
  );
}

test("commands that can't run exit with 2 and print the reason", async (t) => {
  const cases: [string[], RegExp][] = [
    [["replay", "nowhere.jsonl"], /nowhere\.jsonl/],
    [["status"], /SHEDTILLER_OPERATOR_TOKEN/],
    [["plan", "nowhere.json"], /nowhere\.json/],
    [["dance"], /dance is not a command/],
  ];
  for (const [args, message] of cases) {
    const failure = await runToFailure(...args);
    t.is(failure.code, 2);
    t.regex(failure.stderr, message);
  }
});

test("check exits with 1 and lists every fault with its line", async (t) => {
  const file = `${root}packages/cli/dist/faulty.ini`;
  fs.writeFileSync(file, "[instance]\nnme = e1\navailabilityZone = z\n");
  const failure = await runToFailure("check", file);
  t.is(failure.code, 1);
  t.regex(failure.stderr, /faulty\.ini:2: \[instance\] nme: .*did you mean name/);
  t.regex(failure.stderr, /callerAddress/);
});

test("key creates a key of which only the hash is stored", async (t) => {
  const { stdout } = await run(process.execPath, [shedtiller, "key", "--json"]);
  const created = JSON.parse(stdout) as { key: string; hash: string };
  t.regex(created.key, /^sk-/);
  t.false(created.hash.includes(created.key.split("-")[2] ?? ""));
});
