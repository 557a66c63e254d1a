/** Guards against an age, lease or deadline that is measured with a clock that stops during a suspension of the machine. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import test from "ava";

const root = url.fileURLToPath(new URL("../../../../", import.meta.url));
const otherClocks = /performance\.now|process\.hrtime|process\.uptime|os\.uptime/;
const clock = path.join("packages", "common", "src", "utils", "ElapsedClock.ts");
/** Folders whose code may use any clock, such as tests and benchmarks. */
const excludedFolders = new Set(["node_modules", "dist", "tests", "bench", "target", "standins"]);

function* findSources(folder: string): Generator<string> {
  for (const entry of fs.readdirSync(folder, { withFileTypes: true })) {
    if (excludedFolders.has(entry.name)) continue;
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) yield* findSources(file);
    else if (entry.name.endsWith(".ts")) yield file;
  }
}

test("only ElapsedClock reads a steady clock", (t) => {
  const sources = ["packages", "platform"].flatMap((folder) => [...findSources(path.join(root, folder))]);
  t.true(sources.length > 100);
  const readers = sources.filter((file) => otherClocks.test(fs.readFileSync(file, "utf8")));
  t.deepEqual(
    readers.map((file) => path.relative(root, file)),
    [clock],
  );
});
