/** An instance with streams at chains of engines, without a network and in simulated time. */
import { EventEmitter } from "node:events";
import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import { ConcurrentRestarts } from "../../../chains/ConcurrentRestarts.js";
import { ChainChooser } from "../../../chains/ChainChooser.js";
import { ChainReservation } from "../../../chains/ChainReservation.js";
import { ActiveConfiguration } from "../../../configuration/ActiveConfiguration.js";
import { CrashDetector } from "../../../crashes/CrashDetector.js";
import type { Route } from "../../../configuration/gatewayConfiguration.js";
import { EndpointTable } from "../../../discovery/EndpointTable.js";
import { FailureDetector } from "../../../discovery/FailureDetector.js";
import { LivenessCheck } from "../../../discovery/LivenessCheck.js";
import type { SuspicionEvidence } from "../../../discovery/SuspicionEvidence.js";
import { GatewayMetrics } from "../../../GatewayMetrics.js";
import { HttpClient } from "../../../http/HttpClient.js";
import { EndpointPaths } from "../../../paths/EndpointPaths.js";
import type { ChainStage, MessageCodec } from "../../../http/MessageCodec.js";
import { DecisionLog } from "../../../logs/DecisionLog.js";
import { CallerRequest, type CallerPresence } from "../../../requests/CallerRequest.js";
import { EarlyMoves } from "../../../requests/moves/EarlyMoves.js";
import type { ForwardContext } from "../../../requests/RequestForwarder.js";
import { RetryBudgets } from "../../../requests/RetryBudgets.js";
import { StallMonitor } from "../../../requests/StallMonitor.js";
import { StreamAttempt } from "../../../requests/StreamAttempt.js";
import { StreamProgress } from "../../../requests/StreamProgress.js";
import { createPermitDependencies } from "../../createPermitDependencies.js";
import { FakeEngines } from "../../FakeEngines.js";
import { SilentLogOutput } from "../../SilentLogOutput.js";
import { createConfiguration, createListed, createRoute, profile } from "../../testData.js";

const layersPerEngine = 2;
/** Engines of one copy of the model. */
const chainLength = 6;
const copies = ["a", "b", "c"];
/** Pauses between the events of a stream that runs. */
export const usualPauseMs = 50;

/** Options of {@link EarlyMoveFixture}. */
export interface EarlyMoveFixtureOptions {
  readonly isOn?: boolean;
  readonly drainMs?: number;
  /** Target pause of the route; 0 if it has none. */
  readonly targetPauseMs?: number;
}

/**
 * Runs streams at three copies of a model. The engines of a copy are named by the letter of the copy and by their position, so that "b3"
 * has the same layers as "a3".
 */
export class EarlyMoveFixture {
  readonly clock = { nowMs: 10_000 };
  readonly endpoints = new EndpointTable(() => this.clock.nowMs);
  readonly orders = new FakeEngines();
  readonly metrics = new GatewayMetrics();
  readonly earlyMoves: EarlyMoves;
  /** Suspicions that were broadcast, as `id evidence`. */
  readonly broadcasts: string[] = [];
  readonly monitor: StallMonitor;
  /** What is known of the callers of all streams. */
  readonly presence = { isCallerInDoubt: false, whenCallerCertain: () => Promise.resolve() };
  private readonly _targetPauseMs: number;
  private readonly _random = new utils.RandomSource(7);
  private readonly _log = new DecisionLog(new SilentLogOutput(), () => 0);

  constructor({ isOn = true, drainMs, targetPauseMs = 250 }: EarlyMoveFixtureOptions = {}) {
    this._targetPauseMs = targetPauseMs;
    this.earlyMoves = new EarlyMoves(this.metrics, drainMs, () => this.clock.nowMs);
    this.endpoints.setAll(new Map(copies.flatMap((copy) => this._createCopy(copy))));
    const random = (): number => this._random.nextUnit();
    const nowMs = (): number => this.clock.nowMs;
    const chooser = new ChainChooser(nowMs, random);
    this.monitor = new StallMonitor(this._createContext(isOn), chooser, this.orders, nowMs, random);
  }

