/** Sending of a request to a second endpoint while the first one is late. */
import { utils } from "@shedtiller/common";
import type { SendOutcome } from "./SendOutcome.js";

/**
 * Time for which the slower of two sends may go on after the answer of the other, which shows whether its endpoint hangs or is slow. Callers
 * may leave with their answer, and endpoints should not work for much longer than their callers wait.
 */
const loserGraceMs = 400;

/** Starts a send, which ends when `signal` aborts. */
export type SendStarter = (signal: AbortSignal) => Promise<SendOutcome>;

/** Options of {@link hedge}. */
export interface HedgeOptions {
  /** Time without an outcome after which the second send starts. */
  readonly lateAfterMs: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
  readonly start: SendStarter;
  /** Returns the starter of the second send, or undefined if there may be none. */
  readonly startSecond: () => SendStarter | undefined;
  /** Whether an outcome answers the request. */
  readonly isFinal: (outcome: SendOutcome) => boolean;
}

/** Outcomes in the order of what they tell the caller: a failure that an endpoint states, one that may have run, and one that has not. */
const kindOrder: readonly SendOutcome["kind"][] = ["answer", "lost", "unknown", "not-run"];

/** The outcome of the send that ended first, and the other send. */
interface Ended {
  readonly outcome: SendOutcome;
  readonly other: Promise<SendOutcome>;
}

/** Starts a send, and a second one if the first is late; returns the first outcome that answers the request. */
export async function hedge(options: HedgeOptions): Promise<SendOutcome> {
  const grace = new AbortController();
  const signal = AbortSignal.any([options.signal, grace.signal]);
  const first = options.start(signal);
  if (await isInTime(first, options.lateAfterMs)) return first;
  const second = options.signal.aborted ? undefined : options.startSecond()?.(signal);
  if (second === undefined) return first;
  const outcome = await getFirstFinal(first, second, options.isFinal);
  const timer = setTimeout(() => grace.abort(), loserGraceMs);
  void Promise.all([first, second]).finally(() => clearTimeout(timer));
  return outcome;
}

async function isInTime(outcome: Promise<SendOutcome>, timeoutMs: number): Promise<boolean> {
  const late = new utils.Deferred<boolean>();
  const timer = setTimeout(() => late.resolve(false), timeoutMs);
  const inTime = await Promise.race([outcome.then(() => true), late.promise]);
  clearTimeout(timer);
  return inTime;
}

/** Returns the first final outcome, or once both have ended the one that tells most. */
async function getFirstFinal(
  first: Promise<SendOutcome>,
  second: Promise<SendOutcome>,
  isFinal: (outcome: SendOutcome) => boolean,
): Promise<SendOutcome> {
  const withOther = async (send: Promise<SendOutcome>, other: Promise<SendOutcome>): Promise<Ended> => ({
    outcome: await send,
    other,
  });
  const earlier = await Promise.race([withOther(first, second), withOther(second, first)]);
  if (isFinal(earlier.outcome)) return earlier.outcome;
  const later = await earlier.other;
  if (isFinal(later)) return later;
  const rank = ({ kind }: SendOutcome): number => kindOrder.indexOf(kind);
  return rank(earlier.outcome) <= rank(later) ? earlier.outcome : later;
}
