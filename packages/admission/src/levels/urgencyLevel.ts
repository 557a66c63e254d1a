/**
 * The level of admission by urgency: a position in the order of all requests of a service by priority and, within a priority, by a slice of the
 * client accounts. Requests behind the level are rejected, the least urgent ones first.
 */

import { utils } from "@shedtiller/common";

/** Number of slices that the client accounts of one priority are divided into. */
export const slicesPerPriority = 6;
/** Number of slices of a priority that may be rejected at the same time, so that at least a third of each priority is always admitted. */
const rejectableSlices = 4;

/** Share of the streams of a priority that miss their targets from which on the level rises. */
const risingMissShare = 0.1;
/** Share from which on the level rises by two steps, since a burst gives no time for one step after the other. */
const steepMissShare = 0.3;
/** Share below which the level falls. */
const fallingMissShare = 0.02;
/** Share of streams with prompts in front below which engines have unused capacity, so that rejections would waste it. */
const queuedShareInUse = 0.05;
/** Steps by which the level falls at once meanwhile. */
const releaseSteps = 2;
/** The level does not rise while the share of misses falls below this multiple of that at the last step: prompts in front grow fewer. */
const improvingFactor = 0.8;
/** Rate of a priority below which the share of its misses says nothing. */
const minBegunPerSecond = 3;
/** Time after which the figures show the effect of a rise: they are 0.2 to 0.4 s old, and their rates span a second. */
const risingHoldMs = 600;
/** The level falls more slowly than it rises, so that the prompts that return have been read before the next step. */
const fallingHoldMs = 1_000;

/** The streams of one priority in a zone. */
export interface PriorityFigures {
  readonly begunPerSecond: number;
  /** Streams with prompts in front that take a considerable part of their target latency. */
  readonly queuedPerSecond: number;
  /** Streams that missed their targets, or are forecast to, because of the prompts in front of them. */
  readonly missedPerSecond: number;
}

/** A level, and the figures of its last step. */
export interface UrgencyLevel {
  readonly level: number;
  /** Time of the last step, or of the last decision against one. */
  readonly decidedAtMs: number;
  /** Highest share of misses of a priority at that time. */
  readonly missShare: number;
}

/** Returns the highest level of a service with a number of priorities. */
export function getMaxLevel(priorityCount: number): number {
  return priorityCount * rejectableSlices;
}

/**
 * Returns the number of slices of a priority that a level rejects.
 * @param lessUrgentCount - Number of priorities that are less urgent.
 */
export function getRejectedSlices(level: number, lessUrgentCount: number): number {
  return Math.min(rejectableSlices, Math.max(0, level - lessUrgentCount * rejectableSlices));
}

/**
 * Returns the level that follows on the present one. A priority without a target that is missed does not hide one whose targets are missed,
 * since targets differ.
 * @param priorities - The figures of all priorities that the service has.
 */
export function getNextLevel(
  present: UrgencyLevel,
  priorities: readonly PriorityFigures[],
  nowMs: number,
): UrgencyLevel {
  const missShare = Math.max(0, ...priorities.map(getMissShare));
  const heldMs = nowMs - present.decidedAtMs;
  const level = areEnginesFull(priorities)
    ? getMovedLevel(present, missShare, heldMs)
    : getReleasedLevel(present, heldMs);
  if (level === undefined) return present;
  const bounded = Math.min(getMaxLevel(priorities.length), Math.max(0, level));
  return { level: bounded, decidedAtMs: nowMs, missShare };
}

function areEnginesFull(priorities: readonly PriorityFigures[]): boolean {
  const queued = utils.getSum(priorities.map(({ queuedPerSecond }) => queuedPerSecond));
  const begun = utils.getSum(priorities.map(({ begunPerSecond }) => begunPerSecond));
  return queued > begun * queuedShareInUse;
}

function getReleasedLevel({ level }: UrgencyLevel, heldMs: number): number | undefined {
  return level > 0 && heldMs >= risingHoldMs ? level - releaseSteps : undefined;
}

/** Returns the level after a step, or undefined if it is too early to decide. */
function getMovedLevel(
  { level, missShare: before }: UrgencyLevel,
  missShare: number,
  heldMs: number,
): number | undefined {
  if (missShare > risingMissShare && heldMs >= risingHoldMs) {
    if (missShare < before * improvingFactor) return level;
    return level + (missShare > steepMissShare ? 2 : 1);
  }
  if (missShare < fallingMissShare && heldMs >= fallingHoldMs) return level - 1;
  return undefined;
}

function getMissShare({ begunPerSecond, missedPerSecond }: PriorityFigures): number {
  return begunPerSecond < minBegunPerSecond ? 0 : missedPerSecond / begunPerSecond;
}
