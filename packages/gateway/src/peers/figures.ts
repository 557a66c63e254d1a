/** Sums and wire format of named figures, which travel in the load messages under reserved keys. */
import type { LoadMessage } from "./endpointLoads.js";

/** Figures by name. */
export type Figures = ReadonlyMap<string, number>;

/**
 * Prefixes of reserved keys. Ids of endpoints begin with neither of them, so that instances of an earlier version ignore these keys like
 * unknown endpoints.
 */
const figurePrefix = "+";
const decisionPrefix = "!";

/** Adds up figures by name. */
export function sumFigures(summands: readonly Figures[]): Figures {
  const sum = new Map<string, number>();
  for (const summand of summands) {
    for (const [key, value] of summand) sum.set(key, (sum.get(key) ?? 0) + value);
  }
  return sum;
}

/** Subtracts figures from a sum. */
export function subtractFigures(sum: Figures, subtrahend: Figures): Figures {
  const difference = new Map(sum);
  for (const [key, value] of subtrahend) difference.set(key, (difference.get(key) ?? 0) - value);
  return difference;
}

/** Returns the entries of a load message for figures and for decisions. */
export function toFigureEntries(figures: Figures, decisions: Figures): LoadMessage {
  return { ...encode(figurePrefix, figures), ...encode(decisionPrefix, decisions) };
}

/** Returns the figures of a load message. */
export function readFigures(message: LoadMessage): Figures {
  return decode(figurePrefix, message);
}

/** Returns the decisions of a load message. */
export function readDecisions(message: LoadMessage): Figures {
  return decode(decisionPrefix, message);
}

/** Returns whether a key of a load message is the life id of an endpoint. */
export function isEndpointKey(key: string): boolean {
  return !key.startsWith(figurePrefix) && !key.startsWith(decisionPrefix);
}

function encode(prefix: string, figures: Figures): LoadMessage {
  const message: LoadMessage = {};
  for (const [key, value] of figures) if (value !== 0) message[prefix + key] = [value, 0];
  return message;
}

function decode(prefix: string, message: LoadMessage): Figures {
  const entries = Object.entries(message).filter(([key]) => key.startsWith(prefix));
  return new Map(entries.map(([key, [value]]) => [key.slice(prefix.length), value]));
}
