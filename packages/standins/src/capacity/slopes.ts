/** Slopes fitted through the raw points of the control bench. */
import { utils } from "@shedtiller/common";
import * as zod from "zod";

const pointSchema = zod.object({
  bench: zod.string(),
  variant: zod.string(),
  figure: zod.string(),
  value: zod.number(),
  unit: zod.string(),
});

export type Point = zod.infer<typeof pointSchema>;

/** A figure against the size that its variants name. */
export interface Slope extends utils.LineFit {
  readonly figure: string;
  readonly unit: string;
  /** What the size counts, as in `accounts`. */
  readonly sizeName: string;
  readonly points: readonly (readonly [size: number, value: number])[];
}

/** Reads JSON lines of the bench. */
export function parsePoints(text: string): Point[] {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  return lines.map((line) => pointSchema.parse(JSON.parse(line)));
}

/** Fits one line a figure. A variant is a size's name and its number. */
export function fitSlopes(points: readonly Point[]): Map<string, Slope> {
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
