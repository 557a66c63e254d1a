/**
 * Simulation of engines that crash because of certain requests or for other reasons. It runs the production code that detects and
 * quarantines crashing requests at all instances, in simulated time and without a network. A crash ends all runs at the engine. A run
 * waits, begins (with the headers of its answer), produces its first event and continues for seconds; a crashing request crashes its
 * engine soon after the beginning of its run.
 */
import { results, utils } from "@shedtiller/common";
import { getPartTraits } from "@shedtiller/crashes";
import { pickContacts, type NoticeHandler, type PeerIdentity } from "@shedtiller/membership";
import { RequestQuarantine } from "../../crashes/RequestQuarantine.js";
import { QuarantineStore, type StoredQuarantine } from "../../crashes/QuarantineStore.js";
import type { TrackedRequest, TrackedRun } from "../../crashes/TrackedRun.js";
import { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { toMember } from "../peers/toMember.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import type { SimulatedClock } from "./SimulatedClock.js";

const zones = ["east", "west", "harbor"];
const messageMs = 2;
/** Times from a recorded scenario: an engine is back after 4 s, and a run crashes its engine up to 100 ms after its beginning. */
const downMs = 4_000;
const delistedAfterMs = 3_600;
const maxWaitMs = 300;
const minCrashMs = 15;
const maxCrashMs = 95;
const firstEventMs = 60;
const streamMs = 2_500;
const maxAttempts = 3;

/** Options of a {@link CrashingFleet}. */
export interface CrashingFleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly seed: number;
  /** Number of running engines that get requests, as chains that begin elsewhere cost more; by default all. */
  readonly firstEngines?: number;
}

/** A request that callers may repeat. */
export interface SentRequest {
  readonly digest: string;
  /** Ids of the parts of the prompt that other requests may share. */
  readonly parts?: readonly string[];
  /** Whether the request crashes its engine; a function is called when an engine receives the request and when it begins to run it. */
  readonly isCrashing: boolean | (() => boolean);
  /** Maximum time from its beginning after which a crashing run completes successfully, which may be before its engine crashes. */
  readonly endsWithinMs?: number;
}

export type SendOutcome = "served" | "held-back" | "lost";

interface EngineRun {
  readonly tracked: { -readonly [K in keyof TrackedRun]: TrackedRun[K] };
  readonly instance: SimulatedInstance;
  readonly ended: utils.Deferred<"served" | "lost">;
}

interface SimulatedEngine {
  endpoint: Endpoint;
  isUp: boolean;
  readonly runs: Set<EngineRun>;
}

interface SimulatedInstance {
  readonly identity: PeerIdentity;
  readonly quarantine: RequestQuarantine;
  readonly handlers: Map<string, NoticeHandler>;
  readonly linkedListeners: ((peer: PeerIdentity) => void)[];
}

/** A store without content, since these simulations do not cover persistence. */
class EmptyQuarantineStore extends QuarantineStore {
  override read(): Promise<results.Result<StoredQuarantine[], never>> {
    return Promise.resolve(results.Ok([]));
  }
  override add(): Promise<results.Result<void, never>> {
    return Promise.resolve(results.Ok(undefined));
  }
  override remove(): Promise<results.Result<void, never>> {
    return Promise.resolve(results.Ok(undefined));
  }
}

function isCrashing({ isCrashing: value }: SentRequest): boolean {
  return typeof value === "function" ? value() : value;
}

function createTracked({ digest, parts = [] }: SentRequest): TrackedRequest {
  const partTraits = getPartTraits(parts);
  return { traits: [digest, ...partTraits], partTraits };
}

/** Simulates a fleet of instances and its engines. */
export class CrashingFleet {
  /** Times at which requests crashed engines. */
  readonly allCrashesAtMs: number[] = [];
  /** By digest of the request: the times at which it crashed engines. */
  readonly crashesAtMs = new Map<string, number[]>();
  /** By digest of the request: the times at which engines received it while it crashed them. */
  readonly crashingArrivalsAtMs = new Map<string, number[]>();
  /** Digests that any instance has ever quarantined. */
  readonly quarantined = new Set<string>();
  /** Names of the instances that are partitioned from all others. */
  private readonly _partitioned = new Set<string>();
  private readonly _random: utils.RandomSource;
  private readonly _engines: SimulatedEngine[] = [];
  private readonly _instances: SimulatedInstance[] = [];
  private readonly _endpoints: EndpointTable;
  private _started = 0;

