/**
 * Simulation of instances that share the rate limits of endpoints. It runs the production code that reads and broadcasts limits and that
 * requests and grants permits, in simulated time and without a network. Requests arrive at random at each instance; a request without a
 * permit waits for one for a limited time.
 */
import { errors, results, utils } from "@shedtiller/common";
import {
  pickContacts,
  type NoticeHandler,
  type PeerError,
  type PeerIdentity,
  type RequestHandler,
} from "@shedtiller/membership";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { StatedLimit } from "../../http/EndpointStatement.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LimitBroadcast } from "../../peers/LimitBroadcast.js";
import { LoadExchange } from "../../peers/LoadExchange.js";
import { PermitExchange, permitTickMs } from "../../peers/PermitExchange.js";
import { pickPlainEndpoint } from "../../requests/pickPlainEndpoint.js";
import { RequestDemand } from "../../requests/RequestDemand.js";
import { createListed } from "../testData.js";
import { toMember } from "../peers/toMember.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import type { SimulatedClock } from "./SimulatedClock.js";

export const zones = ["east", "west", "harbor"];
export const service = "records";
const messageMs = 2;
const answerMs = 60;
const loadTickMs = 200;
/** Interval at which an instance without demand checks whether it has demand again. */
const idlePollMs = 200;
const maxWaitMs = 1_500;

/** Options of a {@link LimitedFleet}. */
export interface LimitedFleetOptions {
  readonly instances: number;
  readonly endpoints: number;
  readonly seed: number;
}

interface Instance {
  readonly identity: PeerIdentity;
  readonly notices: Map<string, NoticeHandler>;
  readonly requests: Map<string, RequestHandler>;
  readonly linkedListeners: ((peer: PeerIdentity) => void)[];
  readonly endpoints: EndpointTable;
  readonly limits: EndpointLimits;
  readonly demand: RequestDemand;
  readonly waiting: (() => boolean)[];
  readonly loads: LoadExchange;
  readonly permits: PermitExchange;
  isStopped: boolean;
}

/** Simulates a fleet of instances and its endpoints. */
export class LimitedFleet {
  /** By endpoint: the times at which it received requests. */
  readonly arrivalsAtMs = new Map<string, number[]>();
  served = 0;
  /** Number of requests for permits, from instances and from zones. */
  permitRequests = 0;
  rejected = 0;
  private readonly _random: utils.RandomSource;
  private readonly _limitsPerSecond = new Map<string, number>();
  private readonly _instances: Instance[] = [];
  private readonly _partitioned = new Set<string>();
  private readonly _identities: readonly PeerIdentity[];
  private readonly _contacts = new Map<string, Set<string>>();
  private readonly _linked = new Map<string, PeerIdentity[]>();
  private _perSecond: (index: number) => number = () => 0;

  constructor(
    private readonly _clock: SimulatedClock,
    private readonly _options: LimitedFleetOptions,
  ) {
    this._random = new utils.RandomSource(_options.seed);
    this._identities = Array.from({ length: _options.instances }, (_, index) => ({
      name: `f-${index}`,
      availabilityZone: zones[index % zones.length] ?? "",
    }));
    for (const { id } of this._list()) this.arrivalsAtMs.set(id, []);
    for (let index = 0; index < _options.instances; index++) this._instances.push(this._start(index));
    for (let index = 0; index < _options.instances; index++) this._scheduleArrival(index);
  }

  /** Sets or removes the limit that an endpoint states in its answers. */
  setLimit(id: string, perSecond: number | undefined): void {
    if (perSecond === undefined) this._limitsPerSecond.delete(id);
    else this._limitsPerSecond.set(id, perSecond);
  }

  /** Sets the number of requests per second that arrive at each instance. */
  setDemand(perSecond: (index: number) => number): void {
    this._perSecond = perSecond;
  }

  /** Partitions an instance or a zone from all others, or ends the partition. Its instances still reach the endpoints. */
  setPartitioned(name: string, isPartitioned: boolean): void {
    if (isPartitioned) return void this._partitioned.add(name);
    this._partitioned.delete(name);
    for (const instance of this._instances) this._notifyLinked(instance);
  }

  /** Restarts an instance under the same name and without its state. */
  restart(index: number): void {
    const before = this._instances[index];
    if (before !== undefined) before.isStopped = true;
    const instance = this._start(index);
    this._instances[index] = instance;
    this._notifyLinked(instance);
  }

  /** Returns the names of the instances that consider themselves the collector of their zone, which grants permits. */
  getCollectors(): string[] {
    return this._instances.filter(({ loads }) => loads.isCollector).map(({ identity }) => identity.name);
  }

