/** A crash detector with simulated time, and the requests of its tests. */
import { CrashDetector } from "../../crashes/CrashDetector.js";
import type { TrackedRequest, TrackedRun } from "../../crashes/TrackedRun.js";
import { digestRequest, isPartTrait, type CrashReportsMessage, type ProbeResult } from "@shedtiller/crashes";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { SimulatedClock } from "../patterns/SimulatedClock.js";

/** Creates a request with traits. */
export function createRequest(...traits: readonly string[]): TrackedRequest {
  return { traits, partTraits: traits.filter(isPartTrait) };
}

export const ids = ["i-1", "i-2", "i-3", "i-4"];

/** A detector of one instance with four endpoints, all of which refuse connections by default. */
export class CrashDetectorFixture {
  readonly clock = new SimulatedClock();
  readonly endpoints = new EndpointTable(this.clock.nowMs);
  readonly sent: CrashReportsMessage[] = [];
  probeResult: ProbeResult = "refused";
  probes = 0;
  trialRank = 0;
  readonly rankedTraits: string[] = [];
  readonly crashed: string[] = [];
  readonly detector = new CrashDetector({
    endpoints: this.endpoints,
    log: new DecisionLog(new SilentLogOutput(), this.clock.nowMs),
    probe: () => {
      this.probes += 1;
      return Promise.resolve(this.probeResult);
    },
    broadcast: (reports) => this.sent.push(reports),
    onCrash: ({ id }) => this.crashed.push(id),
    getTrialRank: (trait) => {
      this.rankedTraits.push(trait);
      return this.trialRank;
    },
    nowMs: this.clock.nowMs,
    pause: this.clock.sleep,
  });

  constructor(changes: Partial<ListedEndpoint> = {}) {
    this.list(changes);
  }

  list(changes: Partial<ListedEndpoint>, listed: readonly string[] = ids): void {
    this.endpoints.setAll(new Map(listed.map((id) => [id, createListed(id, changes)])));
  }

  get(id: string): Endpoint {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) throw new RangeError(id);
    return endpoint;
  }

  createRun(endpointId: string, changes: Partial<TrackedRun> = {}): TrackedRun {
    return {
      request: createRequest("a"),
      endpointId,
      hasBegun: true,
      firstEventAtMs: undefined,
      ...changes,
    };
  }

  /** Completes a run. */
  complete(endpointId: string, request: typeof harmlessRequest): void {
    const run = this.createRun(endpointId, { request });
    this.detector.noteCompleted("streaming", request, run, this.get(endpointId));
  }

  /** Loses the connections of runs in their initial phase, one after the other, far enough apart for separate crashes. */
  async loseInTurn(endpointIds: readonly string[], changes: Partial<TrackedRun> = {}): Promise<void> {
    for (const id of endpointIds) {
      await this.lose(id, changes);
      await this.clock.run(this.clock.nowMs() + 150);
    }
  }

  /** Loses the connection of a run in its initial phase. */
  async lose(endpointId: string, changes: Partial<TrackedRun> = {}): Promise<void> {
    await this.detector.noteLost(this.createRun(endpointId, changes), this.get(endpointId));
  }
}

export const identity = { method: "POST", path: "/a/x", accountName: "farm", body: Buffer.from("{}") };
export const harmlessDigest = digestRequest(identity);
export const harmlessRequest = { ...createRequest(harmlessDigest), identity };
