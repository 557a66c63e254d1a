/** Simulated fleet whose instances use up their retry budgets, while processes start and end and the registry is away. */
import { utils } from "@shedtiller/common";
import type { Member } from "@shedtiller/membership";
import { InstanceCount, settlingMs } from "../../peers/InstanceCount.js";
import { RetryBudgets, type RetryBudgetOptions } from "../../requests/RetryBudgets.js";
import type { RetryPermit } from "../../requests/RetryPermit.js";

export const stepMs = 100;
const zones = 3;
const service = "s";
/** Interval between heartbeats, with which links are seen. */
const heartbeatIntervalMs = 500;
/** Interval between reads of the registry of an instance that has linked peers. */
const readIntervalMs = 60_000;
/** Longest time from the end of a process to the start of the next one. */
const maxDownMs = 1_500;
const maxAwayMs = 12_000;
const maxRequestsPerStep = 3;
const maxSeries = 8;
/** Longest time without a failure, and longest time for which each request fails. */
const maxSoundMs = 25_000;
const maxFailingMs = 8_000;
/** Longest time between two moves of callers, and weight of the callers of an instance that most have left. */
const maxUnmovedMs = 15_000;
const leftWeight = 0.05;
/** Longest time between two cuts, and longest cut, at whose end everything that was sent meanwhile arrives. */
const maxUncutMs = 20_000;
const maxCutMs = 12_000;

interface Process {
  readonly budgets: RetryBudgets;
  readonly count: InstanceCount;
  readonly fields: Map<string, () => unknown>;
  /** Fields of the last heartbeat. */
  heartbeat: Record<string, unknown>;
  readonly known: Set<string>;
  /** Retries that have been sent, and arrive at the end of a cut. */
  readonly heldUp: RetryPermit[];
  /** The linked members since the last heartbeat. */
  linked: Member[];
  isRegistered: boolean;
  nextReadAtMs: number;
}

interface Instance {
  readonly name: string;
  readonly zone: number;
  process: Process | undefined;
  /** Time at which the next process starts; infinite for an instance that is gone. */
  startsAtMs: number;
  /** Time at which the process ends for good. */
  leavesAtMs: number;
  /** Share of the callers, relative to the other instances. */
  weight: number;
}

/** How a fleet is disturbed. `processes`: all requests fail at all times. `all`: failures begin suddenly, callers move, and cuts delay sends. */
export type RetryDisturbance = "none" | "processes" | "all";

/** Runs in steps; each process retries as often as its budget allows in each step. */
export class RetryFleet {
  /** Requests and retries of all instances by step. */
  readonly requests: number[] = [];
  readonly retries: number[] = [];
  private readonly _instances: Instance[] = [];
  /** Names that have registered, which the registry keeps. */
  private readonly _registry = new Set<string>();
  private _nowMs = 0;
  private _awayUntilMs = 0;
  private _createdCount = 0;
  private _nextSeriesAtMs = 0;
  private readonly _kills: number[] = [];
  private _soundUntilMs = 0;
  private _failsUntilMs = 0;
  private _movesAtMs = 0;
  private _cutFromMs = 0;
  private _cutUntilMs = 0;

  constructor(
    private readonly _options: RetryBudgetOptions,
    private readonly _random: utils.RandomSource,
    instances: number,
    /** Longest time between the first starts of two instances. */
    private readonly _staggerMs: number,
  ) {
    for (let index = 0; index < instances; index++) this._addInstance(this._draw(this._staggerMs));
  }

  /** Advances the time, and disturbs processes, callers, endpoints and links at random. */
  run(durationMs: number, disturbance: RetryDisturbance): void {
    for (const endMs = this._nowMs + durationMs; this._nowMs < endMs; this._nowMs += stepMs) {
      if (disturbance !== "none") this._strike();
      if (disturbance === "all") this._disturbTraffic();
      if (this._nowMs % heartbeatIntervalMs === 0) this._sendHeartbeats();
      for (const instance of this._instances) this._advance(instance);
      this.requests.push(disturbance === "all" ? this._shareRequests() : this._addRequests());
      this.retries.push(utils.getSum(this._instances.map(({ process }) => this._retry(process))));
    }
  }