  /** Starts a stream at the engines of a copy, which has had its last event now. */
  start(requestId: string, copy = "a", isResumable = true, answerTokens = 2): StreamAttempt {
    const stages = Array.from({ length: chainLength }, (_, index) => toStage(copy, index));
    const reservation = new ChainReservation(this.endpoints, stages, 2 + answerTokens);
    const route = createRoute({ kind: "streaming", isResumable, targetPauseMs: this._targetPauseMs });
    const request = createRequest(requestId, route, answerTokens, this.presence);
    const attempt = new StreamAttempt(request, "engines", reservation, new StreamProgress(undefined));
    attempt.firstEventMs = usualPauseMs;
    attempt.lastActivityAtMs = this.clock.nowMs;
    this.monitor.add(attempt);
    return attempt;
  }

  /** Lets the instance measure the usual pauses. */
  measurePauses(): void {
    for (let count = 0; count < 32; count++) this.earlyMoves.pauses.add("engines", usualPauseMs);
  }

  /** Lets time pass in which only the given streams get events. */
  pass(durationMs: number, running: readonly StreamAttempt[] = []): void {
    this.clock.nowMs += durationMs;
    for (const attempt of running) attempt.lastActivityAtMs = this.clock.nowMs;
  }

  /** Checks until each engine of a chain can have been asked, two at a time. */
  async askAll(): Promise<void> {
    for (let checks = 0; checks < chainLength / 2; checks++) await this.monitor.check();
  }

  /** Ids of the engines of an attempt. */
  getEngines(attempt: StreamAttempt): string[] {
    return attempt.reservation.stages.map((stage) => stage.endpointId);
  }

  private _createCopy(copy: string): [string, ReturnType<typeof createListed>][] {
    return Array.from({ length: chainLength }, (_, index) => {
      const { endpointId, address, start, end } = toStage(copy, index);
      return [endpointId, createListed(endpointId, { address, layers: [{ start, end }] })];
    });
  }

  private _createContext(isOn: boolean): ForwardContext {
    const { endpoints, orders, _log: log } = this;
    const nowMs = (): number => this.clock.nowMs;
    const activeConfiguration = new ActiveConfiguration();
    const engine = { ...profile, layerCount: chainLength * layersPerEngine };
    const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine }];
    activeConfiguration.accept({ ...createConfiguration(1), services });
    return {
      activeConfiguration,
      endpoints,
      httpClient: new HttpClient(),
      paths: new EndpointPaths({ endpoints, log }),
      codec: {} as MessageCodec,
      budgets: new RetryBudgets({ ratio: 1, slack: 10, windowMs: 10_000 }),
      log,
      availabilityZone: "east",
      failureDetector: new FailureDetector({
        endpoints,
        orders,
        liveness: new LivenessCheck({ orders, probe: () => Promise.resolve("open"), isEngine: () => true }),
        log,
        broadcastSuspicion: (id: string, evidence: SuspicionEvidence) =>
          this.broadcasts.push(`${id} ${evidence}`),
        broadcastLayers: () => undefined,
        count: () => undefined,
        nowMs,
      }),
      crashes: new CrashDetector({
        endpoints,
        log,
        probe: () => Promise.resolve("open"),
        broadcast: () => undefined,
        getTrialRank: () => 0,
      }),
      ...createPermitDependencies(endpoints),
      statements: { noteAnswer: () => undefined },
      restarts: new ConcurrentRestarts(() => 1),
      controls: { gates: [], flows: undefined, earlyMoves: isOn ? this.earlyMoves : undefined },
      broadcastFull: () => undefined,
    };
  }
}

function toStage(copy: string, index: number): ChainStage {
  const start = index * layersPerEngine;
  return { endpointId: `${copy}${index}`, address: `${copy}${index}:1`, start, end: start + layersPerEngine };
}

function createRequest(
  requestId: string,
  route: Route,
  answerTokens: number,
  presence: CallerPresence,
): CallerRequest {
  return new CallerRequest({
    message: new EventEmitter() as http.IncomingMessage,
    response: new EventEmitter() as http.ServerResponse,
    fields: {
      requestId,
      promptTokens: 2,
      maxAnswerTokens: 2,
      deadlineMs: undefined,
      apiKey: undefined,
      answerTokensHint: answerTokens,
      promptPartIds: [],
      lastEventId: undefined,
    },
    route,
    account: undefined,
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
    codec: {} as MessageCodec,
    endsConnection: () => false,
    presence,
  });
}
