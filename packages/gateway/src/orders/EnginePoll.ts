/** Asks the engines in turn how slow they are, so that chains avoid those that slow down without failing. */
import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "./EngineOrders.js";
import { getSlowness } from "./getSlowness.js";

/** Each engine is asked once in this time, by one instance for all of its zone. A question is priced like a health check. */
const roundMs = 2_000;
const idleMs = 500;
const reportTimeoutMs = 500;
/** Only changes by more than this are told. */
const toldChange = 0.2;

/** What a poll works with. */
export interface EnginePollStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  readonly availabilityZone: string;
  /** Whether this instance asks for its zone now. */
  readonly mayAsk: () => boolean;
  readonly broadcastSlowness: (endpointId: string, slowness: number) => void;
}

/** One task an instance; it asks the engines of its zone while it is its turn. */
export class EnginePoll {
  constructor(private readonly _structure: EnginePollStructure) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const engines = this._structure.mayAsk() ? this._getEngines() : [];
      if (engines.length === 0) await utils.sleep(idleMs, signal).catch(() => undefined);
      for (const engine of engines) {
        if (signal.aborted || !this._structure.mayAsk()) break;
        void this._ask(engine);
        await utils.sleep(roundMs / engines.length, signal).catch(() => undefined);
      }
    }
  }

  private _getEngines(): Endpoint[] {
    const nowMs = utils.monotonicMs();
    const services = this._structure.activeConfiguration.table?.configuration.services ?? [];
    const names = services.filter((service) => service.engine !== undefined).map((service) => service.name);
    return names
      .flatMap((name) => this._structure.endpoints.getUsable(name))
      .filter((engine) => engine.listed.availabilityZone === this._structure.availabilityZone)
      .filter((engine) => engine.listed.layers.length > 0 && engine.backoff.getLeftMs(nowMs) === 0);
  }

  private async _ask(engine: Endpoint): Promise<void> {
    const report = await this._structure.orders.getReport(engine.orderTarget, reportTimeoutMs, false);
    // What a new life reports is of another endpoint than the one that was asked about.
    if (report.err || this._structure.endpoints.get(engine.id) !== engine) return;
    const slowness = getSlowness(report.val);
    if (Math.abs(slowness - engine.slowness) < toldChange) return;
    engine.slowness = slowness;
    this._structure.broadcastSlowness(engine.id, slowness);
    this._structure.log.info("engine-slowness", { endpointId: engine.id, slowness });
  }
}