  /** Adds as many requests to each process on average; returns their number. */
  private _addRequests(): number {
    let requests = 0;
    for (const { process } of this._instances) {
      if (process === undefined) continue;
      const arrivals = this._random.nextInteger(maxRequestsPerStep);
      for (let request = 0; request < arrivals; request++) process.budgets.recordRequest(service);
      requests += arrivals;
    }
    return requests;
  }

  /** Adds requests to the processes that run, by the weights of their instances; returns their number, which no process changes. */
  private _shareRequests(): number {
    const running = this._instances.filter(({ process }) => process !== undefined);
    const total = utils.getSum(running.map(({ weight }) => weight));
    const requests = this._instances.length;
    for (let request = 0; request < requests; request++) {
      let remaining = this._random.nextUnit() * total;
      const receiver = running.find(({ weight }) => (remaining -= weight) < 0);
      receiver?.process?.budgets.recordRequest(service);
    }
    return requests;
  }

  /** Retries as often as the budget allows; returns how many retries arrive. */
  private _retry(process: Process | undefined): number {
    if (process === undefined) return 0;
    let arrived = 0;
    const isCut = this._nowMs >= this._cutFromMs && this._nowMs < this._cutUntilMs;
    if (!isCut) arrived += process.heldUp.length;
    if (!isCut) for (const permit of process.heldUp.splice(0)) permit.end();
    if (this._nowMs < this._soundUntilMs) return arrived;
    for (
      let permit = process.budgets.tryReserve(service);
      permit;
      permit = process.budgets.tryReserve(service)
    ) {
      permit.use();
      if (isCut) process.heldUp.push(permit);
      else permit.end();
      if (!isCut) arrived += 1;
    }
    return arrived;
  }

  private _disturbTraffic(): void {
    if (this._nowMs >= this._failsUntilMs) {
      this._soundUntilMs = this._nowMs + this._draw(maxSoundMs);
      this._failsUntilMs = this._soundUntilMs + this._draw(maxFailingMs);
    }
    if (this._nowMs >= this._cutUntilMs) {
      this._cutFromMs = this._nowMs + this._draw(maxUncutMs);
      this._cutUntilMs = this._cutFromMs + this._draw(maxCutMs);
    }
    if (this._nowMs < this._movesAtMs) return;
    this._movesAtMs = this._nowMs + this._draw(maxUnmovedMs);
    for (const instance of this._instances) instance.weight = this._random.pick([leftWeight, 1]) ?? 1;
  }

  private _addInstance(delayMs: number): Instance {
    const index = this._createdCount++;
    const instance: Instance = {
      name: `front-${index}`,
      zone: index % zones,
      process: undefined,
      startsAtMs: this._nowMs + delayMs,
      leavesAtMs: Number.POSITIVE_INFINITY,
      weight: 1,
    };
    this._instances.push(instance);
    return instance;
  }

  private _advance(instance: Instance): void {
    if (this._nowMs >= instance.leavesAtMs) {
      instance.process = undefined;
      instance.startsAtMs = Number.POSITIVE_INFINITY;
    }
    if (instance.process === undefined && this._nowMs >= instance.startsAtMs) this._start(instance);
    if (instance.process !== undefined) this._useRegistry(instance, instance.process);
  }

  private _start(instance: Instance): void {
    const fields = new Map<string, () => unknown>();
    const known = new Set([instance.name]);
    const nowMs = (): number => this._nowMs;
    const membership = {
      self: { name: instance.name, availabilityZone: `z${instance.zone}` },
      getMembers: () => instance.process?.linked ?? [],
      getLinked: () => instance.process?.linked ?? [],
      addHeartbeatField: (field: string, getValue: () => unknown) => void fields.set(field, getValue),
    };
    const count = new InstanceCount({ membership, nowMs });
    const budgets = new RetryBudgets(this._options, { nowMs, getSharing: () => count.get() });
    instance.process = {
      budgets,
      count,
      fields,
      heartbeat: {},
      known,
      heldUp: [],
      linked: [],
      isRegistered: false,
      nextReadAtMs: this._nowMs,
    };
  }

