/** Messages that instances exchange about engines, demands and versions in use. */
import { engineReportSchema } from "@shedtiller/routing";
import * as zod from "zod";

/** Name of a client account, its concurrent requests and its tokens per second. */
const demandSchema = zod.tuple([zod.string(), zod.number(), zod.number()]);
/** Name of an endpoint or a pipeline, and its number of streams. */
const loadSchema = zod.tuple([zod.string(), zod.number()]);
/** Name of a pipeline, and the versions of it that are in use. */
const versionUseSchema = zod.tuple([zod.string(), zod.array(zod.string())]);
/** Reports on the engines of a zone: full ones, or the loads alone where nothing else has changed. */
export const reportsSchema = zod.object({
  full: zod.array(engineReportSchema),
  loads: zod.array(loadSchema),
  /** Demands of client accounts; absent in rounds that leave them out. */
  accounts: zod.array(demandSchema).optional(),
  pipelines: zod.array(loadSchema),
  /** Versions in use of pipelines whose engines have loaded several; absent if the sender lacks a report. */
  versions: zod.array(versionUseSchema).optional(),
});
/** Digest of a whole zone, as other zones receive it. */
export const digestSchema = reportsSchema.extend({
  availabilityZone: zod.string(),
  instanceCount: zod.number().int().positive(),
  /** Hash of the reports without their loads. */
  fixedHash: zod.number(),
});

export type Reports = zod.infer<typeof reportsSchema>;
export type Digest = zod.infer<typeof digestSchema>;

/** Returns the source name under which the digest of a zone is stored. */
export function getZoneSource(availabilityZone: string): string {
  return `zone:${availabilityZone}`;
}
