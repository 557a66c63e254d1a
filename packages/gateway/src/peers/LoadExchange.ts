/**
 * How instances learn each other's load on endpoints. The instances of a zone tell one among them, the collector, which tells
 * each of them the sum of the others. Messages grow with the number of instances, not with its square.
 */
import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { addUp, subtract, toLoads, toMessage, type Loads } from "./endpointLoads.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import { loadSchema, peerTopics, zoneLoadSchema } from "./peerMessages.js";
import { ZoneDuty } from "./ZoneDuty.js";

/** Load is told this often where it changed; a stream lives for seconds. */
const tellIntervalMs = 200;
/** Load that stays as it is is told again after this, so that a new collector learns it. */
const repeatIntervalMs = 600;
/** A source that has not told for this long no longer counts: two repeats may be lost. */
const forgetAfterMs = 1_800;
/** The sum that a collector told, among the sources of load. */
const collectedSource = "collected";
/** The collector of another zone counts as reached for this long after it told. */
const reachedMs = 1_000;
const dutyName = "load-collector";

/** What an exchange works with. */
export interface LoadExchangeStructure {
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates" | "notifyAll" | "onNotice">;
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** An instance or a zone that told its load. */
interface Source {
  readonly loads: Loads;
  readonly heardAtMs: number;
  /** Since when it has told without a long silence. */
  readonly sinceMs: number;
  /** The instance that told it. */
  readonly name: string;
}

/** One exchange an instance. */
export class LoadExchange {
  /** What members of this zone told, while this instance collects. */
  private readonly _members = new Map<string, Source>();
  /** What the collectors of other zones told. */
  private readonly _otherZones = new Map<string, Source>();
  private readonly _nowMs: () => number;
  private readonly _duty: ZoneDuty;
  /** Since when this instance has its own zone's duty. */
  private _collectsSinceMs: number;
  private _toldText = "";
  private _toldAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _structure: LoadExchangeStructure) {
    const { membership, log, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._collectsSinceMs = this._nowMs();
    this._duty = new ZoneDuty({ name: dutyName, membership, log, nowMs });
    membership.onNotice(peerTopics.load, (body, from) => this._takeMemberLoad(body, from));
    membership.onNotice(peerTopics.collectedLoad, (body, from) => this._takeCollected(body, from));
    membership.onNotice(peerTopics.zoneLoad, (body, from) => this._takeZoneLoad(body, from));
  }

  /** Whether this instance collects the load of its zone now. Two may both think so for a moment. */
  get isCollector(): boolean {
    return this._duty.isOwn;
  }

  /** Name of the instance that collects for this zone. */
  get collector(): string {
    return this._duty.holder;
  }

  /** The collectors of other zones that are heard now, by zone. */
  getCollectors(): Map<string, string> {
    const oldestMs = this._nowMs() - reachedMs;
    const heard = [...this._otherZones].filter(([, { heardAtMs }]) => heardAtMs >= oldestMs);
    return new Map(heard.map(([zone, { name }]) => [zone, name]));
  }

  /** Since when an instance tells this one; undefined where it does not. */
  getKnownSinceMs(name: string): number | undefined {
    if (name === this._structure.membership.self.name) return this._collectsSinceMs;
    const zone = [...this._otherZones.values()].find((source) => source.name === name);
    return (this._members.get(name) ?? zone)?.sinceMs;
  }

  /** Tells from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const pauses = new utils.PauseDetector(tellIntervalMs, this._nowMs);
    await utils.repeat(
      tellIntervalMs,
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

  /** Takes note that this instance stood still: nobody is forgotten for what could not be heard. */
  noteSuspension(pauseMs: number): void {
    if (pauseMs === 0) return;
    this._duty.noteSuspension(pauseMs);
    for (const sources of [this._members, this._otherZones]) {
      for (const [key, source] of sources)
        sources.set(key, { ...source, heardAtMs: source.heardAtMs + pauseMs });
    }
  }

  /** Tells what is due now. */
  sendDue(): void {
    this._pickCollector();
    this._forgetSilent();
    if (this.isCollector) this._tellSums();
    else this._tellOwn();
  }

  private _pickCollector(): void {
    // A collector that stood still for a while finds that the others have passed it over: nobody tells it anything.
    if (this.isCollector && (this._duty.isAlone || this._members.size > 0)) this._duty.noteSign();
    if (!this._duty.update()) return;
    this._toldText = "";
    this._collectsSinceMs = this._nowMs();
  }

  /** Drops sources that fell silent; what a collector told goes once this instance collects by itself. */
  private _forgetSilent(): void {
    const oldestMs = this._nowMs() - forgetAfterMs;
    for (const sources of [this._members, this._otherZones]) {
      for (const [name, { heardAtMs }] of sources) if (heardAtMs < oldestMs) sources.delete(name);
    }
    const kept = this.isCollector ? [...this._members.keys(), ...this._otherZones.keys()] : [collectedSource];
    this._structure.endpoints.keepPeerLoads(new Set(kept));
  }

  private _tellOwn(): void {
    const nowMs = this._nowMs();
    const message = toMessage(this._getOwn());
    const text = JSON.stringify(message);
    if (text === this._toldText && nowMs - this._toldAtMs < repeatIntervalMs) return;
    this._toldText = text;
    this._toldAtMs = nowMs;
    this._notify(this._duty.holder, peerTopics.load, message);
  }

  private _tellSums(): void {
    const zoneLoad = addUp([this._getOwn(), ...getLoads(this._members)]);
    const all = addUp([zoneLoad, ...getLoads(this._otherZones)]);
    for (const [name, source] of this._members) {
      this._notify(name, peerTopics.collectedLoad, toMessage(subtract(all, source.loads)));
    }
    this._tellOtherZones(zoneLoad);
  }

  private _tellOtherZones(zoneLoad: Loads): void {
    const { membership } = this._structure;
    const { availabilityZone, name } = membership.self;
    const body = { availabilityZone, load: toMessage(zoneLoad), collector: name };
    membership.notifyAll(peerTopics.zoneLoad, body, (member) => member.availabilityZone !== availabilityZone);
  }

  private _takeMemberLoad(body: unknown, from: PeerIdentity): void {
    const load = loadSchema.safeParse(body);
    if (!load.success) return logInvalidPeerMessage(this._structure.log, peerTopics.load, from);
    this._take(this._members, from.name, toLoads(load.data), from.name);
  }

  private _takeCollected(body: unknown, from: PeerIdentity): void {
    const load = loadSchema.safeParse(body);
    if (!load.success) return logInvalidPeerMessage(this._structure.log, peerTopics.collectedLoad, from);
    if (from.name !== this._duty.holder) return;
    this._duty.noteSign();
    this._structure.endpoints.setPeerLoads(collectedSource, toLoads(load.data));
  }

  /** Another zone's load comes to the instances that its collector is linked to; they pass it on to their own. */
  private _takeZoneLoad(body: unknown, from: PeerIdentity): void {
    const told = zoneLoadSchema.safeParse(body);
    if (!told.success) return logInvalidPeerMessage(this._structure.log, peerTopics.zoneLoad, from);
    const { availabilityZone, load, collector = from.name } = told.data;
    if (availabilityZone === this._structure.membership.self.availabilityZone) return;
    if (this.isCollector) this._take(this._otherZones, availabilityZone, toLoads(load), collector);
    else if (from.availabilityZone === availabilityZone)
      this._notify(this._duty.holder, peerTopics.zoneLoad, told.data);
  }

  private _take(sources: Map<string, Source>, key: string, loads: Loads, name: string): void {
    const heardAtMs = this._nowMs();
    const known = sources.get(key);
    const sinceMs = known?.name === name ? known.sinceMs : heardAtMs;
    sources.set(key, { loads, heardAtMs, sinceMs, name });
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

function getLoads(sources: ReadonlyMap<string, Source>): Loads[] {
  return [...sources.values()].map((source) => source.loads);
}
