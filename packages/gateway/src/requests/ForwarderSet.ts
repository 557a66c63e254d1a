/** The forwarders of an instance, with the queues and the stall monitor that they share. */
import { utils } from "@shedtiller/common";
import { ChainAdmission } from "../chains/ChainAdmission.js";
import { ChainChooser } from "../chains/ChainChooser.js";
import { estimateTokens } from "../chains/estimateTokens.js";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { CallerRequest } from "./CallerRequest.js";
import { PermitQueue } from "./PermitQueue.js";
import { PlainForwarder } from "./PlainForwarder.js";
import { pickTarget, type ForwardContext } from "./RequestForwarder.js";
import { StallMonitor } from "./StallMonitor.js";
import { StreamForwarder } from "./StreamForwarder.js";

/** Retry-After while this instance reaches no endpoint: another instance may, and lost paths are tried about once a second. */
const isolatedRetryAfterMs = 1_000;

/** Creates the forwarders and dispatches each request by the kind of its route. Each instance has one such set. */
export class ForwarderSet {
  readonly monitor: StallMonitor;
  private readonly _admission: ChainAdmission;
  private readonly _plain: PlainForwarder;
  private readonly _streams: StreamForwarder;

  constructor(
    private readonly _context: ForwardContext,
    orders: EngineOrders,
  ) {
    const { activeConfiguration, endpoints, demand, forecast, controls } = _context;
    const chooser = new ChainChooser(utils.monotonicMs, Math.random, controls);
    this._admission = new ChainAdmission(activeConfiguration, endpoints, chooser, demand, forecast, controls);
    this.monitor = new StallMonitor(_context, chooser, orders);
    this._plain = new PlainForwarder(_context, new PermitQueue(demand, forecast));
    this._streams = new StreamForwarder(_context, this._admission, this.monitor);
  }

  /** Number of streamed requests that wait for capacity. */
  get waiting(): number {
    return this._admission.waiting;
  }

  /** Forwards a request to one of the services of its route and answers it. */
  async forward(request: CallerRequest): Promise<void> {
    const { route } = request;
    const service = pickTarget(route.targets, Math.random());
    this._context.budgets.recordRequest(service);
    this._context.demand.noteArrival(service);
    this._noteDemand(request, service);
    // Nothing is gained by a wait, since no endpoint is within reach.
    if (this._context.paths.isIsolated) return request.refuse(503, "isolated", isolatedRetryAfterMs);
    const forwarder = route.kind === "streaming" ? this._streams : this._plain;
    await forwarder.run(request, service).finally(() => request.sends.releaseUnsent());
  }

  /** Records the demand on engines. */
  private _noteDemand({ route, fields }: CallerRequest, service: string): void {
    if (route.kind !== "streaming") return;
    const { promptTokens, answerTokens } = estimateTokens(fields);
    this._context.controls.flows?.noteArrival(service, promptTokens + answerTokens);
  }
}
