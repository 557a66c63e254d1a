/** A stand-in model engine: the HTTP and WebSocket form around `EngineModel`, and the faults that traces name. */
import * as pipeline from "@shedtiller/pipeline";
import { errors, utils } from "@shedtiller/common";
import { orderSchema } from "@shedtiller/lease";
import type { EngineReport, LayerRange } from "@shedtiller/routing";
import type * as restify from "restify";
import * as ws from "ws";
import { HttpStandIn } from "../HttpStandIn.js";
import type { StandInWeightStore } from "../platform/StandInWeightStore.js";
import type { ApplicationLog } from "./ApplicationLog.js";
import { EngineModel } from "./EngineModel.js";

/** What an engine is made of. */
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
  /** Layers that `stepMs` and `prefillMsPerToken` are given for; the layers held at first unless stated. */
  readonly speedLayers?: number;
}

/** What an engine works with. */
export interface EngineSurroundings {
  readonly applications: ApplicationLog;
  readonly weights: StandInWeightStore;
  readonly layerCountOf: (model: string) => number;
  /** How old the load is that is reported. */
  readonly reportLagMs: number;
}

/** One order as the engine took it. */
export interface TakenOrder {
  readonly fencingToken: number;
  readonly atMs: number;
  readonly version: string;
}

type ReplyFault = "lost" | "crossed";
const defaultMemoryLayers = 64;
const conflictStatus = 409;

/** An engine on loopback. */
export class StandInEngine extends HttpStandIn {
  readonly model: EngineModel;
  /** Orders in the order in which they took effect. */
  readonly takenOrders: TakenOrder[] = [];
  /** Monotonic milliseconds since when the engine is listed as leaving. */
  leavingSinceMs: number | undefined;
  private readonly _links = new ws.WebSocketServer({ noServer: true, perMessageDeflate: false });
  private readonly _replyFaults: ReplyFault[] = [];
  private readonly _loads: { atMs: number; streams: number }[] = [];
  private _heldReply: (() => void) | undefined;
  private _hang: utils.Deferred<void> | undefined;
  private _modelName: string;
  private _version: string;
  private _layers: LayerRange | undefined;
  private _state: "live" | "loading" = "live";
  private _fencingToken = -1;

  constructor(
    readonly structure: EngineStructure,
    private readonly _surroundings: EngineSurroundings,
  ) {
    super(structure.name);
    this._modelName = structure.model;
    this._version = structure.version;
    this._layers = structure.layers;
    const { stepMs, prefillMsPerToken, slots } = structure;
    this.model = new EngineModel(
      structure.name,
      { stepMs, prefillMsPerToken, slots },
      _surroundings.layerCountOf,
      _surroundings.applications,
    );
    this._addRoutes();
    this._links.on("connection", (socket: ws.WebSocket) => this._serve(socket));
  }

  /** Says that it will go; what it has is served on. */
  leave(): void {
    this.leavingSinceMs = utils.monotonicMs();
    for (const client of this._links.clients) client.send(pipeline.encodeFrame({ kind: "leaving" }));
  }

  /** Stops answering; after `resume` it answers late what came meanwhile. */
  hang(): void {
    this._hang ??= new utils.Deferred<void>();
  }

  resume(): void {
    this._hang?.resolve();
    this._hang = undefined;
  }

  /** Spoils the next replies: one that is lost after the work ran, or two that swap their order. */
  spoilReply(fault: ReplyFault): void {
    this._replyFaults.push(fault);
  }

