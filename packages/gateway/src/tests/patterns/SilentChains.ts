/**
 * A zone's instances with running streams, in simulated time and without a network: engines of a chain are lost or turn slow, and what
 * decides is the code that watches, asks and moves streams.
 */
import { setMaxListeners } from "node:events";
import { errors, results, utils } from "@shedtiller/common";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { ConfigurationKeeper } from "../../configuration/ConfigurationKeeper.js";
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import { EndpointSuspicions } from "../../discovery/EndpointSuspicions.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { HttpCaller } from "../../http/HttpCaller.js";
import type { ChainStage, MessageCodec } from "../../http/MessageCodec.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import {
  EngineOrders,
  OrderRefusedError,
  type EngineReport,
  type OrderError,
  type OrderTarget,
} from "../../orders/EngineOrders.js";
import { RetryBudgets } from "../../requests/RetryBudgets.js";
import { StallMonitor } from "../../requests/StallMonitor.js";
import { StreamAttempt } from "../../requests/StreamAttempt.js";
import { StreamProgress } from "../../requests/StreamProgress.js";
import { createConfiguration, createListed, profile as smallProfile } from "../createParts.js";
import { idleReport } from "../FakeEngines.js";
import { createStreamRequest } from "../requests/createStreamRequest.js";
import { SilentSink } from "../SilentSink.js";
import { SimulatedClock } from "./SimulatedClock.js";

/** How a lost engine behaves: its address resets at once, or nothing comes from it any more. */
export type Loss = "resets" | "dark";

/** What a run is made of. */
export interface SilentChainsOptions {
  readonly seed: number;
  readonly instances: number;
  readonly streamsPerInstance: number;
  /** Parts that the model's layers are split into, and engines that hold each. */
  readonly parts: number;
  readonly holders: number;
  /** Time between events, with a spread to either side. */
  readonly pauseMs: number;
  readonly pauseSpreadMs: number;
  /** Time of a question to an engine that answers. */
  readonly answerMs: number;
  /** Time to read a stream's tokens again, for each engine that is new in its chain. */
  readonly readAgainMs: number;
}

/** What users saw of a run. */
export interface SilentChainsResult {
  /** Longest pauses of the streams that passed a lost engine, in ms. */
  readonly lostPausesMs: readonly number[];
  /** Longest pauses of the others. */
  readonly otherPausesMs: readonly number[];
  readonly moves: number;
  /** Streams that were ended to go on as another run. */
  readonly abandoned: number;
  /** Ids of engines that some instance held suspect though they live. */
  readonly wronglySuspected: readonly string[];
  readonly questions: number;
}

const layersPerPart = 2;
const zone = "east";
/** News between instances take this long. */
const newsMs = 2;
const answersNothingMs = 400;
const noRoomStatus = 409;
/** Instances start within this time of each other. */
const startSpreadMs = 300;

interface SimulatedStream {
  readonly attempt: StreamAttempt;
  readonly instance: SimulatedInstance;
  /** Counts chains, so that events of a chain that was left do not come. */
  epoch: number;
  longestPauseMs: number;
  hasPassedLost: boolean;
}

interface SimulatedInstance {
  readonly name: string;
  readonly endpoints: EndpointTable;
  readonly monitor: StallMonitor;
  /** Its own monotonic clock: processes start at different moments, and so look by turns. */
  readonly nowMs: () => number;
  /** Monotonic time until which the process stands still. */
  frozenUntilMs: number;
}

/** One zone in simulated time. */
export class SilentChains {
  readonly clock = new SimulatedClock();
  private readonly _random: utils.RandomSource;
  private readonly _profile: EngineProfile;
  private readonly _listed: ReadonlyMap<string, ListedEndpoint>;
  private readonly _instances: SimulatedInstance[] = [];
  private readonly _streams = new Map<string, SimulatedStream>();
  private readonly _lost = new Map<string, Loss>();
  private readonly _wronglySuspected = new Set<string>();
  private readonly _stop = new AbortController();
  private _slowFactor = 1;
  private _questions = 0;
  private _moves = 0;

  constructor(private readonly _options: SilentChainsOptions) {
    // Every instance waits on the one signal.
    setMaxListeners(0, this._stop.signal);
    this._random = new utils.RandomSource(_options.seed);
    const layerCount = _options.parts * layersPerPart;
    this._profile = { ...smallProfile, layerCount, slots: 1_000, kvBytesPerToken: 1_000 };
    this._listed = this._listEngines();
    for (let index = 0; index < _options.instances; index++)
      this._instances.push(this._createInstance(index));
    for (const instance of this._instances) {
      for (let index = 0; index < _options.streamsPerInstance; index++) this._startStream(instance, index);
    }
  }

