/** Concurrency of plain endpoints over all instances. */
import { utils } from "@shedtiller/common";
import {
  areSlotsInUse,
  chooseEndpoint,
  getAnswerIntervalMs,
  rateEndpoints,
  SendPace,
  SmoothedLoad,
  type EndpointRating,
  type EndpointState,
} from "@shedtiller/routing";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Figures } from "../peers/figures.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import { EndpointRecords, type PlainSend } from "./EndpointRecords.js";
import { PressureSource, type PressureEntry } from "./PressureSource.js";

/** Dependencies of {@link EndpointConcurrency}. */
export interface EndpointConcurrencyStructure {
  readonly availabilityZone: string;
  readonly activeConfiguration: Pick<ActiveConfiguration, "table">;
  readonly endpoints: Pick<EndpointTable, "getUsable">;
  readonly figures: SharedFigures;
  readonly metrics: Pick<GatewayMetrics, "endpointDecisions" | "hedges">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** Criteria for the choice of an endpoint. */
export interface ConcurrencyQuery {
  readonly service: string;
  /** Ids of the endpoints that are excluded. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request can be retried, and may therefore probe an endpoint whose last request failed or whose back-off just ended. */
  readonly mayProbe: boolean;
  /** Whether the request may run more than once. */
  readonly isIdempotent: boolean;
}

/** Why an endpoint gets fewer requests than its peers. */
type LimitCause = "overdue" | "failing" | "slow" | "none";

/** Share of successful answers below which an endpoint counts as failing. */
const failingShare = 0.9;
/** Endpoints that take longer than their peers by this factor count as slow. */
const slowFactor = 2;
/** Lives of endpoints of which the logged state is kept; several times the endpoints of plain services. */
const maxLoggedLives = 256;
/** Time for which sends are paced after slots were in use: several reports, since the pace itself frees slots. */
const crowdedMs = 2_000;
/** Sends are paced a little faster than answers are expected, so that slots stay in use. */
const paceFactor = 1.1;
const noFigures: Figures = new Map();

/**
 * Chooses plain endpoints by their recent answers to all instances, and limits the requests that are there at once: while the slots are in
 * use, each instance sends at the pace of its share of the answers, and its other requests wait. Each instance has one such object.
 */
export class EndpointConcurrency extends PressureSource {
  readonly records: EndpointRecords;
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private readonly _servicesInEffect = new Set<string>();
  private readonly _peerLoads = new utils.BoundedMap<SmoothedLoad>(maxLoggedLives);
  /** By service: when all slots were last in use. */
  private readonly _crowdedAtMs = new Map<string, number>();
  private readonly _paces = new Map<string, SendPace>();
  /** Causes of the limits by the ids of the lives of endpoints, as last logged. */
  private readonly _causes = new utils.BoundedMap<LimitCause>(maxLoggedLives);

  constructor(private readonly _structure: EndpointConcurrencyStructure) {
    super();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
    this.records = new EndpointRecords(_structure.figures, this._nowMs);
    _structure.figures.addSource(() => this._smoothLoads());
  }

  /** Returns whether the decision applies to a service: its endpoints are no engines, have fewer slots than there are instances, and no rate limits. */
  isInEffect(service: string): boolean {
    const { activeConfiguration, endpoints } = this._structure;
    const usable = endpoints.getUsable(service);
    const isPlain = activeConfiguration.table?.getEngineProfile(service) === undefined;
    const slots = Math.max(0, ...usable.map((endpoint) => getSlots(endpoint)));
    const isLimited = usable.some(({ limit }) => limit?.perSecond !== undefined);
    const instances = this.records.instanceCount;
    const isInEffect = isPlain && usable.length > 1 && slots < instances && !isLimited;
    this._noteInEffect(service, isInEffect, { instances, slots, endpoints: usable.length });
    return isInEffect;
  }

