/** `npm run capacity`: updates the computed tables in docs/CAPACITY.md. */
import * as fs from "node:fs";
import { updatePage } from "../capacity/renderCapacity.js";

const page = "docs/CAPACITY.md";
const points = "bench/slopes/control.jsonl";

fs.writeFileSync(page, updatePage(fs.readFileSync(page, "utf8"), fs.readFileSync(points, "utf8")));
