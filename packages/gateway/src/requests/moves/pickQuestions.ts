/** Choice of the engines that are asked whether they still work, when streams are silent. */

/** A stream as the choice sees it. */
export interface WatchedStream {
  /** Monotonic time of the last event. */
  readonly lastEventAtMs: number;
  /** Silence from which on the stream is conspicuous; infinite if it is never asked about. */
  readonly limitMs: number;
  /** Whether its last event has passed all engines of its chain; false before the first event and after a move. */
  readonly hasPassedChain: boolean;
  /** The engines of its chain. */
  readonly endpointIds: readonly string[];
}

/** Inputs of {@link pickQuestions}. */
export interface QuestionQuery {
  readonly nowMs: number;
  readonly streams: readonly WatchedStream[];
  /** Monotonic time of the last question to each engine. */
  readonly askedAtMs: ReadonlyMap<string, number>;
  /** Whether an engine need not be asked, since it is known to be at fault. */
  readonly isKnown: (endpointId: string) => boolean;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Minimum time between two questions to an engine. */
const questionIntervalMs = 300;
/**
 * Maximum number of questions at a time. The instances whose streams use a lost engine ask different ones, and the first result is
 * broadcast.
 */
const maxQuestions = 2;
/** For this time after a silence has become conspicuous, its engines are asked; later the report of the first engine has the answer. */
export const askedForMs = 300;
/**
 * An event of another stream vouches for an engine if it arrived after this share of the conspicuous silence. An earlier one may have
 * passed the engine before its loss.
 */
const vouchAfterShare = 0.5;

/**
 * Returns the engines to ask: engines of silent streams through which no other stream has had an event since, those of most silent streams
 * first. An engine is asked once in the silence of a stream; if it has answered, the report of the first engine names the one at fault.
 */
export function pickQuestions(query: QuestionQuery): string[] {
  const { nowMs, streams, random } = query;
  const silent = streams.filter(({ lastEventAtMs, limitMs }) => {
    const conspicuousMs = nowMs - lastEventAtMs - limitMs;
    return conspicuousMs >= 0 && conspicuousMs < askedForMs;
  });
  if (silent.length === 0) return [];
  const vouchedAtMs = getVouchTimes(streams);
  const weights = new Map<string, number>();
  for (const stream of silent) {
    for (const id of stream.endpointIds) {
      if (isDue(query, stream, id) && !isVouchedFor(stream, vouchedAtMs.get(id)))
        weights.set(id, (weights.get(id) ?? random()) + 1);
    }
  }
  const byWeight = [...weights].sort(([, a], [, b]) => b - a);
  return byWeight.slice(0, maxQuestions).map(([id]) => id);
}

/** Returns the time of the last event that passed each engine. */
function getVouchTimes(streams: readonly WatchedStream[]): Map<string, number> {
  const times = new Map<string, number>();
  for (const { endpointIds, lastEventAtMs, hasPassedChain } of streams) {
    if (!hasPassedChain) continue;
    for (const id of endpointIds)
      times.set(id, Math.max(lastEventAtMs, times.get(id) ?? Number.NEGATIVE_INFINITY));
  }
  return times;
}

function isVouchedFor(stream: WatchedStream, vouchedAtMs = Number.NEGATIVE_INFINITY): boolean {
  return vouchedAtMs >= stream.lastEventAtMs + stream.limitMs * vouchAfterShare;
}

function isDue(query: QuestionQuery, stream: WatchedStream, id: string): boolean {
  const askedAtMs = query.askedAtMs.get(id) ?? Number.NEGATIVE_INFINITY;
  if (query.isKnown(id) || askedAtMs > stream.lastEventAtMs) return false;
  return query.nowMs - askedAtMs >= questionIntervalMs;
}
