/** Ids. Time-stamped ones are UUIDs of version 7 (RFC 9562, section 5.7). */
import * as uuid from "uuid";

/** Makes a time-stamped id. */
export function newId(): string {
  return uuid.v7();
}

/** Makes a time-stamped id for a given moment, for keys that a caller made earlier. */
export function newIdAt(wallMs: number): string {
  return uuid.v7({ msecs: wallMs });
}

/** Gives the milliseconds since the Unix epoch that a version 7 UUID carries, or undefined for any other text. */
export function getIdTimeMs(id: string): number | undefined {
  if (!uuid.validate(id) || uuid.version(id) !== 7) return undefined;
  return Number.parseInt(id.slice(0, 8) + id.slice(9, 13), 16);
}
