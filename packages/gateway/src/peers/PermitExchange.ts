/** How an instance comes to permits for endpoints that name a limit: it asks the coordinator of its zone, or hands them out itself. */
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

/** Whether an endpoint names a limit is looked at this often, with the other ticks of an instance. */
const lookIntervalMs = 200;
/** While one does, zones ask each other this often, and so do instances at which requests wait. */
export const permitTickMs = lookIntervalMs / 2;
/** Other instances ask in each so manieth tick. */
const ticksPerAsk = 2;
/** A request that begins to wait is asked for at once, unless an ask is younger than this. */
const askSoonerMs = 50;
const askTimeoutMs = 400;
/** From the ask to the end of a permit: what is not used is handed to others. */
const permitLifeMs = 300;
/** Permits are held for the requests that come until the next answer. */
const heldForMs = 400;
/** An instance with fewer requests than this wants no permits ahead of them. */
const leastPerSecond = 0.05;

/** What an exchange works with. */
export interface PermitExchangeStructure {
  readonly membership: Pick<Membership, "self" | "onRequest" | "request">;
  readonly endpoints: EndpointTable;
  readonly loads: Pick<LoadExchange, "isCollector" | "collector" | "getCollectors" | "getKnownSinceMs">;
  readonly demand: RequestDemand;
  readonly log: DecisionLog;
  /** Number of instances; undefined until it is known. */
  readonly getInstanceCount: () => number | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
  /** From 0 to 1, replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** One an instance. Nothing is sent while no endpoint names a limit. */
export class PermitExchange {
  private readonly _coordinator: PermitCoordinator;
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private _ticks = 0;
  private _askedAtMs = Number.NEGATIVE_INFINITY;

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
    membership.onRequest(peerTopics.permits, (body, from) => this._answer(body, from));
    demand.onWaiting(() => void this._askSooner());
  }

  /** Asks from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      lookIntervalMs,
      signal,
      () => this._look(signal),
      (error) => {
        this._structure.log.error("permit-exchange-failed", { cause: String(error) });
      },
    );
  }

  private async _look(signal: AbortSignal): Promise<void> {
    if (this._getLimited().length === 0) return;
    await this.tick();
    // Ends with the task.
    await utils.sleep(permitTickMs, signal).catch(() => undefined);
    await this.tick();
  }

  /** Asks for what is due now; resolves once all have answered. */
  async tick(): Promise<void> {
    const limited = this._getLimited();
    if (limited.length === 0) return;
    this._ticks += 1;
    const isDue = this._ticks % ticksPerAsk === 0 || limited.some((endpoint) => this._isWaitedFor(endpoint));
    await Promise.all([this._askOthers(), isDue ? this._askOwn(limited) : undefined]);
  }

  private async _askSooner(): Promise<void> {
    const limited = this._getLimited();
    if (limited.length === 0 || this._nowMs() - this._askedAtMs < askSoonerMs) return;
    await this._askOwn(limited);
  }

  /** Lends the parts of this zone to the coordinators of the zones where the endpoints are. */
  private async _askOthers(): Promise<void> {
    if (!this._structure.loads.isCollector) return;
    const asks = [...this._coordinator.getOutgoingAsks()];
    await Promise.all(asks.map(async ([name, ask]) => this._coordinator.deposit(await this._ask(name, ask))));
  }

  private async _askOwn(limited: readonly Endpoint[]): Promise<void> {
    const { loads, membership, getInstanceCount } = this._structure;
    const nowMs = this._nowMs();
    this._askedAtMs = nowMs;
    // Of limits that serve the same requests those asked for first are used first: each has its turn.
    const inTurn = utils.sample(limited, limited.length, this._random);
    const byService = utils.groupBy(limited, ({ listed }) => listed.service);
    const wants = inTurn.flatMap((endpoint) => {
      const alike = byService.get(endpoint.listed.service) ?? [];
      return this._getWanted(endpoint, alike, nowMs) ?? [];
    });
    const ask = { lending: 1, known: getInstanceCount() ?? 0, wants };
    const granted = loads.isCollector
      ? this._coordinator.answer(membership.self.name, ask)
      : await this._ask(loads.collector, ask);
    this._takeGranted(granted, nowMs + permitLifeMs);
  }

  private async _ask(name: string, ask: PermitRequest): Promise<GrantedPermits> {
    const reply = await this._structure.membership.request(name, peerTopics.permits, ask, askTimeoutMs);
    if (reply.err) {
      this._structure.log.info("permits-not-answered", { name, cause: reply.val.code });
      return [];
    }
    return grantedPermitsSchema.safeParse(reply.val).data ?? [];
  }

  private _answer(body: unknown, from: PeerIdentity): GrantedPermits {
    const ask = permitRequestSchema.safeParse(body);
    if (ask.success) return this._coordinator.answer(from.name, ask.data);
    logInvalidPeerMessage(this._structure.log, peerTopics.permits, from);
    return [];
  }

  private _takeGranted(granted: GrantedPermits, expiresAtMs: number): void {
    const { endpoints, demand } = this._structure;
    for (const { key, count } of granted) {
      const endpoint = endpoints.getLife(key);
      if (endpoint?.limit?.perSecond === undefined) continue;
      endpoint.permits.add(count, expiresAtMs);
      demand.notePermits(endpoint.listed.service, count);
    }
  }

  /**
   * What this instance wants of a limit; undefined where there is nothing to say.
   * @param alike - The limited endpoints of the same service.
   */
  private _getWanted(endpoint: Endpoint, alike: readonly Endpoint[], nowMs: number): LimitDemand | undefined {
    const { demand } = this._structure;
    const { service, isDraining } = endpoint.listed;
    const account = endpoint.permits.takeAccount(nowMs);
    const inHand = utils.getSum(alike.map(({ permits }) => permits.getCount(nowMs)));
    const waiting = isDraining ? 0 : demand.getWaiting(service);
    const ahead = isDraining ? 0 : Math.max(0, this._countAhead(service) - inHand);
    if (waiting + ahead + account.used + account.returned + account.charged === 0) return undefined;
    return { key: endpoint.lifeId, group: service, count: waiting + ahead, waiting, ...account };
  }

  private _isWaitedFor({ listed }: Endpoint): boolean {
    return this._structure.demand.getWaiting(listed.service) > 0;
  }

  /** Requests that are to be expected until the next answer. */
  private _countAhead(service: string): number {
    const perSecond = this._structure.demand.getArrivalsPerSecond(service);
    return perSecond < leastPerSecond ? 0 : Math.ceil((perSecond * heldForMs) / utils.msPerSecond);
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
