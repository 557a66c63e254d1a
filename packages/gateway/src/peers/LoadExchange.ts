import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import {
  sumLoads,
  subtractLoads,
  toLoads,
  toLoadMessage,
  type LoadMessage,
  type Loads,
} from "./endpointLoads.js";
import {
  readDecisions,
  readFigures,
  subtractFigures,
  sumFigures,
  toFigureEntries,
  type Figures,
} from "./figures.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { loadSchema, peerTopics, zoneLoadSchema } from "./peerMessages.js";
import { lapseMs, SharedFigures } from "./SharedFigures.js";
import { ZoneRole } from "./ZoneRole.js";

/** Interval at which changed load is sent. It is short enough because streams last for seconds. */
const sendIntervalMs = 200;
/** Unchanged load is sent again after this, so that a new collector receives it. */
const repeatIntervalMs = 600;
/** Key of the sum that this instance receives from its collector, among the sources of load. */
const collectedSource = "collected";
/** The collector of another zone counts as reachable for this long after its last message. */
const reachableMs = 1_000;
const roleName = "load-collector";
const noFigures: Figures = new Map();

/** Dependencies of {@link LoadExchange}. */
export interface LoadExchangeStructure {
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates" | "notifyAll" | "onNotice">;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** Figures that are summed together with the loads; none if omitted. */
  readonly figures?: SharedFigures;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** The load that an instance or a zone has sent. */
interface Source {
  readonly loads: Loads;
  readonly figures: Figures;
  readonly receivedAtMs: number;
  /** Time since which the instance has sent this load without a long silence. */
  readonly sinceMs: number;
  /** Name of the instance that sent the load. */
  readonly name: string;
}

/**
 * Exchanges the load on endpoints between instances. The instances of a zone send their load to one of them, the collector, which sends
 * each of them the sum of all others. The number of messages grows linearly with the number of instances, not with its square.
 */
export class LoadExchange {
  /** Loads of the members of this zone, received while this instance is the collector. */
  private readonly _members = new Map<string, Source>();
  /** Loads of other zones, received from their collectors. */
  private readonly _otherZones = new Map<string, Source>();
  private readonly _nowMs: () => number;
  private readonly _role: ZoneRole;
  private readonly _figures: SharedFigures;
  /** Time at which the collector of this zone last changed at this instance, or at which this instance started. */
  private _collectorSinceMs: number;
  private _sentText = "";
  private _sentAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: LoadExchangeStructure) {
    const { membership, log, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._collectorSinceMs = this._nowMs();
    this._figures = _structure.figures ?? new SharedFigures(this._nowMs);
    this._role = new ZoneRole({ name: roleName, membership, log, nowMs });
    membership.onNotice(peerTopics.load, (body, from) => this._acceptMemberLoad(body, from));
    membership.onNotice(peerTopics.collectedLoad, (body, from) => this._acceptCollected(body, from));
    membership.onNotice(peerTopics.zoneLoad, (body, from) => this._acceptZoneLoad(body, from));
  }

  /** Whether this instance is the collector of its zone now. For a moment, two instances may be the collector. */
  get isCollector(): boolean {
    return this._role.isOwn;
  }

  /** Name of the collector of this zone. */
  get collector(): string {
    return this._role.holder;
  }

  /** Returns the reachable collectors of other zones, by zone. */
  getCollectors(): Map<string, string> {
    const oldestMs = this._nowMs() - reachableMs;
    const reachable = [...this._otherZones].filter(([, { receivedAtMs }]) => receivedAtMs >= oldestMs);
    return new Map(reachable.map(([zone, { name }]) => [zone, name]));
  }

  /** Returns the time since which an instance has been sending its load to this one, or undefined if it does not. */
  getKnownSinceMs(name: string): number | undefined {
    if (name === this._structure.membership.self.name) return this._collectorSinceMs;
    const otherCollector = [...this._otherZones.values()].find((source) => source.name === name);
    return (this._members.get(name) ?? otherCollector)?.sinceMs;
  }

  /** Sends loads periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const pauses = new utils.PauseDetector(sendIntervalMs, this._nowMs);
    await utils.repeat(
      sendIntervalMs,
      signal,
      () => {
        this.noteSuspension(pauses.noteTick());
        this.sendDue();
      },
      (error) => {
        this._structure.log.error("load-exchange-failed", { cause: String(error) });
      },
    );
  }

  /** Records that this instance was suspended, so that no source is dropped for messages that could not be received. */
  noteSuspension(pauseMs: number): void {
    if (pauseMs === 0) return;
    this._role.noteSuspension(pauseMs);
    for (const sources of [this._members, this._otherZones]) {
      for (const [key, source] of sources)
        sources.set(key, { ...source, receivedAtMs: source.receivedAtMs + pauseMs });
    }
  }

  /** Elects the collector, drops silent sources, and sends the loads that are due. */
  sendDue(): void {
    this._electCollector();
    this._dropSilent();
    if (this.isCollector) this._sendSums();
    else this._sendOwn();
  }

  private _electCollector(): void {
    // A collector that was suspended for a while finds out that the others have replaced it: it no longer receives any load.
    if (this.isCollector && (this._role.isAlone || this._members.size > 0)) this._role.noteActivity();
    if (!this._role.update()) return;
    this._sentText = "";
    this._collectorSinceMs = this._nowMs();
  }

  /** Drops silent sources, and the sum of the previous collector once this instance is the collector. */
  private _dropSilent(): void {
    const oldestMs = this._nowMs() - lapseMs;
    for (const sources of [this._members, this._otherZones]) {
      for (const [name, { receivedAtMs }] of sources) if (receivedAtMs < oldestMs) sources.delete(name);
    }
    const retained = this.isCollector
      ? [...this._members.keys(), ...this._otherZones.keys()]
      : [collectedSource];
    this._structure.endpoints.retainPeerLoads(new Set(retained));
  }

  private _sendOwn(): void {
    const nowMs = this._nowMs();
    const message = {
      ...toLoadMessage(this._getOwn()),
      ...toFigureEntries(this._figures.getOwn(), noFigures),
    };
    const text = JSON.stringify(message);
    if (text === this._sentText && nowMs - this._sentAtMs < repeatIntervalMs) return;
    this._sentText = text;
    this._sentAtMs = nowMs;
    this._notify(this._role.holder, peerTopics.load, message);
  }

  private _sendSums(): void {
    const zoneLoad = sumLoads([this._getOwn(), ...getLoads(this._members)]);
    const all = sumLoads([zoneLoad, ...getLoads(this._otherZones)]);
    const ownFigures = this._figures.getOwn();
    const zoneFigures = sumFigures([ownFigures, ...getFigures(this._members)]);
    const allFigures = sumFigures([zoneFigures, ...getFigures(this._otherZones)]);
    const decisions = this._decide(zoneFigures);
    this._figures.update(subtractFigures(allFigures, ownFigures), decisions);
    for (const [name, source] of this._members) {
      const others = toLoadMessage(subtractLoads(all, source.loads));
      const figures = toFigureEntries(subtractFigures(allFigures, source.figures), decisions);
      this._notify(name, peerTopics.collectedLoad, { ...others, ...figures });
    }
    this._sendToOtherZones({ ...toLoadMessage(zoneLoad), ...toFigureEntries(zoneFigures, noFigures) });
  }

  private _decide(zoneFigures: Figures): Figures {
    const ownZone = this._structure.membership.self.availabilityZone;
    const others = [...this._otherZones].map(([zone, { figures }]) => [zone, figures] as const);
    const zones = new Map([[ownZone, zoneFigures], ...others]);
    return this._figures.decide({ ownZone, zones, nowMs: this._nowMs() });
  }

  private _sendToOtherZones(load: LoadMessage): void {
    const { membership } = this._structure;
    const { availabilityZone, name } = membership.self;
    const body = { availabilityZone, load, collector: name };
    membership.notifyAll(peerTopics.zoneLoad, body, (member) => member.availabilityZone !== availabilityZone);
  }

  private _acceptMemberLoad(body: unknown, from: PeerIdentity): void {
    const load = loadSchema.safeParse(body);
    if (!load.success) return logInvalidPeerMessage(this._structure.log, peerTopics.load, from);
    this._setSource(this._members, from.name, load.data, from.name);
  }

  private _acceptCollected(body: unknown, from: PeerIdentity): void {
    const load = loadSchema.safeParse(body);
    if (!load.success) return logInvalidPeerMessage(this._structure.log, peerTopics.collectedLoad, from);
    if (from.name !== this._role.holder) return;
    this._role.noteActivity();
    this._structure.endpoints.setPeerLoads(collectedSource, toLoads(load.data));
    this._figures.update(readFigures(load.data), readDecisions(load.data));
  }

  /**
   * Accepts the load of another zone. The collector of that zone sends the load to all linked instances, which forward it to the collector
   * of their own zone.
   */
  private _acceptZoneLoad(body: unknown, from: PeerIdentity): void {
    const message = zoneLoadSchema.safeParse(body);
    if (!message.success) return logInvalidPeerMessage(this._structure.log, peerTopics.zoneLoad, from);
    const { availabilityZone, load, collector = from.name } = message.data;
    if (availabilityZone === this._structure.membership.self.availabilityZone) return;
    if (this.isCollector) this._setSource(this._otherZones, availabilityZone, load, collector);
    else if (from.availabilityZone === availabilityZone)
      this._notify(this._role.holder, peerTopics.zoneLoad, message.data);
  }

  private _setSource(sources: Map<string, Source>, key: string, message: LoadMessage, name: string): void {
    const loads = toLoads(message);
    const figures = readFigures(message);
    const receivedAtMs = this._nowMs();
    const known = sources.get(key);
    const sinceMs = known?.name === name ? known.sinceMs : receivedAtMs;
    sources.set(key, { loads, figures, receivedAtMs, sinceMs, name });
    if (this.isCollector) this._structure.endpoints.setPeerLoads(key, loads);
  }

  private _getOwn(): Loads {
    const endpoints = this._structure.endpoints.getAll().filter((endpoint) => endpoint.ownLoad.requests > 0);
    return new Map(endpoints.map((endpoint) => [endpoint.lifeId, endpoint.ownLoad]));
  }

  private _notify(name: string, topic: string, body: unknown): void {
    this._structure.membership.notifyAll(topic, body, (member) => member.name === name);
  }
}

function getFigures(sources: ReadonlyMap<string, Source>): Figures[] {
  return [...sources.values()].map((source) => source.figures);
}

function getLoads(sources: ReadonlyMap<string, Source>): Loads[] {
  return [...sources.values()].map((source) => source.loads);
}
