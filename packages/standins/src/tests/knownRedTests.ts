/** Tests that CI ignores exactly the failures that KNOWN-RED.txt lists. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import test from "ava";

const script = url.fileURLToPath(new URL("../../../../scripts/checkKnownRed.mjs", import.meta.url));
const listed = "a known test | its cause | issue 1\n";
const known =
  "  ✘ [fail]: packages › a › dist › tests › aTests › a known test and the message of its assertion\n";
const other = "  ✘ [fail]: packages › a › dist › tests › aTests › another test\n";

function check(log: string, list: string): { status: number | null; output: string } {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "known-red-"));
  const files = { log: path.join(folder, "log"), list: path.join(folder, "list") };
  fs.writeFileSync(files.log, log);
  fs.writeFileSync(files.list, list);
  const checked = childProcess.spawnSync(process.execPath, [script, files.log, files.list], {
    encoding: "utf8",
  });
  fs.rmSync(folder, { recursive: true });
  return { status: checked.status, output: checked.stdout };
}

test("a run in which only listed tests fail passes and prints them", (t) => {
  const { status, output } = check(`  ✔ x\n${known}\n  1 test failed\n`, listed);
  t.is(status, 0);
  t.regex(output, /known red: a known test/);
});

// Fails if the check reads the titles of passed tests as messages of ava, so that a title with "timed out" fails every run.
test("the title of a passed test is not taken for an error message of ava", (t) => {
  for (const title of ["a call that timed out is repeated", "a ✘ is printed", "3 tests failed is printed"]) {
    const passed = `  ✔ packages › a › dist › tests › aTests › ${title} (3ms)\n`;
    t.is(check(`${passed}${known}\n  1 test failed\n`, listed).status, 0, title);
  }
});

const failing: readonly { readonly name: string; readonly log: string; readonly list: string }[] = [
  { name: "another test failed as well", log: `${known}${other}\n  2 tests failed\n`, list: listed },
  { name: "the list is empty", log: `${known}\n  1 test failed\n`, list: "" },
  { name: "a file crashed", log: `${known}\n  1 test failed\n  1 uncaught exception\n`, list: listed },
  {
    name: "the run timed out",
    log: `${known}  ✘ Timed out while running tests\n  1 test failed\n`,
    list: listed,
  },
  { name: "more tests failed than the log names", log: `${known}\n  3 tests failed\n`, list: listed },
  { name: "no test ran", log: "error TS2345\n", list: listed },
];
for (const { name, log, list } of failing) {
  test(`a run does not pass if ${name}`, (t) => t.is(check(log, list).status, 1));
}
