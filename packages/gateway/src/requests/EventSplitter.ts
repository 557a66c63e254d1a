/** Splits a byte stream of server-sent events at event boundaries, so that no incomplete event is forwarded. */
import { ByteCollector } from "../http/ByteCollector.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idPattern = /^id:[ ]?(.*)$/gm;
const fieldPattern = /^(id|data|event)\b/m;
/** Length of the longest end of an event, CR LF CR LF, less one byte. */
const endOverlapBytes = 3;

/** One or more complete events, and the id of the last one that has an id. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
  /** Whether any of them is more than a comment. */
  readonly hasFields: boolean;
}

/** Buffers bytes and returns events as soon as they are complete. The time is linear in the number of bytes. */
export class EventSplitter {
  private readonly _partial = new ByteCollector();

  /** Size of the incomplete event. */
  get partialBytes(): number {
    return this._partial.sizeBytes;
  }

  /** Memory that the incomplete event uses. */
  get bufferedBytes(): number {
    return this._partial.capacityBytes;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this._partial.sizeBytes > 0;
  }

  /** Adds bytes and returns the events that they complete, or undefined if they complete none. */
  push(bytes: Buffer): CompleteEvents | undefined {
    // The bytes buffered before contain no end of an event.
    const searchedBytes = Math.max(0, this._partial.sizeBytes - endOverlapBytes);
    this._partial.append(bytes);
    const all = this._partial.bytes;
    const endInRest = findLastEventEnd(all.subarray(searchedBytes));
    if (endInRest === 0) return undefined;
    const end = searchedBytes + endInRest;
    const complete = all.subarray(0, end);
    const rest = all.subarray(end);
    this._partial.clear();
    if (rest.length > 0) this._partial.append(Buffer.from(rest));
    const text = complete.toString("latin1");
    return { bytes: complete, lastId: findLastId(text), hasFields: fieldPattern.test(text) };
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

function findLastId(text: string): string | undefined {
  const matches = [...text.matchAll(idPattern)];
  return matches[matches.length - 1]?.[1]?.trim();
}
