import * as fs from "node:fs";
import * as url from "node:url";
import test from "ava";
import { budget, computeRows, sizes, sumRows } from "../capacity/capacityRows.js";
import { updatePage } from "../capacity/renderCapacity.js";
import { fitSlopes, parsePoints } from "../capacity/slopes.js";

const root = url.fileURLToPath(new URL("../../../../", import.meta.url));
const points = fs.readFileSync(`${root}bench/slopes/control.jsonl`, "utf8");

test("the tables in docs/CAPACITY.md match the committed measurements", (t) => {
  const page = fs.readFileSync(`${root}docs/CAPACITY.md`, "utf8");
  t.is(updatePage(page, points), page);
});

test("a line through collinear points has the exact slope and no standard error", (t) => {
  const lines = [1, 2, 3, 4].map((size) => {
    return JSON.stringify({
      bench: "control",
      variant: `peers ${size}`,
      figure: "f",
      value: 5 + 2 * size,
      unit: "B",
    });
  });
  const slope = fitSlopes(parsePoints(lines.join("\n"))).get("f");
  t.true(Math.abs((slope?.slope ?? 0) - 2) < 1e-9);
  t.true(Math.abs((slope?.intercept ?? 0) - 5) < 1e-9);
  t.true((slope?.slopeError ?? 1) < 1e-9);
});

test('every row has finite values, and the fleet of the size "today" fits its memory budget', (t) => {
  const slopes = fitSlopes(parsePoints(points));
  for (const size of sizes) {
    const rows = computeRows(slopes, size);
    for (const row of rows)
      for (const value of [row.cpuShare, row.memoryBytes, row.bytesPerSecond])
        t.true(Number.isFinite(value), row.task);
  }
  t.true(sumRows(computeRows(slopes, sizes[0]!)).memoryBytes < budget.memoryBytes);
});