  /** Returns an endpoint that is expected to answer early; undefined if there is none, or while it is the turn of other instances. */
  pick(query: ConcurrencyQuery): Endpoint | undefined {
    const nowMs = this._nowMs();
    const usable = this._structure.endpoints.getUsable(query.service);
    const ratings = this._rate(usable);
    const candidates = usable.filter(({ id, backoff }) => !query.excluded.has(id) && backoff.maySend(nowMs));
    const proper = candidates.filter((endpoint) => !endpoint.isDoubtful(nowMs, query.mayProbe));
    const ids = new Set((proper.length > 0 ? proper : candidates).map(({ id }) => id));
    if (!this._isDue(query.service, ratings)) return undefined;
    const chosen = chooseEndpoint(
      ratings.filter(({ state }) => ids.has(state.id)),
      { isIdempotent: query.isIdempotent, random: this._random },
    );
    return usable.find(({ id }) => id === chosen?.state.id);
  }

  /** Returns the time after which a safe request is sent to another endpoint as well. */
  getHedgeAfterMs(service: string, defaultMs: number): number {
    return this.records.getUsualMs(service) ?? defaultMs;
  }

  /** Records that a request is sent. While slots are in use, this instance's next sends keep the pace of its share. */
  begin(endpoint: Endpoint): PlainSend {
    const { service } = endpoint.listed;
    if (this._isCrowded(service))
      this._getPace(service).noteSent(this._nowMs(), this._getIntervalMs(service));
    return this.records.begin(endpoint);
  }

  /** Returns the expected time to the answer of a request behind `ahead` others of this instance; 0 while nobody has to wait. */
  getExpectedMs(service: string, ahead: number): number {
    if (!this._isCrowded(service)) return 0;
    const waitMs = this._getPace(service).getWaitMs(this._nowMs()) + ahead * this._getIntervalMs(service);
    return waitMs + (this.records.getTypicalMs(service) ?? 0);
  }

  /** Counts a request that is sent to a second endpoint. */
  noteHedge(service: string): void {
    this._structure.metrics.hedges.inc({ service });
  }

  override getPressure(): readonly PressureEntry[] {
    return [...this._servicesInEffect].flatMap((service) => this._getServicePressure(service));
  }

  private _getServicePressure(service: string): PressureEntry[] {
    const usable = this._structure.endpoints.getUsable(service);
    const ageMs = this._getAgeMs();
    return this._rate(usable).flatMap((rating) => {
      const cause = getCause(rating);
      if (cause === "none") return [];
      const { state, usableSlots } = rating;
      const reason = `${cause}: ${describe(rating)}`;
      return [
        { decision: "endpointConcurrency", service, subject: state.id, value: usableSlots, reason, ageMs },
      ];
    });
  }

  /** Returns whether this instance may send a request now: always, unless the slots of all endpoints were in use a moment ago. */
  private _isDue(service: string, ratings: readonly EndpointRating[]): boolean {
    const nowMs = this._nowMs();
    const ownShare = this.records.hasPeers ? 1 : 1 / this.records.instanceCount;
    if (areSlotsInUse(ratings, ownShare)) this._noteCrowded(service, ratings);
    return !this._isCrowded(service) || this._getPace(service).getWaitMs(nowMs) === 0;
  }

  /** Returns the time between two sends of this instance at its share of what the endpoints answer. */
  private _getIntervalMs(service: string): number {
    const ratings = this._rate(this._structure.endpoints.getUsable(service));
    const intervalMs = getAnswerIntervalMs(ratings, this.records.getTypicalMs(service));
    return intervalMs / (paceFactor * this.records.getArrivalShare(service));
  }

  private _noteCrowded(service: string, ratings: readonly EndpointRating[]): void {
    const wasCrowded = this._isCrowded(service);
    this._crowdedAtMs.set(service, this._nowMs());
    if (wasCrowded) return;
    this._structure.metrics.endpointDecisions.inc({ service, cause: "full" });
    this._structure.log.info("endpoints-full", {
      service,
      inputs: ratings.map(describe),
      intervalMs: Math.round(this._getIntervalMs(service)),
      ageMs: Math.round(this._getAgeMs()),
    });
  }

  private _isCrowded(service: string): boolean {
    return this._nowMs() - (this._crowdedAtMs.get(service) ?? Number.NEGATIVE_INFINITY) < crowdedMs;
  }

