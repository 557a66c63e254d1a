/** Stand-in for a model engine: the HTTP and WebSocket interface of an `EngineSimulator`, with fault injection. */
import * as pipeline from "@shedtiller/pipeline";
import { errors, utils } from "@shedtiller/common";
import { orderSchema } from "@shedtiller/lease";
import type { EngineReport, LayerRange } from "@shedtiller/routing";
import type * as restify from "restify";
import * as ws from "ws";
import { HttpStandIn } from "../HttpStandIn.js";
import type { StandInWeightStore } from "../platform/StandInWeightStore.js";
import type { ExecutionLog } from "./ExecutionLog.js";
import { EngineSimulator } from "./EngineSimulator.js";

/** Static properties of a stand-in engine. */
export interface EngineStructure {
  readonly name: string;
  readonly availabilityZone: string;
  readonly accelerator: string;
  readonly model: string;
  readonly version: string;
  readonly layers: LayerRange | undefined;
  readonly stepMs: number;
  readonly prefillMsPerToken: number;
  readonly slots: number;
  readonly checksOrders: boolean;
  readonly memoryLayers?: number;
  /** Number of layers to which `stepMs` and `prefillMsPerToken` apply; defaults to the number of initially loaded layers. */
  readonly speedLayers?: number;
}

/** Dependencies of {@link StandInEngine}. */
export interface EngineDependencies {
  readonly executionLog: ExecutionLog;
  readonly weightStore: StandInWeightStore;
  readonly getLayerCount: (model: string) => number;
  /** Age of the load that the engine reports. */
  readonly reportLagMs: number;
}

/** An order that the engine accepted. */
export interface AcceptedOrder {
  readonly fencingToken: number;
  readonly atMs: number;
  readonly version: string;
}

type ReplyFault = "lost" | "crossed";
const defaultMemoryLayers = 64;
const conflictStatus = 409;

/** Serves the engine protocol on loopback and injects faults into its replies. */
export class StandInEngine extends HttpStandIn {
  readonly simulator: EngineSimulator;
  /** Accepted orders, in the sequence in which they took effect. */
  readonly acceptedOrders: AcceptedOrder[] = [];
  /** Monotonic time in milliseconds at which draining started; undefined while the engine is not draining. */
  drainingSinceMs: number | undefined;
  private readonly _webSocketServer = new ws.WebSocketServer({ noServer: true, perMessageDeflate: false });
  private readonly _replyFaults: ReplyFault[] = [];
  private readonly _loadSamples: { atMs: number; streams: number }[] = [];
  private _deferredReply: (() => void) | undefined;
  private _hang: utils.Deferred<void> | undefined;
  private _modelName: string;
  private _version: string;
  private _layers: LayerRange | undefined;
  private _state: "live" | "loading" = "live";
  private _fencingToken = -1;

  constructor(
    readonly structure: EngineStructure,
    private readonly _dependencies: EngineDependencies,
  ) {
    super(structure.name);
    this._modelName = structure.model;
    this._version = structure.version;
    this._layers = structure.layers;
    const { stepMs, prefillMsPerToken, slots } = structure;
    this.simulator = new EngineSimulator(
      structure.name,
      { stepMs, prefillMsPerToken, slots },
      _dependencies.getLayerCount,
      _dependencies.executionLog,
    );
    this._addRoutes();
    this._webSocketServer.on("connection", (socket: ws.WebSocket) => this._serve(socket));
  }

  /** Reports that the engine is draining. Existing streams continue. */
  startDraining(): void {
    this.drainingSinceMs = utils.monotonicMs();
    for (const client of this._webSocketServer.clients)
      client.send(pipeline.encodeFrame({ kind: "leaving" }));
  }

  /** Stops answering. Requests that arrive before `resume` are answered after it. */
  hang(): void {
    this._hang ??= new utils.Deferred<void>();
  }

  resume(): void {
    this._hang?.resolve();
    this._hang = undefined;
  }

