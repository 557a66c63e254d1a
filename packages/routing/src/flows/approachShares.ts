/** Slow change of shares, so that neither a wave of demand nor figures of different age make requests change sides together. */
import type { FlowShares } from "./computeFlows.js";

/** A share changes only if the new one differs by more than this; a wave moves the usual costs instead. */
const hysteresis = 0.05;
/** Time after which a share has 1/e of the way left: longer than the age of the figures, and a fraction of a wave of ten seconds or more. */
const changeMs = 500;
/** A share that goes to zero ends there. */
const minShare = 0.005;

/**
 * Returns the shares that apply after `elapsedMs` on the way from `current` to `target`. The share of a zone that can't take requests now
 * is zero at once.
 * @param takers - The zones that can take requests now.
 */
export function approachShares(
  current: FlowShares,
  target: FlowShares,
  takers: ReadonlySet<string>,
  elapsedMs: number,
): FlowShares {
  const progress = 1 - Math.exp(-elapsedMs / changeMs);
  const shares = [...takers].map((zone) => {
    const from = current.get(zone) ?? 0;
    const to = target.get(zone) ?? 0;
    const isKept = to > 0 && Math.abs(to - from) <= hysteresis;
    return [zone, isKept ? from : from + (to - from) * progress] as const;
  });
  return new Map(shares.filter(([, share]) => share >= minShare));
}