  private _getPace(service: string): SendPace {
    const pace = this._paces.get(service) ?? new SendPace();
    this._paces.set(service, pace);
    return pace;
  }

  /** Smooths the loads of the other instances, as often as this instance sends its figures. */
  private _smoothLoads(): Figures {
    const nowMs = this._nowMs();
    for (const service of this._servicesInEffect) {
      for (const endpoint of this._structure.endpoints.getUsable(service)) {
        const load = this._peerLoads.get(endpoint.lifeId) ?? new SmoothedLoad();
        this._peerLoads.set(endpoint.lifeId, load);
        load.add(endpoint.getLoad().requests - endpoint.ownLoad.requests, nowMs);
      }
    }
    return noFigures;
  }

  private _rate(usable: readonly Endpoint[]): EndpointRating[] {
    const ratings = rateEndpoints(usable.map((endpoint) => this._getState(endpoint)));
    for (const [index, rating] of ratings.entries()) this._noteCause(usable[index], rating);
    return ratings;
  }

  private _getState(endpoint: Endpoint): EndpointState {
    const { records } = this;
    const elsewhere = records.hasPeers ? (this._peerLoads.get(endpoint.lifeId)?.requests ?? 0) : 0;
    const requests = endpoint.ownLoad.requests + elsewhere;
    return {
      id: endpoint.id,
      slots: getSlots(endpoint),
      requests: Math.max(requests, endpoint.getStatedRequests(this._nowMs())),
      isOwnZone: endpoint.listed.availabilityZone === this._structure.availabilityZone,
      ...records.getAnswerSums(endpoint),
    };
  }

  private _noteInEffect(
    service: string,
    isInEffect: boolean,
    inputs: Readonly<Record<string, number>>,
  ): void {
    if (isInEffect === this._servicesInEffect.has(service)) return;
    if (isInEffect) this._servicesInEffect.add(service);
    else this._servicesInEffect.delete(service);
    this._structure.log.info("endpoint-concurrency", {
      service,
      isInEffect,
      ...inputs,
      ageMs: Math.round(this._getAgeMs()),
    });
  }

  /** Logs and counts the beginning and the end of a limit below that of the peers. */
  private _noteCause(endpoint: Endpoint | undefined, rating: EndpointRating): void {
    if (endpoint === undefined) return;
    const cause = getCause(rating);
    const before = this._causes.get(endpoint.lifeId) ?? "none";
    if (cause === before) return;
    // Each instance notices an overdue answer of any other one, so that only the one that waits for it tells.
    if (cause === "overdue" && this.records.countOwnOverdue(endpoint) === 0) return;
    if (cause === "none") this._causes.remove(endpoint.lifeId);
    else this._causes.set(endpoint.lifeId, cause);
    const { service, address } = endpoint.listed;
    this._structure.metrics.endpointDecisions.inc({ service, cause });
    this._structure.log.info("endpoint-limited", {
      service,
      endpointId: endpoint.id,
      address,
      cause,
      usableSlots: Math.round(rating.usableSlots),
      inputs: describe(rating),
      ageMs: Math.round(this._getAgeMs()),
    });
  }

  private _getAgeMs(): number {
    return this.records.hasPeers ? this._structure.figures.getAgeMs() : 0;
  }
}

function getSlots(endpoint: Endpoint): number {
  return Math.max(1, endpoint.statedLoad?.slots ?? endpoint.listed.slots);
}

function getCause({ state, successShare, serviceMs, peerMs }: EndpointRating): LimitCause {
  if (state.overdue > 0) return "overdue";
  if (successShare < failingShare) return "failing";
  return serviceMs > slowFactor * peerMs ? "slow" : "none";
}

function describe({ state, serviceMs, peerMs }: EndpointRating): string {
  const { requests, slots, answers, failures, overdue } = state;
  const load = `${Math.round(requests)} requests at ${slots} slots`;
  const record = `${failures} of ${answers} answers failed, ${overdue} overdue`;
  return `${load}, ${record}, ${Math.round(serviceMs)} ms, peers ${Math.round(peerMs)} ms`;
}