  constructor(
    private readonly _clock: SimulatedClock,
    private readonly _options: CrashingFleetOptions,
  ) {
    const options = _options;
    this._random = new utils.RandomSource(options.seed);
    this._endpoints = new EndpointTable(_clock.nowMs);
    for (let index = 0; index < options.engines; index++) this._engines.push(this._createEngine());
    for (let index = 0; index < options.instances; index++) {
      this._instances.push(
        this._createInstance({ name: `f-${index}`, availabilityZone: zones[index % zones.length] ?? "" }),
      );
    }
    this._listEngines();
  }

  /** Times at which engines received crashing requests. */
  get arrivalsAtMs(): number[] {
    return [...this.crashingArrivalsAtMs.values()].flat();
  }

  get upEngines(): number {
    return this._engines.filter((engine) => engine.isUp).length;
  }

  /** Partitions an instance from all others, or ends the partition. */
  setPartitioned(index: number, isPartitioned: boolean): void {
    const instance = this._instances[index];
    if (instance === undefined) return;
    const { name } = instance.identity;
    if (isPartitioned) return void this._partitioned.add(name);
    this._partitioned.delete(name);
    for (const peer of this._getPeers(instance)) {
      for (const listener of peer.linkedListeners) listener(instance.identity);
      for (const listener of instance.linkedListeners) listener(peer.identity);
    }
  }

  /** Whether an instance quarantines a request, including one that is due for its trial. */
  isQuarantinedAt(index: number, digest: string): boolean {
    const status = this._instances[index]?.quarantine.detector.ledger.getStatus(digest);
    return status === "held" || status === "due-for-trial";
  }

