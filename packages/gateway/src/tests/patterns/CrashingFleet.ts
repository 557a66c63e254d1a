/**
 * Engines that crash, by requests that crash them and for other reasons, with the real decision code of all instances, in simulated time
 * and without a network. An engine takes all its runs with it. A run waits, begins (its head), gives its first event, and goes on for
 * seconds; one that crashes its engine does so at its beginning.
 */
import { results, utils } from "@shedtiller/common";
import { pickContacts, type NoticeHandler, type PeerIdentity } from "@shedtiller/membership";
import { RequestQuarantine } from "../../crashes/RequestQuarantine.js";
import { QuarantineStore, type StoredQuarantine } from "../../crashes/QuarantineStore.js";
import type { TrackedRun } from "../../crashes/CrashDetector.js";
import { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { toMember } from "../peers/toMember.js";
import { SilentSink } from "../SilentSink.js";
import type { SimulatedClock } from "./SimulatedClock.js";

const zones = ["east", "west", "harbor"];
const messageMs = 2;
/** As the played day shows them: an engine is back after 4 s, and a run dies up to 100 ms after its beginning. */
const downMs = 4_000;
const entryGoesAfterMs = 3_600;
const longestWaitMs = 300;
const shortestCrashMs = 15;
const longestCrashMs = 95;
const firstEventMs = 60;
const streamMs = 2_500;
const maxAttempts = 3;

/** What a fleet is made of. */
export interface CrashingFleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly seed: number;
}

/** A request, as its callers repeat it. */
export interface SentRequest {
  readonly digest: string;
  readonly isCrashing: boolean;
  /** Longest time after its beginning at which its run ends in good order, which may be before its engine crashes. */
  readonly endsWithinMs?: number;
}

export type SentEnd = "served" | "held-back" | "lost";

interface EngineRun {
  readonly watched: { -readonly [K in keyof TrackedRun]: TrackedRun[K] };
  readonly instance: SimulatedInstance;
  readonly lost: utils.Deferred<"served" | "lost">;
}

interface SimulatedEngine {
  endpoint: Endpoint;
  isUp: boolean;
  readonly runs: Set<EngineRun>;
}

interface SimulatedInstance {
  readonly identity: PeerIdentity;
  readonly guard: RequestQuarantine;
  readonly handlers: Map<string, NoticeHandler>;
  readonly linkedListeners: ((peer: PeerIdentity) => void)[];
}

class NoStore extends QuarantineStore {
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

/** One fleet a simulation. */
export class CrashingFleet {
  /** Times at which engines crashed by the run of a request, by its digest. */
  readonly crashesAtMs = new Map<string, number[]>();
  /** Times at which engines got a run of a request that crashes them. */
  readonly arrivalsAtMs: number[] = [];
  /** Digests that were ever held back at some instance. */
  readonly held = new Set<string>();
  /** Instances that others reach. */
  private readonly _cut = new Set<string>();
  private readonly _random: utils.RandomSource;
  private readonly _engines: SimulatedEngine[] = [];
  private readonly _instances: SimulatedInstance[] = [];
  private readonly _endpoints: EndpointTable;
  private _started = 0;

  constructor(
    private readonly _clock: SimulatedClock,
    options: CrashingFleetOptions,
  ) {
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

  get upEngines(): number {
    return this._engines.filter((engine) => engine.isUp).length;
  }

  /** Cuts an instance off from all others, or links it again. */
  setCut(index: number, isCut: boolean): void {
    const instance = this._instances[index];
    if (instance === undefined) return;
    const { name } = instance.identity;
    if (isCut) return void this._cut.add(name);
    this._cut.delete(name);
    for (const peer of this._getPeers(instance)) {
      for (const listener of peer.linkedListeners) listener(instance.identity);
      for (const listener of instance.linkedListeners) listener(peer.identity);
    }
  }

  /** Whether an instance holds a request back, or will but for one trial. */
  isHeldAt(index: number, digest: string): boolean {
    const standing = this._instances[index]?.guard.detector.ledger.getStanding(digest);
    return standing === "held" || standing === "due-for-trial";
  }

  /** Sends a request to an instance, which tries it as streams are tried. */
  async send(
    request: SentRequest,
    index = this._random.nextInteger(this._instances.length),
  ): Promise<SentEnd> {
    const instance = this._instances[index];
    if (instance === undefined) return "lost";
    const { detector: watch } = instance.guard;
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      await watch.waitForTurn(request);
      if (watch.getQuarantineMs(request) !== undefined) return "held-back";
      const engine = this._pickEngine(watch.getAvoidedEndpointIds(request));
      if (engine === undefined) return "lost";
      if ((await this._run(request, instance, engine)) === "served") return "served";
    }
    return "lost";
  }

