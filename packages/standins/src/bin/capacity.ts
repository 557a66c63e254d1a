/** `npm run capacity`: updates the computed tables in docs/CAPACITY.md. */
import * as fs from "node:fs";
import { updatePage } from "../capacity/renderCapacity.js";

const pageFile = "docs/CAPACITY.md";
const pointsFile = "bench/slopes/control.jsonl";

fs.writeFileSync(
  pageFile,
  updatePage(fs.readFileSync(pageFile, "utf8"), fs.readFileSync(pointsFile, "utf8")),
);
