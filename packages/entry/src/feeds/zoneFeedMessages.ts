/** What instances tell each other of endpoints and demands. */
import { engineReportSchema } from "@shedtiller/routing";
import * as zod from "zod";

/** Name of an account, its requests at once and its tokens a second. */
const demandSchema = zod.tuple([zod.string(), zod.number(), zod.number()]);
/** Name of an endpoint or a pipeline, and its load. */
const loadSchema = zod.tuple([zod.string(), zod.number()]);
/** Name of a pipeline, and the versions of it that are in use. */
const versionUseSchema = zod.tuple([zod.string(), zod.array(zod.string())]);
/** Reports on the endpoints of a zone; the loads alone where the rest has not changed. */
export const reportsSchema = zod.object({
  full: zod.array(engineReportSchema),
  loads: zod.array(loadSchema),
  /** Absent in rounds that leave them out. */
  accounts: zod.array(demandSchema).optional(),
  pipelines: zod.array(loadSchema),
  /** Of pipelines whose engines hold several versions; absent where the sender can't tell. */
  versions: zod.array(versionUseSchema).optional(),
});
/** What another zone gets: all of a zone together. */
export const digestSchema = reportsSchema.extend({
  availabilityZone: zod.string(),
  instanceCount: zod.number().int().positive(),
  /** Hash of everything in the reports but the loads. */
  fixedHash: zod.number(),
});

export type Reports = zod.infer<typeof reportsSchema>;
export type Digest = zod.infer<typeof digestSchema>;

/** Name under which what a whole zone told is kept. */
export function getZoneSource(availabilityZone: string): string {
  return `zone:${availabilityZone}`;
}
