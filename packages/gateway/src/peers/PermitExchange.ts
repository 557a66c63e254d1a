import { grantedPermitsSchema, permitRequestSchema, PermitCoordinator } from "@shedtiller/admission";
import type { GrantedPermits, PermitRequest, LimitDemand, ZonedLimit } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { RequestDemand } from "../requests/RequestDemand.js";
import type { LoadExchange } from "./LoadExchange.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { peerTopics } from "./peerMessages.js";

/** Interval of the check whether an endpoint names a limit; it coincides with the other ticks of an instance. */
const checkIntervalMs = 200;
/** While a limit is in force, coordinators of zones request permits at this interval, and so do instances at which requests wait. */
export const permitTickMs = checkIntervalMs / 2;
/** Instances at which no requests wait send permit requests only every nth tick. */
const ticksPerRequest = 2;
/** A request that begins to wait triggers a permit request at once, unless the last permit request is younger than this. */
const minRequestGapMs = 50;
const requestTimeoutMs = 400;
/** Time from the permit request to the expiry of a permit. Unused permits go back and are granted to others. */
const permitLifeMs = 300;
/** Permits are requested ahead for the arrivals that are expected within this time, that is, until the next response. */
const forecastMs = 400;
/** An instance with a lower arrival rate than this requests no permits ahead of arrivals. */
const minArrivalsPerSecond = 0.05;

/** Dependencies of {@link PermitExchange}. */
export interface PermitExchangeStructure {
  readonly membership: Pick<Membership, "self" | "onRequest" | "request">;
  readonly endpoints: EndpointTable;
  readonly loads: Pick<LoadExchange, "isCollector" | "collector" | "getCollectors" | "getKnownSinceMs">;
  readonly demand: RequestDemand;
  readonly log: DecisionLog;
  /** Returns the number of instances, or undefined until it is known. */
  readonly getInstanceCount: () => number | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/**
 * Obtains permits for endpoints that name a rate limit, from the coordinator of the zone, or from its own coordinator if this instance has
 * that role. Nothing is sent while no endpoint names a limit.
 */
export class PermitExchange {
  private readonly _coordinator: PermitCoordinator;
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private _ticks = 0;
  private _requestedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: PermitExchangeStructure) {
    const { membership, loads, demand } = _structure;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
    this._coordinator = new PermitCoordinator({
      availabilityZone: membership.self.availabilityZone,
      getLimit: (key) => this._getLimit(key),
      getLimitedZones: () => new Set(this._getLimited().map(({ listed }) => listed.availabilityZone)),
      getCoordinators: () => loads.getCollectors(),
      getKnownSinceMs: (name) => loads.getKnownSinceMs(name),
      nowMs: this._nowMs,
    });
    membership.onRequest(peerTopics.permits, (body, from) => this._respond(body, from));
    demand.onWaiting(() => void this._requestImmediately());
  }

  /** Requests permits periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      checkIntervalMs,
      signal,
      () => this._check(signal),
      (error) => {
        this._structure.log.error("permit-exchange-failed", { cause: String(error) });
      },
    );
  }

  private async _check(signal: AbortSignal): Promise<void> {
    if (this._getLimited().length === 0) return;
    await this.tick();
    // An aborted sleep is no error: the task ends.
    await utils.sleep(permitTickMs, signal).catch(() => undefined);
    await this.tick();
  }

  /** Sends the permit requests that are due, and resolves once all responses have arrived. */
  async tick(): Promise<void> {
    const limited = this._getLimited();
    if (limited.length === 0) return;
    this._ticks += 1;
    const isDue =
      this._ticks % ticksPerRequest === 0 || limited.some((endpoint) => this._hasWaitingRequests(endpoint));
    await Promise.all([this._requestForZone(), isDue ? this._requestForInstance(limited) : undefined]);
  }

  private async _requestImmediately(): Promise<void> {
    const limited = this._getLimited();
    if (limited.length === 0 || this._nowMs() - this._requestedAtMs < minRequestGapMs) return;
    await this._requestForInstance(limited);
  }

