/** Line fits through the measured points of the control benchmark. */
import { utils } from "@shedtiller/common";
import * as zod from "zod";

const pointSchema = zod.object({
  bench: zod.string(),
  variant: zod.string(),
  figure: zod.string(),
  value: zod.number(),
  unit: zod.string(),
});

export type MeasuredPoint = zod.infer<typeof pointSchema>;

/** Line fit of a figure over the size in the names of its variants. */
export interface Slope extends utils.LineFit {
  readonly figure: string;
  readonly unit: string;
  /** Unit of the size, such as `accounts`. */
  readonly sizeName: string;
  readonly points: readonly (readonly [size: number, value: number])[];
}

/** Parses the JSON lines that the benchmark prints. */
export function parsePoints(text: string): MeasuredPoint[] {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  return lines.map((line) => pointSchema.parse(JSON.parse(line)));
}

/** Fits one line for each figure. The name of a variant consists of the unit and the size, as in `accounts 1000`. */
export function fitSlopes(points: readonly MeasuredPoint[]): Map<string, Slope> {
  const slopes = new Map<string, Slope>();
  for (const figure of new Set(points.map((point) => point.figure))) {
    const own = points.filter((point) => point.figure === figure);
    const sized = own.map((point) => [getSize(point.variant), point.value] as const);
    const sizeName = own[0]?.variant.replace(/ \d+$/, "") ?? "";
    slopes.set(figure, {
      ...utils.fitLine(sized),
      figure,
      sizeName,
      unit: own[0]?.unit ?? "",
      points: sized,
    });
  }
  return slopes;
}

function getSize(variant: string): number {
  return Number(variant.split(" ").pop());
}