  /** Returns the maximum number of requests that an endpoint received in a window of `windowMs` between two times. */
  getMaxInWindow(id: string, windowMs: number, fromMs: number, toMs: number): number {
    const times = (this.arrivalsAtMs.get(id) ?? []).filter((atMs) => atMs >= fromMs && atMs < toMs);
    let first = 0;
    let max = 0;
    times.forEach((atMs, index) => {
      while ((times[first] ?? 0) <= atMs - windowMs) first += 1;
      max = Math.max(max, index - first + 1);
    });
    return max;
  }

  /** Returns the requests per second that an endpoint received between two times. */
  getPerSecond(id: string, fromMs: number, toMs: number): number {
    const times = (this.arrivalsAtMs.get(id) ?? []).filter((atMs) => atMs >= fromMs && atMs < toMs);
    return (times.length / (toMs - fromMs)) * utils.msPerSecond;
  }

  private _list(): ReturnType<typeof createListed>[] {
    return Array.from({ length: this._options.endpoints }, (_, index) =>
      createListed(`p${index}`, { service, availabilityZone: zones[index % zones.length] ?? "" }),
    );
  }

  private _start(index: number): Instance {
    const { nowMs } = this._clock;
    const identity = this._identities[index] ?? { name: "", availabilityZone: "" };
    const notices = new Map<string, NoticeHandler>();
    const requests = new Map<string, RequestHandler>();
    const linkedListeners: ((peer: PeerIdentity) => void)[] = [];
    const endpoints = new EndpointTable(nowMs);
    endpoints.setAll(new Map(this._list().map((listed) => [listed.id, listed])));
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const membership = this._createMembership(identity, { notices, requests, linkedListeners });
    const limits = new EndpointLimits({ log, nowMs });
    const demand = new RequestDemand(nowMs);
    const loads = new LoadExchange({ membership, endpoints, log, nowMs });
    const getInstanceCount = (): number => this._options.instances;
    const random = (): number => this._random.nextUnit();
    new LimitBroadcast({ membership, endpoints, limits, log, nowMs, random });
    const permits = new PermitExchange({
      membership,
      endpoints,
      loads,
      demand,
      log,
      getInstanceCount,
      nowMs,
      random,
    });
    const waiting: (() => boolean)[] = [];
    const components = {
      notices,
      requests,
      linkedListeners,
      endpoints,
      limits,
      demand,
      waiting,
      loads,
      permits,
    };
    const instance: Instance = { identity, ...components, isStopped: false };
    demand.addQueue(() => waiting.length);
    demand.onPermits(() => this._serveWaiting(instance));
    this._repeat(instance, loadTickMs, () => loads.sendDue());
    this._repeat(instance, permitTickMs, () => void permits.tick());
    return instance;
  }

  private _repeat(instance: Instance, tickMs: number, act: () => void): void {
    const step = (): void => {
      if (instance.isStopped) return;
      act();
      this._clock.at(this._clock.nowMs() + tickMs, step);
    };
    this._clock.at(this._clock.nowMs() + this._random.nextUnit() * tickMs, step);
  }

  private _createMembership(
    self: PeerIdentity,
    handlers: Pick<Instance, "notices" | "requests" | "linkedListeners">,
  ): ConstructorParameters<typeof LoadExchange>[0]["membership"] &
    ConstructorParameters<typeof LimitBroadcast>[0]["membership"] &
    ConstructorParameters<typeof PermitExchange>[0]["membership"] {
    return {
      self,
      getZoneRoleCandidates: () => {
        const inZone = this._getLinked(self).filter(
          (peer) => peer.availabilityZone === self.availabilityZone,
        );
        return [...inZone.map(({ name }) => name), self.name];
      },
      getLinked: () => this._getLinked(self).map(toMember),
      onLinked: (listener) => void handlers.linkedListeners.push(listener),
      onNotice: (topic, handler) => void handlers.notices.set(topic, handler),
      onRequest: (topic, handler) => void handlers.requests.set(topic, handler),
      notifyAll: (topic, body, isRecipient = () => true) => {
        for (const peer of this._getLinked(self))
          if (isRecipient(toMember(peer))) this._notify(self, peer, topic, body);
      },
      request: (name, topic, body) => this._request(self, name, topic, body),
    };
  }

  private _getLinked(self: PeerIdentity): PeerIdentity[] {
    const linked = this._linked.get(self.name) ?? this._findLinked(self);
    this._linked.set(self.name, linked);
    return linked.filter((peer) => !this._isPartitioned(self, peer));
  }

  /** Returns all instances of the own zone and a few of each other zone. A link carries messages both ways, whichever side opens it. */
  private _findLinked(self: PeerIdentity): PeerIdentity[] {
    const others = this._identities.filter(({ name }) => name !== self.name);
    const contacts = this._getContacts(self);
    return others.filter(
      (peer) =>
        peer.availabilityZone === self.availabilityZone ||
        contacts.has(peer.name) ||
        this._getContacts(peer).has(self.name),
    );
  }

