/** Every age, lease and deadline of the product asks the one clock that counts suspensions. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import test from "ava";

const root = url.fileURLToPath(new URL("../../../../", import.meta.url));
const otherClocks = /performance\.now|process\.hrtime|process\.uptime|os\.uptime/;
const clock = path.join("packages", "common", "src", "utils", "ElapsedClock.ts");
/** Tests and benches measure what they like. */
const leftOut = new Set(["node_modules", "dist", "tests", "bench", "target", "standins"]);

function* findSources(folder: string): Generator<string> {
  for (const entry of fs.readdirSync(folder, { withFileTypes: true })) {
    if (leftOut.has(entry.name)) continue;
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) yield* findSources(file);
    else if (entry.name.endsWith(".ts")) yield file;
  }
}

test("nothing reads a steady clock but the one that counts suspensions", (t) => {
  const sources = ["packages", "platform"].flatMap((folder) => [...findSources(path.join(root, folder))]);
  t.true(sources.length > 100);
  const readers = sources.filter((file) => otherClocks.test(fs.readFileSync(file, "utf8")));
  t.deepEqual(
    readers.map((file) => path.relative(root, file)),
    [clock],
  );
});
