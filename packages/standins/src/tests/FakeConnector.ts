/** Links to engine models without sockets, with faults at chosen calls. */
import { errors, results, utils } from "@shedtiller/common";
import * as pipeline from "@shedtiller/pipeline";
import { EndpointDirectory, type EngineReport, type LayerRange } from "@shedtiller/routing";
import { ExecutionLog } from "../engine/ExecutionLog.js";
import { EngineSimulator } from "../engine/EngineSimulator.js";

/** What happens at a call. */
export type CallFault = "dies" | "hangs" | "reply-lost" | "reply-doubled" | "reply-late" | "refuses";

/** One fault: at the `atCall`-th call of an endpoint. */
export interface PlannedFault {
  readonly endpoint: string;
  readonly atCall: number;
  readonly fault: CallFault;
}

const downMs = 60;
const lateMs = 40;
const feedMs = 20;
const speed = { stepMs: 0.5, prefillMsPerToken: 0.02, slots: 8 };

type Applied = results.Result<pipeline.AppliedFrame, pipeline.EngineError>;

/** A fake link; its endpoint's faults come from the connector. */
class FakeLink extends pipeline.EngineLink {
  isOpen = true;
  private readonly _waiting = new Map<string, utils.Deferred<Applied>>();

  constructor(
    readonly endpoint: string,
    private readonly _model: EngineSimulator,
    private readonly _connector: FakeConnector,
  ) {
    super();
  }

  override apply(frame: pipeline.ApplyFrame): Promise<Applied> {
    const done = new utils.Deferred<Applied>();
    this._waiting.set(getCallId(frame), done);
    const fault = this._connector.takeFault(this.endpoint);
    if (fault === "dies") this._connector.breakEndpoint(this.endpoint, true);
    if (fault === "hangs") this._connector.breakEndpoint(this.endpoint, false);
    if (this._connector.isSilent(this.endpoint) || !this.isOpen) return done.promise;
    if (fault === "refuses") {
      done.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "full")));
      return done.promise;
    }
    const reason = this._model.apply(frame, "m", (applied) => this._reply(applied, fault));
    if (reason !== undefined)
      done.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, reason)));
    return done.promise;
  }

  override async probe(
    key: pipeline.StageKey,
  ): Promise<results.Result<pipeline.StageStatusFrame, pipeline.EngineError>> {
    if (this._connector.isSilent(this.endpoint)) return new Promise(() => undefined);
    if (!this.isOpen) return results.Err(new errors.ConnectionLostError(this.endpoint));
    return results.Ok(this._model.getStageStatus(key));
  }

  override exportCache(): Promise<results.Result<pipeline.ExportedFrame, pipeline.EngineError>> {
    return Promise.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "unknown-stream")));
  }

  override importCache(): Promise<results.Result<pipeline.ImportedFrame, pipeline.EngineError>> {
    return Promise.resolve(results.Err(new pipeline.EngineRefusedError(this.endpoint, "full")));
  }

  override release(key: pipeline.StageKey): void {
    this._model.release(key);
  }

  close(): void {
    this.isOpen = false;
    for (const done of this._waiting.values())
      done.resolve(results.Err(new errors.ConnectionLostError(this.endpoint)));
  }

  private _reply(applied: pipeline.AppliedFrame, fault: CallFault | undefined): void {
    if (!this.isOpen || fault === "reply-lost" || this._connector.isSilent(this.endpoint)) return;
    const send = (): void => this._waiting.get(getCallId(applied))?.resolve(results.Ok(applied));
    if (fault === "reply-late") setTimeout(send, lateMs);
    else send();
    if (fault === "reply-doubled") send();
  }
}

/** Engines `a1…` hold [0,4), `b1…` hold [4,8), `w1…` hold all. */
export class FakeConnector extends pipeline.EngineConnector {
  readonly applications = new ExecutionLog();
  readonly directory = new EndpointDirectory();
  private readonly _models = new Map<string, EngineSimulator>();
  private readonly _links = new Map<string, FakeLink>();
  private readonly _calls = new Map<string, number>();
  private readonly _silent = new Set<string>();
  private readonly _down = new Set<string>();

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
      this._models.set(name, new EngineSimulator(name, { ...speed }, () => 8, this.applications));
      this.directory.setReport(createReport(name, layers), true);
    }
    // Stands for the feed of reports, by which an endpoint that answers again is found.
    setInterval(() => this._findReachable(), feedMs).unref();
  }

  private _findReachable(): void {
    for (const name of this._models.keys()) {
      if (!this._down.has(name) && !this._silent.has(name)) this.directory.markReachable(name);
    }
  }

  override async getLink(
    endpoint: string,
  ): Promise<results.Result<pipeline.EngineLink, errors.NotReachedError>> {
    if (this._down.has(endpoint)) return results.Err(new errors.NotReachedError(endpoint));
    const known = this._links.get(endpoint);
    if (known?.isOpen === true) return results.Ok(known);
    const link = new FakeLink(endpoint, this._models.get(endpoint) as EngineSimulator, this);
    this._links.set(endpoint, link);
    return results.Ok(link);
  }

  /** Endpoints that died and are not back. */
  isDown(endpoint: string): boolean {
    return this._down.has(endpoint);
  }

  isSilent(endpoint: string): boolean {
    return this._silent.has(endpoint);
  }

  takeFault(endpoint: string): CallFault | undefined {
    const call = (this._calls.get(endpoint) ?? 0) + 1;
    this._calls.set(endpoint, call);
    return this._faults.find((fault) => fault.endpoint === endpoint && fault.atCall === call)?.fault;
  }

  /** Breaks an endpoint for a while: it dies with its memory, or stands silent. */
  breakEndpoint(endpoint: string, isDead: boolean): void {
    const broken = isDead ? this._down : this._silent;
    broken.add(endpoint);
    if (isDead) {
      this._models.get(endpoint)?.clear();
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