  override async vanish(): Promise<void> {
    this.model.clear();
    this.resume();
    for (const client of this._links.clients) client.terminate();
    await super.vanish();
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
      stepMs: this.model.speed.stepMs,
      prefillMsPerToken: this.model.speed.prefillMsPerToken,
      slots: structure.slots,
      activeStreams: this.model.activeStreams,
      checksOrders: structure.checksOrders,
      fencingToken: this._fencingToken,
      state: this.leavingSinceMs === undefined ? this._state : "leaving",
    };
  }

  private _addRoutes(): void {
    this.server.get("/v1/state", async (_request: restify.Request, response: restify.Response) => {
      await this._hang?.promise;
      response.send({ ...this.getReport(), activeStreams: this._getLaggedStreams() });
    });
    this.server.post("/v1/orders", async (request: restify.Request, response: restify.Response) => {
      await this._hang?.promise;
      await this._takeOrder(request.body, response);
    });
    this.httpServer.on("upgrade", (request, socket, head) => {
      this._links.handleUpgrade(request, socket, head, (client) =>
        this._links.emit("connection", client, request),
      );
    });
  }

  /** The load as it was `reportLagMs` ago, as far as it was looked at. */
  private _getLaggedStreams(): number {
    const nowMs = utils.monotonicMs();
    this._loads.push({ atMs: nowMs, streams: this.model.activeStreams });
    const dueMs = nowMs - this._surroundings.reportLagMs;
    while (this._loads[1] !== undefined && this._loads[1].atMs <= dueMs) this._loads.shift();
    return this._loads[0]?.streams ?? 0;
  }

  private async _takeOrder(body: unknown, response: restify.Response): Promise<void> {
    const order = orderSchema.safeParse(body);
    if (!order.success) throw errors.fromSchemaIssues("order", order.error.issues);
    const isOld = order.data.fencingToken < this._fencingToken || order.data.expiresAtMs < utils.wallMs();
    if (this.structure.checksOrders && isOld) {
      response.send(conflictStatus, { reason: "stale", fencingToken: this._fencingToken });
      return;
    }
    this._fencingToken = Math.max(this._fencingToken, order.data.fencingToken);
    this.takenOrders.push({
      fencingToken: order.data.fencingToken,
      atMs: utils.monotonicMs(),
      version: order.data.version,
    });
    void this._load(order.data.model, order.data.version, order.data.layers);
    if (this._replyFaults[0] === "lost") {
      this._replyFaults.shift();
      response.socket?.destroy();
      return;
    }
    response.send({ accepted: true });
  }

  private async _load(model: string, version: string, layers: LayerRange | undefined): Promise<void> {
    const held = this._layers;
    const isSame = model === this._modelName && version === this._version;
    if (isSame && held?.[0] === layers?.[0] && held?.[1] === layers?.[1]) return;
    this._state = "loading";
    this._modelName = model;
    this._version = version;
    this._layers = layers;
    this.model.clear();
    if (layers !== undefined) await this._surroundings.weights.fetchLayers(layers[1] - layers[0]);
    this._setSpeed(layers);
    this._state = "live";
  }

  /** Step times grow with the layers held. */
  private _setSpeed(layers: LayerRange | undefined): void {
    const { structure } = this;
    const first = structure.layers;
    const speedLayers = structure.speedLayers ?? (first === undefined ? undefined : first[1] - first[0]);
    if (layers === undefined || speedLayers === undefined) return;
    const factor = (layers[1] - layers[0]) / speedLayers;
    this.model.speed.stepMs = structure.stepMs * factor;
    this.model.speed.prefillMsPerToken = structure.prefillMsPerToken * factor;
  }

  private _serve(socket: ws.WebSocket): void {
    socket.on("error", () => socket.terminate());
    socket.on("message", (data) => {
      if (this._hang === undefined) return this._accept(socket, data);
      void this._hang.promise.then(() => this._accept(socket, data));
    });
  }

  private _accept(socket: ws.WebSocket, data: ws.RawData): void {
    const decoded = pipeline.decodeFrame(data, pipeline.toEngineSchema, "entry");
    if (decoded.err) return socket.terminate();
    const frame = decoded.val;
    switch (frame.kind) {
      case "apply":
        return this._apply(socket, frame);
      case "release":
        return this.model.release(frame);
      case "probe":
        return this._send(socket, this.model.getStanding(frame));
      case "export":
        return this._export(socket, frame);
      case "import":
        this.model.importCache(frame);
        return this._send(socket, {
          ...pipeline.pickStageKey(frame),
          kind: "imported",
          position: frame.position,
        });
    }
  }

  private _apply(socket: ws.WebSocket, frame: pipeline.ApplyFrame): void {
    const reason =
      this._getRefusal(frame) ??
      this.model.apply(frame, this._modelName, (applied) => this._reply(socket, applied));
    if (reason === undefined) return;
    this._send(socket, {
      ...pipeline.pickStageKey(frame),
      kind: "refused",
      position: frame.position,
      reason,
    });
  }

  private _getRefusal(frame: pipeline.ApplyFrame): pipeline.RefusalReason | undefined {
    const held = this._layers;
    if (this._state !== "live" || held === undefined) return "not-loaded";
    return held[0] === frame.layers[0] && held[1] === frame.layers[1] ? undefined : "not-loaded";
  }

  private _export(socket: ws.WebSocket, frame: pipeline.ExportFrame): void {
    const exported = this.model.exportCache(frame);
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
    if (fault === "crossed") return this._cross(send);
    send();
  }

  /** Holds one reply back until the next one has gone, or for a moment when there is none. */
  private _cross(send: () => void): void {
    const held = this._heldReply;
    if (held !== undefined) {
      this._heldReply = undefined;
      send();
      return held();
    }
    const holdMs = 200;
    this._replyFaults.unshift("crossed");
    const release = (): void => {
      clearTimeout(timer);
      send();
    };
    const timer = setTimeout(() => {
      if (this._heldReply !== release) return;
      this._heldReply = undefined;
      if (this._replyFaults[0] === "crossed") this._replyFaults.shift();
      send();
    }, holdMs);
    this._heldReply = release;
  }

  private _send(socket: ws.WebSocket, frame: pipeline.FromEngineFrame): void {
    if (socket.readyState === ws.WebSocket.OPEN) socket.send(pipeline.encodeFrame(frame));
  }
}
