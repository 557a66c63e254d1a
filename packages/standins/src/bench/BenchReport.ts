/** Report of the figures of one benchmark. */

/** One measured figure of a benchmark variant. */
export interface BenchFigure {
  readonly bench: string;
  readonly variant: string;
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
}

/** Collects the figures of one benchmark, and renders them as a table or as JSON lines. */
export class BenchReport {
  readonly figures: BenchFigure[] = [];

  constructor(readonly bench: string) {}

  add(variant: string, figure: string, value: number, unit: string): void {
    this.figures.push({ bench: this.bench, variant, figure, value, unit });
  }

  /** Renders the figures as a table with a row for each variant and a column for each figure. */
  renderTable(): string {
    const columns = [...new Set(this.figures.map(getColumn))];
    const variants = [...new Set(this.figures.map((figure) => figure.variant))];
    const rows = variants.map((variant) => [
      variant,
      ...columns.map((column) => this._getCell(variant, column)),
    ]);
    const table = [["variant", ...columns], ...rows];
    const widths =
      table[0]?.map((_cell, index) => Math.max(...table.map((row) => (row[index] ?? "").length))) ?? [];
    return table
      .map((row) => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join("  "))
      .join("\n");
  }

  /** Renders the figures as JSON lines. */
  renderJson(): string {
    return this.figures.map((figure) => JSON.stringify(figure)).join("\n");
  }

  private _getCell(variant: string, column: string): string {
    const found = this.figures.find((figure) => figure.variant === variant && getColumn(figure) === column);
    return found === undefined ? "" : formatValue(found.value);
  }
}

function getColumn(figure: BenchFigure): string {
  return figure.unit === "" ? figure.figure : `${figure.figure} [${figure.unit}]`;
}

function formatValue(value: number): string {
  if (!Number.isFinite(value)) return "-";
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
