/** The tables of docs/CAPACITY.md, computed from the committed points so that the page can't drift from them. */
import { budget, computeRows, sizes, sumRows, type CapacityRow, type FleetSize } from "./capacityRows.js";
import { fitSlopes, parsePoints, type Slope } from "./slopes.js";

const beginMark = "<!-- computed: begin -->";
const endMark = "<!-- computed: end -->";
const appendsPerSecond = 100;

/** Puts freshly computed tables into a page, between its marks. */
export function updatePage(page: string, points: string): string {
  const before = page.slice(0, page.indexOf(beginMark) + beginMark.length);
  const after = page.slice(page.indexOf(endMark));
  return `${before}\n\n${renderTables(points)}\n\n${after}`;
}

/** All computed tables. */
export function renderTables(points: string): string {
  const slopes = fitSlopes(parsePoints(points));
  const bySize = sizes.map((size) => renderSize(slopes, size));
  return [...bySize, renderLog(), renderFailures(slopes), renderSlopes(slopes)].join("\n\n");
}

function renderSize(slopes: ReadonlyMap<string, Slope>, size: FleetSize): string {
  const rows = computeRows(slopes, size);
  const sum = sumRows(rows);
  const lines = rows.map((row) =>
    toLine([
      row.duty,
      row.formula,
      toShare(row.cpuShare),
      toMegabytes(row.memoryBytes),
      toBytes(row.bytesPerSecond),
      toFit(row),
    ]),
  );
  return [
    `### A node ${size.name === "today" ? "today" : "at the design size"} (${size.nodes} nodes, ${size.runners} runners)`,
    "",
    toLine(["duty", "formula", "core", "memory", "sent and read", "fits"]),
    toLine(["---", "---", "---:", "---:", "---:", "---"]),
    ...lines,
    toLine([
      "**sum**",
      "",
      toShare(sum.cpuShare),
      toMegabytes(sum.memoryBytes),
      toBytes(sum.bytesPerSecond),
      toFit(sum),
    ]),
    toLine([
      "**allowed**",
      "",
      toShare(budget.cpuShare),
      toMegabytes(budget.memoryBytes),
      toBytes(budget.bytesPerSecond),
      "",
    ]),
  ].join("\n");
}

/** What a row uses of the whole budget, and by what factor it passes it. */
function toFit(row: Pick<CapacityRow, "cpuShare" | "memoryBytes" | "bytesPerSecond">): string {
  const uses = [
    ["core", row.cpuShare / budget.cpuShare],
    ["memory", row.memoryBytes / budget.memoryBytes],
    ["bytes", row.bytesPerSecond / budget.bytesPerSecond],
  ] as const;
  const over = uses.filter(([, use]) => use > 1).map(([name, use]) => `${name} × ${use.toFixed(1)}`);
  return over.length === 0 ? "yes" : `**no: ${over.join(", ")}**`;
}

/** Appends a second that the log takes, by duty. */
function renderLog(): string {
  const lines = sizes.map((size) => {
    const claims = appendsPerSecond * 0.8;
    const changes = size.changesPerDay / 86_400;
    const leases = size.availabilityZones / 2.4;
    const waitMs = (size.nodes / claims) * 500;
    return toLine([
      size.name,
      String(size.nodes),
      `${claims.toFixed(0)} at most, by pacing`,
      changes.toFixed(3),
      `${leases.toFixed(1)} at worst`,
      `${waitMs.toFixed(0)} ms`,
    ]);
  });
  return [
    "### Appends to the log a second, all nodes together (100 are allowed)",
    "",
    toLine(["size", "nodes", "claims", "changes", "leases", "mean wait of a claim for its append"]),
    toLine(["---", "---:", "---", "---:", "---", "---:"]),
    ...lines,
  ].join("\n");
}

/** What a day's and a disaster's failures cost. */
function renderFailures(slopes: ReadonlyMap<string, Slope>): string {
  const stateBytes = (size: FleetSize): number => {
    const slope = slopes.get("state sent to a new node");
    return slope === undefined ? Number.NaN : slope.intercept + slope.slope * size.accounts;
  };
  const design = sizes[1] as FleetSize;
  const zoneNodes = Math.ceil(design.nodes / design.availabilityZones);
  const links = (nodes: number): number => nodes * (zoneNodes - 1 + 6 * (design.availabilityZones - 1));
  const rows = [
    ["29 instances die in a day", 29, links(29), 0],
    ["260 are restarted or replaced in a day", 260, links(260), 260],
    ["a rack goes (10 instances)", 10, links(10), 10],
    [`an availability zone goes (${zoneNodes} instances)`, zoneNodes, links(zoneNodes), zoneNodes],
  ] as const;
  const lines = rows.map(([what, nodes, lost, started]) =>
    toLine([what, String(nodes), String(lost), toMegabytes(started * stateBytes(design)), "0"]),
  );
  return [
    "### Failures at the design size",
    "",
    toLine([
      "what",
      "instances",
      "links lost, and dialled again where they come back",
      "state sent to new nodes",
      "log appends",
    ]),
    toLine(["---", "---:", "---:", "---:", "---:"]),
    ...lines,
  ].join("\n");
}

function renderSlopes(slopes: ReadonlyMap<string, Slope>): string {
  const lines = [...slopes.values()].map((slope) =>
    toLine([
      slope.figure,
      slope.unit,
      `${slope.slope.toPrecision(3)} ± ${slope.slopeError.toPrecision(2)} a unit of ${slope.sizeName}`,
      slope.intercept.toPrecision(3),
      slope.points.map(([size, value]) => `${size}: ${value.toPrecision(3)}`).join("; "),
    ]),
  );
  return [
    "### Slopes (least squares, ± standard error) and raw points",
    "",
    toLine(["figure", "unit", "slope", "at zero", "points"]),
    toLine(["---", "---", "---", "---:", "---"]),
    ...lines,
  ].join("\n");
}

function toLine(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

function toShare(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

function toMegabytes(bytes: number): string {
  return `${(bytes / 1024 / 1024).toFixed(1)} MB`;
}

function toBytes(bytes: number): string {
  return `${bytes.toFixed(0)} B/s`;
}