  /** Lets all run until a time, in ms. */
  run(endMs: number): Promise<void> {
    return this.clock.run(endMs);
  }

  /** Loses engines of one chain that streams pass, none of them the first. */
  loseEngines(count: number, loss: Loss): string[] {
    const chain = [...this._streams.values()][0]?.attempt.reservation.stages ?? [];
    const ids = chain.slice(1, 1 + count).map((stage) => stage.endpointId);
    for (const id of ids) this._lost.set(id, loss);
    for (const stream of this._streams.values()) stream.hasPassedLost ||= this._isBroken(stream.attempt);
    return ids;
  }

  /** All engines work slower from now on. */
  slowDown(factor: number): void {
    this._slowFactor = factor;
  }

  /** An instance reads and does nothing for a while; what comes meanwhile is there at the end. */
  freeze(index: number, durationMs: number): void {
    const instance = this._instances[index];
    if (instance !== undefined) instance.frozenUntilMs = this.clock.nowMs() + durationMs;
  }

  /** What users saw until now. */
  getResult(): SilentChainsResult {
    const streams = [...this._streams.values()];
    const getPauses = (hasPassedLost: boolean): number[] =>
      streams.filter((stream) => stream.hasPassedLost === hasPassedLost).map((each) => each.longestPauseMs);
    return {
      lostPausesMs: getPauses(true),
      otherPausesMs: getPauses(false),
      moves: this._moves,
      abandoned: streams.filter((stream) => stream.attempt.abort.signal.aborted).length,
      wronglySuspected: [...this._wronglySuspected],
      questions: this._questions,
    };
  }

  stop(): void {
    this._stop.abort();
  }

  private _listEngines(): Map<string, ListedEndpoint> {
    const listed = new Map<string, ListedEndpoint>();
    for (let part = 0; part < this._options.parts; part++) {
      for (let holder = 0; holder < this._options.holders; holder++) {
        const id = `p${part}h${holder}`;
        const layers = [{ start: part * layersPerPart, end: (part + 1) * layersPerPart }];
        listed.set(
          id,
          createListed(id, { layers, slots: 1_000, address: `${id}:1`, availabilityZone: zone }),
        );
      }
    }
    return listed;
  }