  /** Engines end for a reason that no request has. */
  crashByChance(count: number): void {
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
    const watched = {
      request: { digest: request.digest },
      endpointId: engine.endpoint.id,
      hasBegun: false,
      firstEventAtMs: undefined,
    };
    const run: EngineRun = { watched, instance, lost: new utils.Deferred() };
    const { detector: watch } = instance.guard;
    if (request.isCrashing) this.arrivalsAtMs.push(this._clock.nowMs());
    watch.begin(watched);
    engine.runs.add(run);
    void this._live(run, engine, request);
    const end = await run.lost.promise;
    engine.runs.delete(run);
    watch.end(watched);
    const asked = { method: "POST", path: request.digest, accountName: undefined, body: Buffer.alloc(0) };
    if (end === "served")
      watch.noteCompleted("streaming", { digest: request.digest, identity: asked }, watched, engine.endpoint);
    return end;
  }

  private async _live(run: EngineRun, engine: SimulatedEngine, request: SentRequest): Promise<void> {
    const isOver = (): boolean => !engine.runs.has(run);
    await this._clock.sleep(this._random.nextUnit() * longestWaitMs);
    if (isOver()) return;
    run.watched.hasBegun = true;
    if (request.isCrashing) {
      if (request.endsWithinMs !== undefined)
        void this._endWell(run, this._random.nextUnit() * request.endsWithinMs);
      await this._clock.sleep(shortestCrashMs + this._random.nextUnit() * (longestCrashMs - shortestCrashMs));
      if (request.endsWithinMs === undefined && isOver()) return;
      if (!engine.isUp) return;
      const times = this.crashesAtMs.get(request.digest) ?? [];
      this.crashesAtMs.set(request.digest, [...times, this._clock.nowMs()]);
      return this._crash(engine);
    }
    await this._clock.sleep(firstEventMs);
    if (isOver()) return;
    run.watched.firstEventAtMs = this._clock.nowMs();
    await this._clock.sleep(streamMs);
    run.lost.resolve("served");
  }

  /** A run that gives its events and ends, whatever its engine does then. */
  private async _endWell({ watched, lost }: EngineRun, afterMs: number): Promise<void> {
    await this._clock.sleep(afterMs / 2);
    watched.firstEventAtMs = this._clock.nowMs();
    await this._clock.sleep(afterMs / 2);
    lost.resolve("served");
  }

  private _crash(engine: SimulatedEngine): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    const { endpoint } = engine;
    const runs = [...engine.runs];
    engine.runs.clear();
    for (const { instance, watched, lost } of runs) {
      void instance.guard.detector.noteLost(watched, endpoint);
      lost.resolve("lost");
    }
    this._clock.at(this._clock.nowMs() + entryGoesAfterMs, () => this._listEngines());
    this._clock.at(this._clock.nowMs() + downMs, () => {
      Object.assign(engine, this._createEngine());
      this._listEngines();
    });
  }

  private _pickEngine(shunned: readonly string[]): SimulatedEngine | undefined {
    const up = this._engines.filter((engine) => engine.isUp);
    const apart = up.filter((engine) => !shunned.includes(engine.endpoint.id));
    return this._random.pick(apart.length > 0 ? apart : up);
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
    const guard = new RequestQuarantine({
      membership: {
        self: identity,
        getLinked: () => this._getPeers(instance).map((peer) => toMember(peer.identity)),
        notifyAll: (topic, body, wants = () => true) => {
          for (const peer of this._getPeers(instance))
            if (wants(toMember(peer.identity))) this._notify(instance, peer, topic, body);
        },
        onLinked: (listener) => void linkedListeners.push(listener),
        onNotice: (topic, handler) => void handlers.set(topic, handler),
      },
      endpoints: this._endpoints,
      store: new NoStore(),
      log: new DecisionLog(new SilentSink(), this._clock.nowMs),
      probe: (address) => this._probe(address),
      isReader: () => false,
      getInstanceNames: () => this._instances.map((each) => each.identity.name),
      nowMs: this._clock.nowMs,
      pause: this._clock.sleep,
    });
    const instance: SimulatedInstance = { identity, guard, handlers, linkedListeners };
    guard.detector.ledger.onQuarantineChanged((digest, hold) => {
      if (hold !== undefined) this.held.add(digest);
    });
    return instance;
  }

  private _getPeers({ identity }: SimulatedInstance): SimulatedInstance[] {
    if (this._cut.has(identity.name)) return [];
    const others = this._instances.filter(
      (peer) => peer.identity.name !== identity.name && !this._cut.has(peer.identity.name),
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
      if (!this._cut.has(to.identity.name)) to.handlers.get(topic)?.(JSON.parse(bytes), from.identity);
    });
  }

  private async _probe(address: string): Promise<"open" | "refused"> {
    await this._clock.sleep(messageMs);
    const engine = this._engines.find((each) => each.endpoint.listed.address === address);
    return engine?.isUp === true ? "open" : "refused";
  }
}