  /** Lends the quota shares of this zone to the coordinators of the zones that contain the endpoints, and deposits the granted permits. */
  private async _requestForZone(): Promise<void> {
    if (!this._structure.loads.isCollector) return;
    const requests = [...this._coordinator.getOutgoingRequests()];
    await Promise.all(
      requests.map(async ([name, request]) => this._coordinator.deposit(await this._request(name, request))),
    );
  }

  private async _requestForInstance(limited: readonly Endpoint[]): Promise<void> {
    const { loads, membership, getInstanceCount } = this._structure;
    const nowMs = this._nowMs();
    this._requestedAtMs = nowMs;
    // Among limits that serve the same requests, those listed first are granted first, so the order is random.
    const shuffled = utils.sample(limited, limited.length, this._random);
    const byService = utils.groupBy(limited, ({ listed }) => listed.service);
    const demands = shuffled.flatMap((endpoint) => {
      const sameService = byService.get(endpoint.listed.service) ?? [];
      return this._getDemand(endpoint, sameService, nowMs) ?? [];
    });
    const request = { lending: 1, known: getInstanceCount() ?? 0, wants: demands };
    const granted = loads.isCollector
      ? this._coordinator.respond(membership.self.name, request)
      : await this._request(loads.collector, request);
    this._addGranted(granted, nowMs + permitLifeMs);
  }

  private async _request(name: string, request: PermitRequest): Promise<GrantedPermits> {
    const reply = await this._structure.membership.request(
      name,
      peerTopics.permits,
      request,
      requestTimeoutMs,
    );
    if (reply.err) {
      this._structure.log.info("permits-not-answered", { name, cause: reply.val.code });
      return [];
    }
    return grantedPermitsSchema.safeParse(reply.val).data ?? [];
  }

  private _respond(body: unknown, from: PeerIdentity): GrantedPermits {
    const request = permitRequestSchema.safeParse(body);
    if (request.success) return this._coordinator.respond(from.name, request.data);
    logInvalidPeerMessage(this._structure.log, peerTopics.permits, from);
    return [];
  }

  private _addGranted(granted: GrantedPermits, expiresAtMs: number): void {
    const { endpoints, demand } = this._structure;
    for (const { key, count } of granted) {
      const endpoint = endpoints.getLife(key);
      if (endpoint?.limit?.perSecond === undefined) continue;
      endpoint.permits.add(count, expiresAtMs);
      demand.notePermits(endpoint.listed.service, count);
    }
  }

  /**
   * Returns this instance's demand for permits of a limit, or undefined if there is neither demand nor usage to report.
   * @param sameService - The limited endpoints of the same service.
   */
  private _getDemand(
    endpoint: Endpoint,
    sameService: readonly Endpoint[],
    nowMs: number,
  ): LimitDemand | undefined {
    const { demand } = this._structure;
    const { service, isDraining } = endpoint.listed;
    const usage = endpoint.permits.getAndResetUsage(nowMs);
    const localPermits = utils.getSum(sameService.map(({ permits }) => permits.getCount(nowMs)));
    const waiting = isDraining ? 0 : demand.getWaiting(service);
    const ahead = isDraining ? 0 : Math.max(0, this._getExpectedArrivals(service) - localPermits);
    if (waiting + ahead + usage.used + usage.returned + usage.charged === 0) return undefined;
    return { key: endpoint.lifeId, group: service, count: waiting + ahead, waiting, ...usage };
  }

  private _hasWaitingRequests({ listed }: Endpoint): boolean {
    return this._structure.demand.getWaiting(listed.service) > 0;
  }

  /** Returns the number of requests that are expected to arrive until the next response. */
  private _getExpectedArrivals(service: string): number {
    const perSecond = this._structure.demand.getArrivalsPerSecond(service);
    return perSecond < minArrivalsPerSecond ? 0 : Math.ceil((perSecond * forecastMs) / utils.msPerSecond);
  }

  private _getLimit(key: string): ZonedLimit | undefined {
    const endpoint = this._structure.endpoints.getLife(key);
    const perSecond = endpoint?.limit?.perSecond;
    if (endpoint === undefined || perSecond === undefined) return undefined;
    return { perSecond, availabilityZone: endpoint.listed.availabilityZone };
  }

  private _getLimited(): Endpoint[] {
    return this._structure.endpoints.getAll().filter((endpoint) => endpoint.limit?.perSecond !== undefined);
  }
}
