/** The recent answers of plain endpoints to all instances, and the share of the requests that arrived at this one. */
import { utils } from "@shedtiller/common";
import { getBucket, getTimeQuantile, WindowedSums } from "@shedtiller/routing";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { Figures } from "../peers/figures.js";
import type { SharedFigures } from "../peers/SharedFigures.js";

/** An endpoint that has failed gets requests as before after this time without any, in which most faults of a process have ended. */
const recordWindowMs = 8_000;
/** Share of the answers of a service that arrive within its usual time. */
const usualShare = 0.95;
/** Share of the answers that have hardly waited at their endpoint, also while most others do. */
const unqueuedShare = 0.25;
/** Number of answers from which on the usual time of a service is known. */
const minUsualAnswers = 20;
/** A request is overdue after its usual time times this factor: by then it is far more likely that its endpoint hangs. */
const overdueFactor = 2;

/** Quantiles are computed again after this time: each request needs them several times, and they change slowly. */
const quantileMs = 50;

const instancesKey = "endpoints/instances";
const getAnswersKey = (life: string): string => `endpoints/answers/${life}`;
const getFailuresKey = (life: string): string => `endpoints/failures/${life}`;
const getTimeKey = (life: string): string => `endpoints/timeMs/${life}`;
const getOverdueKey = (life: string): string => `endpoints/overdue/${life}`;
const getBucketKey = (service: string, bucket: number): string => `endpoints/times/${service}/${bucket}`;
const getArrivalsKey = (service: string): string => `endpoints/arrivals/${service}`;

/** A request in flight at a plain endpoint. */
export interface PlainSend {
  readonly service: string;
  readonly lifeId: string;
  readonly sentAtMs: number;
}

/**
 * Result of a send: an answer, a failure or rejection, or an end by the caller or the deadline, which is a failure of the endpoint only if
 * its answer was overdue.
 */
export type SendResult = "answered" | "failed" | "cancelled";

/** The sums over the answers of one life of an endpoint. */
export interface AnswerSums {
  readonly answers: number;
  readonly failures: number;
  /** Sum of the times of successful answers. */
  readonly timeMs: number;
  readonly overdue: number;
}

/** A quantile of the response times, as last computed. */
interface Quantile {
  readonly atMs: number;
  readonly timeMs: number | undefined;
}

/** Counts this instance's sends, and adds up the counts of all instances. Each instance has one such object. */
export class EndpointRecords {
  private readonly _sums = new WindowedSums(recordWindowMs);
  private readonly _sends = new Set<PlainSend>();
  private readonly _quantiles = new Map<string, Quantile>();
  private _lastInstances = 1;

  constructor(
    private readonly _figures: SharedFigures,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    _figures.addSource(() => this._getFigures());
  }

  /** Whether the figures of the other instances are known. */
  get hasPeers(): boolean {
    return this._figures.isCurrent;
  }

  /** Number of instances, including this one; the last known one while the figures of the others are not known. */
  get instanceCount(): number {
    if (this.hasPeers) this._lastInstances = 1 + this._figures.getPeers(instancesKey);
    return this._lastInstances;
  }

  /** Records that a request is sent to an endpoint. */
  begin({ lifeId, listed }: Endpoint): PlainSend {
    const send = { service: listed.service, lifeId, sentAtMs: this._nowMs() };
    this._sends.add(send);
    return send;
  }

  /** Records the end of a send. */
  end(send: PlainSend, result: SendResult): void {
    if (!this._sends.delete(send)) return;
    const nowMs = this._nowMs();
    const { lifeId, service } = send;
    if (result === "cancelled" && send.sentAtMs >= this._getOverdueSinceMs(service)) return;
    this._sums.add(getAnswersKey(lifeId), 1, nowMs);
    if (result !== "answered") return this._sums.add(getFailuresKey(lifeId), 1, nowMs);
    const timeMs = Math.round(nowMs - send.sentAtMs);
    this._sums.add(getTimeKey(lifeId), timeMs, nowMs);
    this._sums.add(getBucketKey(service, getBucket(timeMs)), 1, nowMs);
  }

  /** Records a request that is to be sent. */
  noteArrival(service: string): void {
    this._sums.add(getArrivalsKey(service), 1, this._nowMs());
  }

  /** Returns the share of the requests of all instances that arrived at this one; an equal share before the first ones. */
  getArrivalShare(service: string): number {
    const key = getArrivalsKey(service);
    const own = this._sums.getSums(this._nowMs()).get(key) ?? 0;
    const equalShare = 1 / this.instanceCount;
    if (!this.hasPeers) return equalShare;
    return Math.min(1, (own + equalShare) / (Math.max(own, this._getTotal(key)) + 1));
  }

  /** Returns the sums over the recent answers of an endpoint to all instances. */
  getAnswerSums({ lifeId, listed }: Endpoint): AnswerSums {
    return {
      answers: this._getTotal(getAnswersKey(lifeId)),
      failures: this._getTotal(getFailuresKey(lifeId)),
      timeMs: this._getTotal(getTimeKey(lifeId)),
      overdue: this.countOwnOverdue({ lifeId, listed }) + this._getPeers(getOverdueKey(lifeId)),
    };
  }

  /** Returns the number of this instance's requests at an endpoint whose answers are overdue. */
  countOwnOverdue({ lifeId, listed }: Pick<Endpoint, "lifeId" | "listed">): number {
    return this._countOverdue(listed.service, lifeId);
  }

  /** Returns the time within which nearly all answers of a service arrive; undefined until it is known. */
  getUsualMs(service: string): number | undefined {
    return this._getQuantile(service, usualShare);
  }

  /** Returns the time that a service needs for a request that does not wait at its endpoint; undefined until it is known. */
  getTypicalMs(service: string): number | undefined {
    return this._getQuantile(service, unqueuedShare);
  }

  private _getQuantile(service: string, share: number): number | undefined {
    const key = `${service} ${share}`;
    const nowMs = this._nowMs();
    const known = this._quantiles.get(key);
    if (known !== undefined && nowMs - known.atMs < quantileMs) return known.timeMs;
    const getCount = (bucket: number): number => this._getTotal(getBucketKey(service, bucket));
    const timeMs = getTimeQuantile(getCount, share, minUsualAnswers);
    this._quantiles.set(key, { atMs: nowMs, timeMs });
    return timeMs;
  }

  private _getTotal(key: string): number {
    // Differences of sums of different ages may be below zero.
    return Math.max(0, (this._sums.getSums(this._nowMs()).get(key) ?? 0) + this._getPeers(key));
  }

  private _getPeers(key: string): number {
    return this.hasPeers ? this._figures.getPeers(key) : 0;
  }

  private _countOverdue(service: string, lifeId: string): number {
    if (this._sends.size === 0) return 0;
    const sinceMs = this._getOverdueSinceMs(service);
    return [...this._sends].filter((send) => send.lifeId === lifeId && send.sentAtMs < sinceMs).length;
  }

  /** Returns the time of the send before which requests in flight are overdue. */
  private _getOverdueSinceMs(service: string): number {
    const usualMs = this.getUsualMs(service) ?? Number.POSITIVE_INFINITY;
    return this._nowMs() - usualMs * overdueFactor;
  }

  private _getFigures(): Figures {
    const figures = new Map(this._sums.getSums(this._nowMs()));
    figures.set(instancesKey, 1);
    const lives = new Map([...this._sends].map(({ lifeId, service }) => [lifeId, service]));
    for (const [lifeId, service] of lives)
      figures.set(getOverdueKey(lifeId), this._countOverdue(service, lifeId));
    return figures;
  }
}
