/** Rendering of the tables in docs/CAPACITY.md. A test compares them with the committed measurements. */
import { budget, computeRows, sizes, sumRows, type CapacityRow, type FleetSize } from "./capacityRows.js";
import { fitSlopes, parsePoints, type Slope } from "./slopes.js";

const beginMarker = "<!-- computed: begin -->";
const endMarker = "<!-- computed: end -->";
const appendsPerSecond = 100;

/** Replaces the tables between the markers of a page with newly computed tables. */
export function updatePage(page: string, points: string): string {
  const before = page.slice(0, page.indexOf(beginMarker) + beginMarker.length);
  const after = page.slice(page.indexOf(endMarker));
  return `${before}\n\n${renderTables(points)}\n\n${after}`;
}

/** Renders all computed tables. */
export function renderTables(points: string): string {
  const slopes = fitSlopes(parsePoints(points));
  const bySize = sizes.map((size) => renderSize(slopes, size));
  return [...bySize, renderLogAppends(), renderFailures(slopes), renderSlopes(slopes)].join("\n\n");
}

function renderSize(slopes: ReadonlyMap<string, Slope>, size: FleetSize): string {
  const rows = computeRows(slopes, size);
  const sum = sumRows(rows);
  const lines = rows.map((row) =>
    renderRow([
      row.task,
      row.formula,
      formatShare(row.cpuShare),
      formatMegabytes(row.memoryBytes),
      formatByteRate(row.bytesPerSecond),
      formatFit(row),
    ]),
  );
  return [
    `### A node ${size.name === "today" ? "today" : "at the design size"} (${size.nodes} nodes, ${size.endpoints} runners)`,
    "",
    renderRow(["duty", "formula", "core", "memory", "sent and read", "fits"]),
    renderRow(["---", "---", "---:", "---:", "---:", "---"]),
    ...lines,
    renderRow([
      "**sum**",
      "",
      formatShare(sum.cpuShare),
      formatMegabytes(sum.memoryBytes),
      formatByteRate(sum.bytesPerSecond),
      formatFit(sum),
    ]),
    renderRow([
      "**allowed**",
      "",
      formatShare(budget.cpuShare),
      formatMegabytes(budget.memoryBytes),
      formatByteRate(budget.bytesPerSecond),
      "",
    ]),
  ].join("\n");
}

/** Formats whether a row fits the budget; otherwise, by which factor the row exceeds each limit. */
function formatFit(row: Pick<CapacityRow, "cpuShare" | "memoryBytes" | "bytesPerSecond">): string {
  const uses = [
    ["core", row.cpuShare / budget.cpuShare],
    ["memory", row.memoryBytes / budget.memoryBytes],
    ["bytes", row.bytesPerSecond / budget.bytesPerSecond],
  ] as const;
  const over = uses.filter(([, use]) => use > 1).map(([name, use]) => `${name} × ${use.toFixed(1)}`);
  return over.length === 0 ? "yes" : `**no: ${over.join(", ")}**`;
}

/** Renders the appends to the log per second, by control task. */
function renderLogAppends(): string {
  const lines = sizes.map((size) => {
    const claims = appendsPerSecond * 0.8;
    const changes = size.changesPerDay / 86_400;
    const leases = size.availabilityZones / 2.4;
    const waitMs = (size.nodes / claims) * 500;
    return renderRow([
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
    renderRow(["size", "nodes", "claims", "changes", "leases", "mean wait of a claim for its append"]),
    renderRow(["---", "---:", "---", "---:", "---", "---:"]),
    ...lines,
  ].join("\n");
}

/** Renders the cost of the failures of one day, and of the loss of a rack or a zone. */
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
  const lines = rows.map(([failure, nodes, lost, started]) =>
    renderRow([failure, String(nodes), String(lost), formatMegabytes(started * stateBytes(design)), "0"]),
  );
  return [
    "### Failures at the design size",
    "",
    renderRow([
      "what",
      "instances",
      "links lost, and dialled again where they come back",
      "state sent to new nodes",
      "log appends",
    ]),
    renderRow(["---", "---:", "---:", "---:", "---:"]),
    ...lines,
  ].join("\n");
}

function renderSlopes(slopes: ReadonlyMap<string, Slope>): string {
  const lines = [...slopes.values()].map((slope) =>
    renderRow([
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
    renderRow(["figure", "unit", "slope", "at zero", "points"]),
    renderRow(["---", "---", "---", "---:", "---"]),
    ...lines,
  ].join("\n");
}

function renderRow(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

function formatMegabytes(bytes: number): string {
  return `${(bytes / 1024 / 1024).toFixed(1)} MB`;
}

function formatByteRate(bytes: number): string {
  return `${bytes.toFixed(0)} B/s`;
}