  /** Sends a request to an instance, which attempts it like a stream. */
  async send(
    request: SentRequest,
    index = this._random.nextInteger(this._instances.length),
  ): Promise<SendOutcome> {
    const instance = this._instances[index];
    if (instance === undefined) return "lost";
    const { detector } = instance.quarantine;
    const tracked = createTracked(request);
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      await detector.waitForTurn(tracked);
      if (detector.getQuarantineMs(tracked) !== undefined) return "held-back";
      const engine = this._pickEngine(detector.getAvoidedEndpointIds(tracked));
      if (engine === undefined) return "lost";
      if ((await this._run(request, instance, engine)) === "served") return "served";
    }
    return "lost";
  }

  /** Crashes random engines for a reason unrelated to their requests. */
  crashRandomEngines(count: number): void {
    const up = this._engines.filter((engine) => engine.isUp);
    for (let crashed = 0; crashed < count; crashed++) {
      const [engine] = up.splice(this._random.nextInteger(up.length), 1);
      if (engine !== undefined) this._crash(engine);
    }
  }

  private async _run(
    request: SentRequest,
    instance: SimulatedInstance,
    engine: SimulatedEngine,
  ): Promise<"served" | "lost"> {
    const tracked = {
      request: createTracked(request),
      endpointId: engine.endpoint.id,
      hasBegun: false,
      firstEventAtMs: undefined,
    };
    const run: EngineRun = { tracked, instance, ended: new utils.Deferred() };
    const { detector } = instance.quarantine;
    if (isCrashing(request)) this._noteArrival(request.digest);
    detector.begin(tracked);
    engine.runs.add(run);
    void this._simulateRun(run, engine, request);
    const end = await run.ended.promise;
    engine.runs.delete(run);
    detector.end(tracked);
    const identity = { method: "POST", path: request.digest, accountName: undefined, body: Buffer.alloc(0) };
    if (end === "served")
      detector.noteCompleted("streaming", { ...tracked.request, identity }, tracked, engine.endpoint);
    return end;
  }

  private _noteArrival(digest: string): void {
    const times = this.crashingArrivalsAtMs.get(digest) ?? [];
    this.crashingArrivalsAtMs.set(digest, [...times, this._clock.nowMs()]);
  }

  private async _simulateRun(run: EngineRun, engine: SimulatedEngine, request: SentRequest): Promise<void> {
    const isOver = (): boolean => !engine.runs.has(run);
    await this._clock.sleep(this._random.nextUnit() * maxWaitMs);
    if (isOver()) return;
    run.tracked.hasBegun = true;
    if (isCrashing(request)) {
      if (request.endsWithinMs !== undefined)
        void this._complete(run, this._random.nextUnit() * request.endsWithinMs);
      await this._clock.sleep(minCrashMs + this._random.nextUnit() * (maxCrashMs - minCrashMs));
      if (request.endsWithinMs === undefined && isOver()) return;
      if (!engine.isUp) return;
      this.allCrashesAtMs.push(this._clock.nowMs());
      const times = this.crashesAtMs.get(request.digest) ?? [];
      this.crashesAtMs.set(request.digest, [...times, this._clock.nowMs()]);
      return this._crash(engine);
    }
    await this._clock.sleep(firstEventMs);
    if (isOver()) return;
    run.tracked.firstEventAtMs = this._clock.nowMs();
    void run.instance.quarantine.detector.noteFirstEvent(run.tracked);
    await this._clock.sleep(streamMs);
    run.ended.resolve("served");
  }

  /** Completes a run successfully after a time, even if its engine crashes afterwards. */
  private async _complete({ tracked, instance, ended }: EngineRun, afterMs: number): Promise<void> {
    await this._clock.sleep(afterMs / 2);
    tracked.firstEventAtMs = this._clock.nowMs();
    void instance.quarantine.detector.noteFirstEvent(tracked);
    await this._clock.sleep(afterMs / 2);
    ended.resolve("served");
  }

  private _crash(engine: SimulatedEngine): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    const { endpoint } = engine;
    const runs = [...engine.runs];
    engine.runs.clear();
    for (const { instance, tracked, ended } of runs) {
      void instance.quarantine.detector.noteLost(tracked, endpoint);
      ended.resolve("lost");
    }
    this._clock.at(this._clock.nowMs() + delistedAfterMs, () => this._listEngines());
    this._clock.at(this._clock.nowMs() + downMs, () => {
      Object.assign(engine, this._createEngine());
      this._listEngines();
    });
  }

  private _pickEngine(avoidedIds: readonly string[]): SimulatedEngine | undefined {
    const up = this._engines.filter((engine) => engine.isUp);
    const apart = up.filter((engine) => !avoidedIds.includes(engine.endpoint.id));
    const preferred = apart.slice(0, this._options.firstEngines);
    return this._random.pick(preferred.length > 0 ? preferred : up);
  }

  private _createEngine(): SimulatedEngine {
    const id = `i-${++this._started}`;
    const endpoint = new Endpoint(createListed(id, { address: `${id}:1` }));
    return { endpoint, isUp: true, runs: new Set() };
  }

  private _listEngines(): void {
    const up = this._engines.filter((engine) => engine.isUp).map(({ endpoint }) => endpoint.listed);
    this._endpoints.setAll(new Map(up.map((listed) => [listed.id, listed])));
    for (const engine of this._engines)
      engine.endpoint = this._endpoints.get(engine.endpoint.id) ?? engine.endpoint;
  }

  private _createInstance(identity: PeerIdentity): SimulatedInstance {
    const handlers = new Map<string, NoticeHandler>();
    const linkedListeners: ((peer: PeerIdentity) => void)[] = [];
    const quarantine = new RequestQuarantine({
      membership: {
        self: identity,
        getLinked: () => this._getPeers(instance).map((peer) => toMember(peer.identity)),
        notifyAll: (topic, body, isRecipient = () => true) => {
          for (const peer of this._getPeers(instance))
            if (isRecipient(toMember(peer.identity))) this._notify(instance, peer, topic, body);
        },
        onLinked: (listener) => void linkedListeners.push(listener),
        onNotice: (topic, handler) => void handlers.set(topic, handler),
      },
      endpoints: this._endpoints,
      store: new EmptyQuarantineStore(),
      log: new DecisionLog(new SilentLogOutput(), this._clock.nowMs),
      probe: (address) => this._probe(address),
      isReader: () => false,
      getInstanceNames: () => this._instances.map((each) => each.identity.name),
      nowMs: this._clock.nowMs,
      pause: this._clock.sleep,
    });
    const instance: SimulatedInstance = { identity, quarantine, handlers, linkedListeners };
    quarantine.detector.ledger.onQuarantineChanged((digest, entry) => {
      if (entry !== undefined) this.quarantined.add(digest);
    });
    return instance;
  }

  private _getPeers({ identity }: SimulatedInstance): SimulatedInstance[] {
    if (this._partitioned.has(identity.name)) return [];
    const others = this._instances.filter(
      (peer) => peer.identity.name !== identity.name && !this._partitioned.has(peer.identity.name),
    );
    const elsewhere = others.filter((peer) => peer.identity.availabilityZone !== identity.availabilityZone);
    const contacts = pickContacts(
      identity.name,
      elsewhere.map((peer) => toMember(peer.identity)),
    );
    return others.filter(
      (peer) =>
        peer.identity.availabilityZone === identity.availabilityZone || contacts.has(peer.identity.name),
    );
  }

  private _notify(from: SimulatedInstance, to: SimulatedInstance, topic: string, body: unknown): void {
    const bytes = JSON.stringify(body);
    this._clock.at(this._clock.nowMs() + messageMs, () => {
      if (!this._partitioned.has(to.identity.name))
        to.handlers.get(topic)?.(JSON.parse(bytes), from.identity);
    });
  }

  private async _probe(address: string): Promise<"open" | "refused"> {
    await this._clock.sleep(messageMs);
    const engine = this._engines.find((each) => each.endpoint.listed.address === address);
    return engine?.isUp === true ? "open" : "refused";
  }
}
