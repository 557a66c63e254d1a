/** Time-ordered ids: UUIDs of version 7 (RFC 9562, section 5.7). */
import * as uuid from "uuid";

/** Creates an id with the current time. */
export function newId(): string {
  return uuid.v7();
}

/** Creates an id with a given creation time instead of the current time. */
export function newIdAt(wallMs: number): string {
  return uuid.v7({ msecs: wallMs });
}

/** Returns the milliseconds since the Unix epoch that a version 7 UUID contains; undefined for any other text. */
export function getIdTimeMs(id: string): number | undefined {
  if (!uuid.validate(id) || uuid.version(id) !== 7) return undefined;
  return Number.parseInt(id.slice(0, 8) + id.slice(9, 13), 16);
}