  /** Injects a fault into the next replies: "lost" drops one reply after the work ran, "crossed" swaps two replies. */
  addReplyFault(fault: ReplyFault): void {
    this._replyFaults.push(fault);
  }

  override async kill(): Promise<void> {
    this.simulator.clear();
    this.resume();
    for (const client of this._webSocketServer.clients) client.terminate();
    await super.kill();
  }

  getReport(): EngineReport {
    const { structure } = this;
    return {
      name: structure.name,
      accelerator: structure.accelerator,
      memoryLayers: structure.memoryLayers ?? defaultMemoryLayers,
      model: this._modelName,
      version: this._version,
      layers: this._layers,
      stepMs: this.simulator.speed.stepMs,
      prefillMsPerToken: this.simulator.speed.prefillMsPerToken,
      slots: structure.slots,
      activeStreams: this.simulator.activeStreams,
      checksOrders: structure.checksOrders,
      fencingToken: this._fencingToken,
      state: this.drainingSinceMs === undefined ? this._state : "leaving",
    };
  }

  private _addRoutes(): void {
    this.server.get("/v1/state", async (_request: restify.Request, response: restify.Response) => {
      await this._hang?.promise;
      response.send({ ...this.getReport(), activeStreams: this._getLaggedStreams() });
    });
    this.server.post("/v1/orders", async (request: restify.Request, response: restify.Response) => {
      await this._hang?.promise;
      await this._handleOrder(request.body, response);
    });
    this.httpServer.on("upgrade", (request, socket, head) => {
      this._webSocketServer.handleUpgrade(request, socket, head, (client) =>
        this._webSocketServer.emit("connection", client, request),
      );
    });
  }

  /** Returns the load of about `reportLagMs` ago. Samples are taken only when the state is read. */
  private _getLaggedStreams(): number {
    const nowMs = utils.monotonicMs();
    this._loadSamples.push({ atMs: nowMs, streams: this.simulator.activeStreams });
    const dueMs = nowMs - this._dependencies.reportLagMs;
    while (this._loadSamples[1] !== undefined && this._loadSamples[1].atMs <= dueMs)
      this._loadSamples.shift();
    return this._loadSamples[0]?.streams ?? 0;
  }

  private async _handleOrder(body: unknown, response: restify.Response): Promise<void> {
    const order = orderSchema.safeParse(body);
    if (!order.success) throw errors.fromSchemaIssues("order", order.error.issues);
    const isStale = order.data.fencingToken < this._fencingToken || order.data.expiresAtMs < utils.wallMs();
    if (this.structure.checksOrders && isStale) {
      response.send(conflictStatus, { reason: "stale", fencingToken: this._fencingToken });
      return;
    }
    this._fencingToken = Math.max(this._fencingToken, order.data.fencingToken);
    this.acceptedOrders.push({
      fencingToken: order.data.fencingToken,
      atMs: utils.monotonicMs(),
      version: order.data.version,
    });
    void this._loadLayers(order.data.model, order.data.version, order.data.layers);
    if (this._replyFaults[0] === "lost") {
      this._replyFaults.shift();
      response.socket?.destroy();
      return;
    }
    response.send({ accepted: true });
  }

  private async _loadLayers(model: string, version: string, layers: LayerRange | undefined): Promise<void> {
    const loaded = this._layers;
    const isSame = model === this._modelName && version === this._version;
    if (isSame && loaded?.[0] === layers?.[0] && loaded?.[1] === layers?.[1]) return;
    this._state = "loading";
    this._modelName = model;
    this._version = version;
    this._layers = layers;
    this.simulator.clear();
    if (layers !== undefined) await this._dependencies.weightStore.fetchLayers(layers[1] - layers[0]);
    this._setSpeed(layers);
    this._state = "live";
  }