  private _sendHeartbeats(): void {
    for (const { process } of this._instances) {
      if (process === undefined) continue;
      process.heartbeat = Object.fromEntries([...process.fields].map(([field, get]) => [field, get()]));
    }
    for (const instance of this._instances)
      if (instance.process !== undefined)
        instance.process.linked = this._getLinked(instance, instance.process);
  }

  /** Registers and reads as {@link PeerDirectory} does. */
  private _useRegistry({ name }: Instance, process: Process): void {
    if (this._nowMs < this._awayUntilMs || this._nowMs < process.nextReadAtMs) return;
    const names = [...this._registry];
    if (!process.isRegistered) process.count.noteFormerList(names);
    this._registry.add(name);
    process.isRegistered = true;
    process.count.noteRegistered();
    process.count.noteList([...this._registry]);
    for (const each of this._registry) process.known.add(each);
    process.nextReadAtMs =
      this._nowMs + Math.min(readIntervalMs, process.count.settlesInMs ?? readIntervalMs);
  }

  /** Returns the members to which the instance has a link: the running ones of its zone, and a few others, of which either knows the other. */
  private _getLinked(instance: Instance, { known }: Process): Member[] {
    return this._instances.flatMap((other) => {
      const isNear = other.zone === instance.zone || other.name.length === instance.name.length;
      const areAcquainted = known.has(other.name) || other.process?.known.has(instance.name) === true;
      if (other === instance || other.process === undefined || !isNear || !areAcquainted) return [];
      return [createMember(other.name, other.process.heartbeat)];
    });
  }

  /** Ends processes one by one or all at once, in series, replaces and adds instances, and takes the registry away. */
  private _strike(): void {
    if (this._nowMs >= this._nextSeriesAtMs) {
      this._nextSeriesAtMs = this._nowMs + this._draw(2 * settlingMs);
      const intervalMs = this._draw(2_500);
      const count = 1 + this._random.nextInteger(maxSeries);
      for (let kill = 0; kill < count; kill++) this._kills.push(this._nowMs + kill * intervalMs);
      this._changeFleet();
      if (this._random.nextUnit() < 0.3) this._awayUntilMs = this._nowMs + this._draw(maxAwayMs);
    }
    const due = this._kills.findIndex((atMs) => atMs <= this._nowMs);
    if (due < 0) return;
    this._kills.splice(due, 1);
    const share = this._random.pick([0.1, 0.5, 1]) ?? 1;
    for (const instance of this._instances) {
      if (instance.process === undefined || this._random.nextUnit() >= share) continue;
      instance.process = undefined;
      instance.startsAtMs = this._nowMs + this._draw(maxDownMs);
    }
  }

  /** Replaces an instance by a new one, which starts before or after the end of the old one, or adds some. */
  private _changeFleet(): void {
    const kind = this._random.nextInteger(3);
    if (kind === 0)
      for (let added = 0; added < 1 + this._createdCount / 8; added++) this._addInstance(this._draw(2_000));
    const old = this._random.pick(this._instances);
    if (kind !== 1 || old === undefined) return;
    this._addInstance(this._draw(2_000));
    old.leavesAtMs = this._nowMs + this._draw(4_000);
  }

  private _draw(maximum: number): number {
    return this._random.nextUnit() * maximum;
  }
}

function createMember(name: string, heartbeat: Record<string, unknown>): Member {
  return {
    name,
    availabilityZone: "",
    address: "",
    isLeaving: false,
    lostSinceMs: undefined,
    lostSinceMonotonicMs: 0,
    heartbeat,
  };
}
