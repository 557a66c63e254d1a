/** Figures of one experiment, as a table or as JSON lines. */

/** One figure. */
export interface BenchFigure {
  readonly bench: string;
  readonly variant: string;
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
}

/** Collects figures. */
export class BenchReport {
  readonly figures: BenchFigure[] = [];

  constructor(readonly bench: string) {}

  add(variant: string, figure: string, value: number, unit: string): void {
    this.figures.push({ bench: this.bench, variant, figure, value, unit });
  }

  /** The figures as a table: a row for each variant, a column for each figure. */
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

  renderJson(): string {
    return this.figures.map((figure) => JSON.stringify(figure)).join("\n");
  }

  private _getCell(variant: string, column: string): string {
    const found = this.figures.find((figure) => figure.variant === variant && getColumn(figure) === column);
    return found === undefined ? "" : format(found.value);
  }
}

function getColumn(figure: BenchFigure): string {
  return figure.unit === "" ? figure.figure : `${figure.figure} [${figure.unit}]`;
}

function format(value: number): string {
  if (!Number.isFinite(value)) return "-";
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