  private _getContacts(self: PeerIdentity): Set<string> {
    const known = this._contacts.get(self.name);
    if (known !== undefined) return known;
    const elsewhere = this._identities.filter((peer) => peer.availabilityZone !== self.availabilityZone);
    const contacts = pickContacts(self.name, elsewhere.map(toMember));
    this._contacts.set(self.name, contacts);
    return contacts;
  }

  private _isPartitioned(one: PeerIdentity, other: PeerIdentity): boolean {
    if (this._partitioned.has(one.name) || this._partitioned.has(other.name)) return true;
    const isAcross = one.availabilityZone !== other.availabilityZone;
    return (
      isAcross &&
      (this._partitioned.has(one.availabilityZone) || this._partitioned.has(other.availabilityZone))
    );
  }

  private _find(name: string): Instance | undefined {
    return this._instances[this._identities.findIndex((identity) => identity.name === name)];
  }

  private _notify(from: PeerIdentity, to: PeerIdentity, topic: string, body: unknown): void {
    this._clock.at(this._clock.nowMs() + messageMs, () => {
      if (!this._isPartitioned(from, to)) this._find(to.name)?.notices.get(topic)?.(body, from);
    });
  }

  /** Sends a request. It takes two message delays each way, as if it were relayed by a contact in the other zone. */
  private async _request(
    from: PeerIdentity,
    name: string,
    topic: string,
    body: unknown,
  ): Promise<results.Result<unknown, PeerError>> {
    this.permitRequests += 1;
    await this._clock.sleep(2 * messageMs);
    const target = this._find(name);
    if (target === undefined || this._isPartitioned(from, target.identity))
      return results.Err(new errors.ConnectionLostError(name));
    const answer: unknown = await target.requests.get(topic)?.(body, from);
    await this._clock.sleep(2 * messageMs);
    return results.Ok(answer);
  }

  /** Notifies an instance and its peers that they are linked. */
  private _notifyLinked({ identity, linkedListeners }: Instance): void {
    for (const peer of this._getLinked(identity)) {
      for (const listener of linkedListeners) listener(peer);
      for (const listener of this._find(peer.name)?.linkedListeners ?? []) listener(identity);
    }
  }

  /** Schedules the next request at an instance, as a Poisson process with its current rate. */
  private _scheduleArrival(index: number): void {
    const perSecond = this._perSecond(index);
    const pauseMs =
      perSecond > 0 ? (-Math.log(1 - this._random.nextUnit()) / perSecond) * utils.msPerSecond : idlePollMs;
    this._clock.at(this._clock.nowMs() + pauseMs, () => {
      const instance = this._instances[index];
      if (perSecond > 0 && instance !== undefined) this._arrive(instance);
      this._scheduleArrival(index);
    });
  }

  private _arrive(instance: Instance): void {
    instance.demand.noteArrival(service);
    if (instance.waiting.length === 0 && this._trySend(instance)) return;
    const trySend = (): boolean => this._trySend(instance);
    instance.waiting.push(trySend);
    instance.demand.noteWaiting();
    this._serveWaiting(instance);
    this._clock.at(this._clock.nowMs() + maxWaitMs, () => {
      const at = instance.waiting.indexOf(trySend);
      if (at < 0) return;
      instance.waiting.splice(at, 1);
      this.rejected += 1;
    });
  }

  private _serveWaiting(instance: Instance): void {
    while (instance.waiting[0]?.() === true) instance.waiting.shift();
  }

  private _trySend(instance: Instance): boolean {
    const { endpoints, identity } = instance;
    const nowMs = this._clock.nowMs();
    const { availabilityZone } = identity;
    const endpoint = pickPlainEndpoint(
      { endpoints, availabilityZone },
      { service, excluded: new Set(), mayProbe: true },
      nowMs,
    );
    if (endpoint?.tryAcquirePermit(nowMs) === undefined) return false;
    this._send(instance, endpoint, nowMs);
    return true;
  }

  private _send(instance: Instance, endpoint: Endpoint, sentAtMs: number): void {
    endpoint.addOwnLoad(1, 0);
    this._clock.at(sentAtMs + messageMs, () => this.arrivalsAtMs.get(endpoint.id)?.push(this._clock.nowMs()));
    this._clock.at(sentAtMs + answerMs, () => {
      endpoint.addOwnLoad(-1, 0);
      this.served += 1;
      const perSecond = this._limitsPerSecond.get(endpoint.id);
      const stated: StatedLimit = perSecond === undefined ? { kind: "none" } : { kind: "named", perSecond };
      if (!instance.isStopped) instance.limits.noteAnswer(endpoint, stated, sentAtMs);
    });
  }
}
