/** Rating of the endpoints of a service by their recent answers, and the requests that they can answer together. */
import { utils } from "@shedtiller/common";

/** What is known of an endpoint. The sums cover the answers that all instances received in the last seconds. */
export interface EndpointState {
  readonly id: string;
  readonly slots: number;
  /** Requests in flight there: those of this instance at once, those of others as last reported. */
  readonly requests: number;
  readonly isOwnZone: boolean;
  readonly answers: number;
  /** Answers that were failures or rejections, and requests without an answer. */
  readonly failures: number;
  /** Sum of the times to the answers that were no failures. */
  readonly timeMs: number;
  /** Requests in flight for much longer than is usual for the service. */
  readonly overdue: number;
}

/** An endpoint with its rating. */
export interface EndpointRating {
  readonly state: EndpointState;
  /** Mean time from the send to the answer. */
  readonly serviceMs: number;
  /** Service time of the other endpoints. */
  readonly peerMs: number;
  /** By how much the endpoint is slower than its peers, beyond what is tolerated; 1 if it is not. */
  readonly slowness: number;
  /** Share of answers that are no failures against that of the best endpoint: some requests fail wherever they run. */
  readonly successShare: number;
  /** Probability that a request fails, in doubt higher. */
  readonly risk: number;
  /** Slots that are expected to give answers in time, from 0 to all of its slots. */
  readonly usableSlots: number;
}

/** Service time of endpoints before any answer. */
const initialServiceMs = 50;
/** Number of answers at the usual time of the service that an endpoint is credited with, so that single answers don't decide. */
const priorAnswers = 2;
/** Failures among those, which make an endpoint without answers riskier than one that just answered. */
const priorFailures = 0.2;
/** Endpoints that take longer than their peers by up to this factor are as good as these: services have machines of several speeds. */
const slowTolerance = 1.5;
const medianShare = 0.5;
/** Share of slots in use from which on requests queue at the endpoints. */
const busyShare = 1;

/** Rates the endpoints of a service against each other, so that a slowness that all of them share limits none. */
export function rateEndpoints(states: readonly EndpointState[]): EndpointRating[] {
  const bounded = states.map(toBounded);
  const usualMs = getUsualMs(bounded);
  const times = bounded.map((state) => getServiceMs(state, usualMs));
  const bestShare = Math.max(...bounded.map(getSuccessShare));
  return bounded.map((state, index) => {
    const serviceMs = times[index] ?? usualMs;
    const peerTimes = times.filter((_, other) => other !== index);
    // Of two peers the faster one counts.
    const peerMs = peerTimes.length === 0 ? serviceMs : utils.getQuantile(peerTimes, medianShare);
    const { answers, failures } = state;
    const successShare = getSuccessShare(state) / bestShare;
    const slowness = Math.max(1, serviceMs / (slowTolerance * peerMs));
    return {
      state,
      serviceMs,
      peerMs,
      slowness,
      successShare,
      risk: (failures + priorFailures) / (answers + priorAnswers),
      usableSlots: (state.slots * successShare) / slowness,
    };
  });
}

/**
 * Returns whether requests queue at the endpoints, since the slots are in use.
 * @param ownShare - Share of the slots that belongs to the requests in `ratings`; 1 if those of all instances are known.
 */
export function areSlotsInUse(ratings: readonly EndpointRating[], ownShare: number): boolean {
  const slots = getUsableSlots(ratings);
  const requests = utils.getSum(ratings.map(({ state }) => state.requests));
  return requests >= slots * busyShare * ownShare;
}

/** Returns the mean time between two answers of the endpoints together while their slots are in use. */
export function getAnswerIntervalMs(
  ratings: readonly EndpointRating[],
  typicalMs: number | undefined,
): number {
  const slots = getUsableSlots(ratings);
  const serviceMs = typicalMs ?? Math.min(...ratings.map((rating) => rating.serviceMs));
  return slots > 0 ? serviceMs / slots : serviceMs;
}

/** Returns the endpoints without overdue answers, or all endpoints if each has some. */
export function getUnavoided(ratings: readonly EndpointRating[]): readonly EndpointRating[] {
  const unavoided = ratings.filter(({ state }) => state.overdue <= 0);
  return unavoided.length > 0 ? unavoided : ratings;
}

function getUsableSlots(ratings: readonly EndpointRating[]): number {
  return utils.getSum(ratings.map(({ usableSlots }) => usableSlots));
}

/** The mean time over all answers of a service. */
function getUsualMs(states: readonly EndpointState[]): number {
  const successes = utils.getSum(states.map(getSuccesses));
  const timeMs = utils.getSum(states.map((state) => state.timeMs));
  return successes < 1 ? initialServiceMs : Math.max(1, timeMs / successes);
}

function getServiceMs(state: EndpointState, usualMs: number): number {
  const sumMs = state.timeMs + priorAnswers * usualMs;
  return Math.max(1, sumMs / (getSuccesses(state) + priorAnswers));
}

function getSuccessShare({ answers, failures }: EndpointState): number {
  return (answers - failures + priorAnswers) / (answers + priorAnswers);
}

function getSuccesses({ answers, failures }: EndpointState): number {
  return answers - failures;
}

/** Returns the state with sums that are possible. Differences of sums of different ages may be below zero. */
function toBounded(state: EndpointState): EndpointState {
  const answers = Math.max(0, state.answers);
  return {
    ...state,
    requests: Math.max(0, state.requests),
    answers,
    failures: Math.min(answers, Math.max(0, state.failures)),
    timeMs: Math.max(0, state.timeMs),
    overdue: Math.max(0, state.overdue),
  };
}
