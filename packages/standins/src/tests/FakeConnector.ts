/** Connector to simulated engines without sockets, which injects faults into planned calls. */
import { errors, results, utils } from "@shedtiller/common";
import * as pipeline from "@shedtiller/pipeline";
import { EndpointDirectory, type EngineReport, type LayerRange } from "@shedtiller/routing";
import { ExecutionLog } from "../engine/ExecutionLog.js";
import { EngineSimulator } from "../engine/EngineSimulator.js";

/** Fault that is injected into a call. */
export type CallFault = "dies" | "hangs" | "reply-lost" | "reply-doubled" | "reply-late" | "refuses";

/** Fault that is injected into the `atCall`-th call of an endpoint. */
export interface PlannedFault {
  readonly endpoint: string;
  readonly atCall: number;
  readonly fault: CallFault;
}

const downMs = 60;
const replyDelayMs = 40;
const reportIntervalMs = 20;
const speed = { stepMs: 0.5, prefillMsPerToken: 0.02, slots: 8 };

type ApplyResult = results.Result<pipeline.AppliedFrame, pipeline.EngineError>;

/** Link to one simulated engine. The connector determines the faults. */
class FakeLink extends pipeline.EngineLink {
  isOpen = true;
  private readonly _pendingCalls = new Map<string, utils.Deferred<ApplyResult>>();

  constructor(
    readonly endpoint: string,
    private readonly _simulator: EngineSimulator,
    private readonly _connector: FakeConnector,
  ) {
    super();
  }

  override apply(frame: pipeline.ApplyFrame): Promise<ApplyResult> {
    const result = new utils.Deferred<ApplyResult>();
    this._pendingCalls.set(getCallId(frame), result);
    const fault = this._connector.takeFault(this.endpoint);
    if (fault === "dies") this._connector.breakEndpoint(this.endpoint, true);
    if (fault === "hangs") this._connector.breakEndpoint(this.endpoint, false);
    if (this._connector.isSilent(this.endpoint) || !this.isOpen) return result.promise;
    if (fault === "refuses") {
      result.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "full")));
      return result.promise;
    }
    const reason = this._simulator.apply(frame, "m", (applied) => this._reply(applied, fault));
    if (reason !== undefined)
      result.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, reason)));
    return result.promise;
  }

  override async probe(
    key: pipeline.StageKey,
  ): Promise<results.Result<pipeline.StageStatusFrame, pipeline.EngineError>> {
    if (this._connector.isSilent(this.endpoint)) return new Promise(() => undefined);
    if (!this.isOpen) return results.Err(new errors.ConnectionLostError(this.endpoint));
    return results.Ok(this._simulator.getStageStatus(key));
  }

  override exportCache(): Promise<results.Result<pipeline.ExportedFrame, pipeline.EngineError>> {
    return Promise.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "unknown-stream")));
  }

  override importCache(): Promise<results.Result<pipeline.ImportedFrame, pipeline.EngineError>> {
    return Promise.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "full")));
  }

  override release(key: pipeline.StageKey): void {
    this._simulator.release(key);
  }

  close(): void {
    this.isOpen = false;
    for (const result of this._pendingCalls.values())
      result.resolve(results.Err(new errors.ConnectionLostError(this.endpoint)));
  }

  private _reply(applied: pipeline.AppliedFrame, fault: CallFault | undefined): void {
    if (!this.isOpen || fault === "reply-lost" || this._connector.isSilent(this.endpoint)) return;
    const send = (): void => this._pendingCalls.get(getCallId(applied))?.resolve(results.Ok(applied));
    if (fault === "reply-late") setTimeout(send, replyDelayMs);
    else send();
    if (fault === "reply-doubled") send();
  }
}

/** Creates one simulated engine for each entry of `ranges`, and injects the planned faults into their calls. */
export class FakeConnector extends pipeline.EngineConnector {
  readonly executionLog = new ExecutionLog();
  readonly directory = new EndpointDirectory();
  private readonly _simulators = new Map<string, EngineSimulator>();
  private readonly _links = new Map<string, FakeLink>();
  private readonly _callCounts = new Map<string, number>();
  private readonly _silentEndpoints = new Set<string>();
  private readonly _downEndpoints = new Set<string>();

  constructor(
    ranges: Readonly<Record<string, LayerRange>>,
    private readonly _faults: readonly PlannedFault[],
  ) {
    super();
    const instances = Object.keys(ranges).map((name) => {
      return { name, role: "engine" as const, availabilityZone: "z", address: name, state: "live" as const };
    });
    this.directory.setListed(instances);
    for (const [name, layers] of Object.entries(ranges)) {
      this._simulators.set(name, new EngineSimulator(name, { ...speed }, () => 8, this.executionLog));
      this.directory.setReport(createReport(name, layers), true);
    }
    // Simulates the periodic reports by which an instance finds endpoints that answer again.
    setInterval(() => this._markReachable(), reportIntervalMs).unref();
  }

  private _markReachable(): void {
    for (const name of this._simulators.keys()) {
      if (!this._downEndpoints.has(name) && !this._silentEndpoints.has(name))
        this.directory.markReachable(name);
    }
  }

  override async getLink(
    endpoint: string,
  ): Promise<results.Result<pipeline.EngineLink, errors.NotReachedError>> {
    if (this._downEndpoints.has(endpoint)) return results.Err(new errors.NotReachedError(endpoint));
    const existing = this._links.get(endpoint);
    if (existing?.isOpen === true) return results.Ok(existing);
    const link = new FakeLink(endpoint, this._simulators.get(endpoint) as EngineSimulator, this);
    this._links.set(endpoint, link);
    return results.Ok(link);
  }

  /** Whether an endpoint has crashed and not restarted yet. */
  isDown(endpoint: string): boolean {
    return this._downEndpoints.has(endpoint);
  }

  isSilent(endpoint: string): boolean {
    return this._silentEndpoints.has(endpoint);
  }

  /** Counts a call of an endpoint, and returns the fault that is planned for the call. */
  takeFault(endpoint: string): CallFault | undefined {
    const call = (this._callCounts.get(endpoint) ?? 0) + 1;
    this._callCounts.set(endpoint, call);
    return this._faults.find((fault) => fault.endpoint === endpoint && fault.atCall === call)?.fault;
  }

  /** Crashes an endpoint or makes it unresponsive for 60 ms. A crash discards its streams. */
  breakEndpoint(endpoint: string, isCrash: boolean): void {
    const broken = isCrash ? this._downEndpoints : this._silentEndpoints;
    broken.add(endpoint);
    if (isCrash) {
      this._simulators.get(endpoint)?.clear();
      this._links.get(endpoint)?.close();
      this.directory.markUnreachable(endpoint);
    }
    setTimeout(() => broken.delete(endpoint), downMs);
  }
}

function createReport(name: string, layers: LayerRange): EngineReport {
  return {
    name,
    accelerator: "fake",
    memoryLayers: 8,
    model: "m",
    version: "1",
    layers,
    stepMs: speed.stepMs,
    prefillMsPerToken: speed.prefillMsPerToken,
    slots: speed.slots,
    activeStreams: 0,
    checksOrders: true,
    fencingToken: 0,
    state: "live",
  };
}

function getCallId(frame: pipeline.StageKey & { position: number }): string {
  return `${frame.requestId}|${frame.attempt}|${frame.firstLayer}|${frame.position}`;
}
