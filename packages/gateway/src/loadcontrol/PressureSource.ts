/** What a decision under load tells operators about its current state. */
import * as zod from "zod";

/** One line of the operators' view. */
export const pressureEntrySchema = zod.object({
  /** Name of the decision, as in the settings: `urgencyLevels`, `zoneFlows`, `firstEngineShare` and so on. */
  decision: zod.string(),
  service: zod.string(),
  /** What the value is about, such as a zone, an engine, a priority or a client account. */
  subject: zod.string(),
  value: zod.number(),
  /** Why the value is what it is, in one short sentence with its inputs. */
  reason: zod.string(),
  /** Age of the inputs. */
  ageMs: zod.number().nonnegative(),
});
export type PressureEntry = zod.infer<typeof pressureEntrySchema>;

/** A decision that operators can look at. */
export abstract class PressureSource {
  /** Returns the current entries; none while the decision has no effect. */
  abstract getPressure(): readonly PressureEntry[];
}
