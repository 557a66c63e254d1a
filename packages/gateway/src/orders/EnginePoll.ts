import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "./EngineOrders.js";
import { getSlowness } from "./getSlowness.js";

/** Interval at which each engine is polled, by one instance for its whole zone. A poll costs about as much as a health check. */
const pollIntervalMs = 2_000;
/** Pause while there are no engines to poll. */
const idleMs = 500;
const reportTimeoutMs = 500;
/** Smaller changes of the slowness are not reported. */
const minReportedChange = 0.2;

/** Dependencies of {@link EnginePoll}. */
export interface EnginePollStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  readonly availabilityZone: string;
  /** Whether this instance polls the engines of its zone now. */
  readonly mayPoll: () => boolean;
  readonly broadcastSlowness: (endpointId: string, slowness: number) => void;
}

/**
 * Polls the slowness of the engines of a zone in turn while this instance has that role, so that chains avoid engines that slow down
 * without failing. Each instance has one such poll.
 */
export class EnginePoll {
  constructor(private readonly _structure: EnginePollStructure) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const engines = this._structure.mayPoll() ? this._getEngines() : [];
      if (engines.length === 0) await utils.sleep(idleMs, signal).catch(() => undefined);
      for (const engine of engines) {
        if (signal.aborted || !this._structure.mayPoll()) break;
        void this._poll(engine);
        await utils.sleep(pollIntervalMs / engines.length, signal).catch(() => undefined);
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

  private async _poll(engine: Endpoint): Promise<void> {
    const report = await this._structure.orders.getReport(engine.orderTarget, reportTimeoutMs, false);
    // The report of a new life does not apply to the endpoint that was polled.
    if (report.err || this._structure.endpoints.get(engine.id) !== engine) return;
    const slowness = getSlowness(report.val);
    if (Math.abs(slowness - engine.slowness) < minReportedChange) return;
    engine.slowness = slowness;
    this._structure.broadcastSlowness(engine.id, slowness);
    this._structure.log.info("engine-slowness", { endpointId: engine.id, slowness });
  }
}