  private _createInstance(index: number): SimulatedInstance {
    const { sleep } = this.clock;
    const startedAtMs = -this._random.nextUnit() * startSpreadMs;
    const nowMs = (): number => this.clock.nowMs() - startedAtMs;
    const endpoints = new EndpointTable(nowMs);
    endpoints.setAll(this._listed);
    const keeper = new ConfigurationKeeper();
    const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: this._profile }];
    keeper.accept({ ...createConfiguration(1), services });
    const log = new DecisionLog(new SilentSink(), nowMs);
    const orders = new SimulatedOrders((target, timeoutMs) => this._answer(target, timeoutMs), {
      change: (id, chain) => this._change(id, chain),
    });
    const name = `g${index}`;
    const suspicions = new EndpointSuspicions({
      endpoints,
      orders,
      log,
      tellPeers: (endpointId) => this._tellSuspicion(name, endpointId),
      tellLayers: () => undefined,
      count: () => undefined,
      nowMs,
    });
    const chooser = new ChainChooser(nowMs, () => this._random.nextUnit());
    const context = {
      keeper,
      endpoints,
      caller: new HttpCaller(),
      codec: {} as MessageCodec,
      budgets: new RetryBudgets({ ratio: 1, slack: 10, windowMs: 10_000 }),
      log,
      availabilityZone: zone,
      suspicions,
      tellFull: () => undefined,
    };
    const monitor = new StallMonitor(context, chooser, orders, nowMs, (durationMs, signal) =>
      this._sleepUnfrozen(name, durationMs, signal, sleep),
    );
    endpoints.onChanged((endpoint, event) => {
      if (event === "suspected" && !this._lost.has(endpoint.id)) this._wronglySuspected.add(endpoint.id);
    });
    void monitor.run(this._stop.signal);
    return { name, endpoints, monitor, nowMs, frozenUntilMs: 0 };
  }

  /** Timers of a process that stands still end late. */
  private async _sleepUnfrozen(
    name: string,
    durationMs: number,
    signal: AbortSignal | undefined,
    sleep: SimulatedClock["sleep"],
  ): Promise<void> {
    await sleep(durationMs, signal);
    const instance = this._instances.find((each) => each.name === name);
    const leftMs = (instance?.frozenUntilMs ?? 0) - this.clock.nowMs();
    if (leftMs > 0) await sleep(leftMs, signal);
  }

  private _startStream(instance: SimulatedInstance, index: number): void {
    const id = `${instance.name}s${index}`;
    const stages = this._pickChain();
    const reservation = new ChainReservation(instance.endpoints, stages, 4);
    const progress = new StreamProgress(undefined);
    const attempt = new StreamAttempt(createStreamRequest(id), "engines", reservation, progress);
    const nowMs = instance.nowMs();
    attempt.sentAtMs = nowMs;
    attempt.lastSignAtMs = nowMs;
    const stream = { attempt, instance, epoch: 0, longestPauseMs: 0, hasPassedLost: false };
    this._streams.set(id, stream);
    instance.monitor.add(attempt);
    this._scheduleEvent(stream, this._random.nextUnit() * this._options.pauseMs);
  }

  /** Chains as a zone has them: a holder of each part by chance. */
  private _pickChain(): ChainStage[] {
    return Array.from({ length: this._options.parts }, (_value, part) => {
      const endpointId = `p${part}h${Math.floor(this._random.nextUnit() * this._options.holders)}`;
      const start = part * layersPerPart;
      return { endpointId, address: `${endpointId}:1`, start, end: start + layersPerPart };
    });
  }

  private _scheduleEvent(stream: SimulatedStream, delayMs: number): void {
    const { epoch } = stream;
    this.clock.at(this.clock.nowMs() + delayMs, () => {
      if (stream.epoch === epoch) this._deliver(stream);
    });
  }

  private _deliver(stream: SimulatedStream): void {
    const { attempt, instance } = stream;
    if (attempt.abort.signal.aborted || this._isBroken(attempt)) return;
    const nowMs = this.clock.nowMs();
    // What comes to a process that stands still is read once it goes on.
    const readAtMs = Math.max(nowMs, instance.frozenUntilMs);
    this.clock.at(readAtMs, () => this._read(stream));
    const { pauseMs, pauseSpreadMs } = this._options;
    const spreadMs = (this._random.nextUnit() * 2 - 1) * pauseSpreadMs;
    this._scheduleEvent(stream, (pauseMs + spreadMs) * this._slowFactor);
  }

  private _read(stream: SimulatedStream): void {
    const { attempt, instance } = stream;
    const nowMs = instance.nowMs();
    const beforeMs = attempt.lastEventAtMs;
    attempt.noteSign(nowMs);
    attempt.noteEvent(nowMs);
    if (beforeMs > 0) stream.longestPauseMs = Math.max(stream.longestPauseMs, nowMs - beforeMs);
  }

  private _isBroken(attempt: StreamAttempt): boolean {
    return attempt.reservation.stages.some((stage) => this._lost.has(stage.endpointId));
  }

  private async _answer(
    target: OrderTarget,
    timeoutMs: number,
  ): Promise<results.Result<EngineReport, OrderError>> {
    this._questions += 1;
    const loss = this._lost.get(target.id);
    if (loss === "dark") {
      await this.clock.sleep(Math.min(timeoutMs, answersNothingMs));
      return results.Err(new errors.NotReachedError(target.address));
    }
    await this.clock.sleep(this._options.answerMs);
    return loss === undefined
      ? results.Ok(idleReport)
      : results.Err(new errors.NotReachedError(target.address));
  }

  private async _change(id: string, chain: readonly ChainStage[]): Promise<results.Result<void, OrderError>> {
    await this.clock.sleep(this._options.answerMs);
    const stream = this._streams.get(id);
    const lost = chain.find((stage) => this._lost.has(stage.endpointId));
    if (stream === undefined || lost !== undefined)
      return results.Err(new OrderRefusedError(id, noRoomStatus, lost?.address));
    this._moves += 1;
    stream.epoch += 1;
    this._scheduleEvent(stream, this._options.readAgainMs);
    return results.Ok(undefined);
  }

  private _tellSuspicion(teller: string, endpointId: string): void {
    this.clock.at(this.clock.nowMs() + newsMs, () => {
      for (const instance of this._instances)
        if (instance.name !== teller) instance.endpoints.suspect(endpointId);
    });
  }
}

/** Orders whose answers the simulation gives. */
class SimulatedOrders extends EngineOrders {
  constructor(
    private readonly _answer: (
      target: OrderTarget,
      timeoutMs: number,
    ) => Promise<results.Result<EngineReport, OrderError>>,
    private readonly _orders: {
      readonly change: (
        id: string,
        chain: readonly ChainStage[],
      ) => Promise<results.Result<void, OrderError>>;
    },
  ) {
    super();
  }

  override getReport(
    target: OrderTarget,
    timeoutMs: number,
  ): Promise<results.Result<EngineReport, OrderError>> {
    return this._answer(target, timeoutMs);
  }

  override placeLayers(): Promise<results.Result<void, OrderError>> {
    return Promise.resolve(results.Ok(undefined));
  }

  override changeChain(
    _target: OrderTarget,
    requestId: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>> {
    return this._orders.change(requestId, chain);
  }
}
