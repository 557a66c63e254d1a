/** Cuts a stream of server-sent events into whole events, so that part of one is never passed on. */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id:[ ]?(.*)$/gm;

/** Whole events, and the id of the last one that has an id. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/** Collects bytes and hands out whole events as soon as they are there. */
export class EventSplitter {
  private _rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an event that is not whole are held. */
  get hasPartialEvent(): boolean {
    return this._rest.length > 0;
  }

  /** Takes bytes; gives the events that are whole now, or undefined. */
  push(bytes: Buffer): CompleteEvents | undefined {
    const all = this._rest.length === 0 ? bytes : Buffer.concat([this._rest, bytes]);
    const end = findLastEventEnd(all);
    this._rest = all.subarray(end);
    if (end === 0) return undefined;
    const whole = all.subarray(0, end);
    return { bytes: whole, lastId: findLastId(whole) };
  }
}

/** The index past the last blank line, 0 if there is none. */
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