  /** Scales the step times with the number of loaded layers. */
  private _setSpeed(layers: LayerRange | undefined): void {
    const { structure } = this;
    const first = structure.layers;
    const speedLayers = structure.speedLayers ?? (first === undefined ? undefined : first[1] - first[0]);
    if (layers === undefined || speedLayers === undefined) return;
    const factor = (layers[1] - layers[0]) / speedLayers;
    this.simulator.speed.stepMs = structure.stepMs * factor;
    this.simulator.speed.prefillMsPerToken = structure.prefillMsPerToken * factor;
  }

  private _serve(socket: ws.WebSocket): void {
    socket.on("error", () => socket.terminate());
    socket.on("message", (data) => {
      if (this._hang === undefined) return this._handleMessage(socket, data);
      void this._hang.promise.then(() => this._handleMessage(socket, data));
    });
  }

  private _handleMessage(socket: ws.WebSocket, data: ws.RawData): void {
    const decoded = pipeline.decodeFrame(data, pipeline.toEngineSchema, "entry");
    if (decoded.err) return socket.terminate();
    const frame = decoded.val;
    switch (frame.kind) {
      case "apply":
        return this._apply(socket, frame);
      case "release":
        return this.simulator.release(frame);
      case "probe":
        return this._send(socket, this.simulator.getStageStatus(frame));
      case "export":
        return this._export(socket, frame);
      case "import":
        this.simulator.importCache(frame);
        return this._send(socket, {
          ...pipeline.pickStageKey(frame),
          kind: "imported",
          position: frame.position,
        });
    }
  }

  private _apply(socket: ws.WebSocket, frame: pipeline.ApplyFrame): void {
    const reason =
      this._getRefusalReason(frame) ??
      this.simulator.apply(frame, this._modelName, (applied) => this._reply(socket, applied));
    if (reason === undefined) return;
    this._send(socket, {
      ...pipeline.pickStageKey(frame),
      kind: "refused",
      position: frame.position,
      reason,
    });
  }

  private _getRefusalReason(frame: pipeline.ApplyFrame): pipeline.RefusalReason | undefined {
    const loaded = this._layers;
    if (this._state !== "live" || loaded === undefined) return "not-loaded";
    return loaded[0] === frame.layers[0] && loaded[1] === frame.layers[1] ? undefined : "not-loaded";
  }

  private _export(socket: ws.WebSocket, frame: pipeline.ExportFrame): void {
    const exported = this.simulator.exportCache(frame);
    if (exported === undefined) {
      return this._send(socket, {
        ...pipeline.pickStageKey(frame),
        kind: "refused",
        position: 0,
        reason: "unknown-stream",
      });
    }
    this._send(socket, { ...pipeline.pickStageKey(frame), kind: "exported", ...exported });
  }

  private _reply(socket: ws.WebSocket, applied: pipeline.AppliedFrame): void {
    const hang = this._hang;
    if (hang !== undefined) {
      void hang.promise.then(() => this._send(socket, applied));
      return;
    }
    const fault = this._replyFaults.shift();
    if (fault === "lost") return;
    const send = (): void => this._send(socket, applied);
    if (fault === "crossed") return this._swapWithNext(send);
    send();
  }

  /** Defers one reply until the next one has been sent, or for 200 ms if there is no other. */
  private _swapWithNext(send: () => void): void {
    const deferred = this._deferredReply;
    if (deferred !== undefined) {
      this._deferredReply = undefined;
      send();
      return deferred();
    }
    const maxDelayMs = 200;
    this._replyFaults.unshift("crossed");
    const release = (): void => {
      clearTimeout(timer);
      send();
    };
    const timer = setTimeout(() => {
      if (this._deferredReply !== release) return;
      this._deferredReply = undefined;
      if (this._replyFaults[0] === "crossed") this._replyFaults.shift();
      send();
    }, maxDelayMs);
    this._deferredReply = release;
  }

  private _send(socket: ws.WebSocket, frame: pipeline.FromEngineFrame): void {
    if (socket.readyState === ws.WebSocket.OPEN) socket.send(pipeline.encodeFrame(frame));
  }
}
