/** Splits a byte stream of server-sent events at event boundaries, so that no incomplete event is forwarded. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id:[ ]?(.*)$/gm;

/** One or more complete events, and the id of the last one that has an id. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/** Buffers bytes and returns events as soon as they are complete. */
export class EventSplitter {
  private _remainder: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this._remainder.length > 0;
  }

  /** Adds bytes and returns the events that they complete, or undefined if they complete none. */
  push(bytes: Buffer): CompleteEvents | undefined {
    const all = this._remainder.length === 0 ? bytes : Buffer.concat([this._remainder, bytes]);
    const end = findLastEventEnd(all);
    this._remainder = all.subarray(end);
    if (end === 0) return undefined;
    const complete = all.subarray(0, end);
    return { bytes: complete, lastId: findLastId(complete) };
  }
}

/** Returns the index past the last blank line, or 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.lastIndexOf(lineFeed); at > 0; at = bytes.lastIndexOf(lineFeed, at - 1)) {
    const before = bytes[at - 1];
    if (before === lineFeed) return at + 1;
    if (before === carriageReturn && bytes[at - 2] === lineFeed) return at + 1;
  }
  return 0;
}

function findLastId(bytes: Buffer): string | undefined {
  const matches = [...bytes.toString("latin1").matchAll(idPattern)];
  return matches[matches.length - 1]?.[1]?.trim();
}
