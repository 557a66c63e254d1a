/** Counts of how requests ended, by time and route. */
import { utils } from "@shedtiller/common";
import { getWallMs, type LogLine } from "../explain/logLine.js";
import { endKinds, classifyEnd, type EndKind } from "./classifyEnd.js";

/** Number of requests of one route that arrived in the same time span and ended in the same way. */
export interface LossRow {
  /** Seconds from the first line of the logs to the start of the span. */
  readonly fromS: number;
  readonly route: string;
  readonly end: EndKind;
  readonly count: number;
}

/** Counts the ended requests in `lines`, by the spans of `spanS` seconds in which they arrived. */
export function countLosses(lines: readonly LogLine[], spanS: number): LossRow[] {
  const firstMs = lines.reduce(
    (earliestMs, line) => Math.min(earliestMs, getWallMs(line)),
    Number.POSITIVE_INFINITY,
  );
  const counts = new Map<string, LossRow>();
  for (const line of lines) {
    const end = classifyEnd(line);
    if (end === undefined) continue;
    const arrivedS = (getWallMs(line) - Number(line["tookMs"] ?? 0) - firstMs) / utils.msPerSecond;
    const fromS = Math.max(0, Math.floor(arrivedS / spanS) * spanS);
    const route = String(line["route"] ?? "(not let in)");
    const key = `${fromS}|${route}|${end}`;
    counts.set(key, { fromS, route, end, count: (counts.get(key)?.count ?? 0) + 1 });
  }
  return [...counts.values()].sort(compareRows);
}

/** Formats one line per span with the counts of its ends in the order of {@link endKinds}, and a line with the totals. */
export function formatLosses(rows: readonly LossRow[]): string[] {
  const spans = utils.groupBy(rows, (row) => String(row.fromS));
  const lines = [...spans].map(([fromS, span]) => `${fromS.padStart(6)} s  ${formatSpan(span)}`);
  return [...lines, ` total  ${formatSpan(rows)}`];
}

function formatSpan(rows: readonly LossRow[]): string {
  return endKinds
    .map((end) => ({
      end,
      count: utils.getSum(rows.filter((row) => row.end === end).map((row) => row.count)),
    }))
    .filter(({ count }) => count > 0)
    .map(({ end, count }) => `${end} ${count}`)
    .join(", ");
}

function compareRows(a: LossRow, b: LossRow): number {
  return (
    a.fromS - b.fromS || a.route.localeCompare(b.route) || endKinds.indexOf(a.end) - endKinds.indexOf(b.end)
  );
}
