import { errors, utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { toCopyEngine, toCopyModel } from "../chains/engineModel.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EngineProfile, Service } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { areSameLayers, describeLayers, describeSpan } from "../discovery/layerSpans.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders, EngineReport, OrderError } from "./EngineOrders.js";
import { LayerContradictions } from "./LayerContradictions.js";
import { LostEngineDetector } from "./LostEngineDetector.js";
import {
  getExpectedSpan,
  noLayers,
  withoutDrops,
  type ZoneEngine,
  type ZoneOrder,
} from "./planZoneOrders.js";
import { ZonePlanner } from "./ZonePlanner.js";

const tickMs = 200;
/** A zone without any copy of the model is planned once no engine has been added for longer than a heartbeat interval. */
const settledBeforePlanMs = 1_500;
/**
 * Orders for a zone with copies are planned once no engine has been added for this long, so that several new engines are planned for
 * together.
 */
const settledBeforeRepairMs = 300;
const reportTimeoutMs = 500;
/** An order counts as overdue if the list does not show its layers after the load time and this much more. */
const overdueMs = 4_000;
/** An engine whose order failed is considered again after this time. */
const retryMs = 1_000;

interface PendingOrder {
  readonly span: LayerSpan;
  readonly dueAtMs: number;
}

/** Dependencies of {@link LayerReconciler}. */
export interface LayerReconcilerStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  /** Whether zones should have several first engines that share the streams. */
  readonly areFirstEnginesEqualized: boolean;
  /** Whether this instance may send orders to the engines of a zone now. */
  readonly mayOrder: (availabilityZone: string) => boolean;
}

/**
 * Keeps complete copies of the models loaded in each zone, by sending the orders that the planner of each zone returns. Acts only while
 * this instance may send orders. Each instance has one reconciler.
 */
export class LayerReconciler {
  /** Accepted orders whose layers are not listed yet, by the id of the engine. */
  private readonly _pending = new Map<string, PendingOrder>();
  /** Monotonic time from which an engine may receive another order, by the id of the engine. */
  private readonly _retryAtMs = new Map<string, number>();
  /** By the key of a pool, which consists of the engines of one service in one zone. */
  private readonly _planners = new Map<string, ZonePlanner>();
  /** Monotonic time at which the last engine was added, by the key of its pool. */
  private readonly _addedAtMs = new Map<string, number>();
  private readonly _lostEngines: LostEngineDetector;
  private readonly _contradictions = new LayerContradictions(utils.monotonicMs);

  constructor(private readonly _structure: LayerReconcilerStructure) {
    this._lostEngines = new LostEngineDetector(_structure.orders, _structure.log);
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "added") this._addedAtMs.set(getPoolKey(endpoint), utils.monotonicMs());
      // Orders to the previous life are void, whether or not they were answered.
      if (event === "gone" || event === "restarted") this._removeEngine(endpoint.id);
      if (event === "suspected" && this._isManaged(endpoint)) void this._lostEngines.check(endpoint);
      if (event === "layers" && this._isListedAsOrdered(endpoint)) this._pending.delete(endpoint.id);
    });
  }

  /** Forgets which engines are lost, since this instance reached none of them for a while. */
  forgetLostEngines(): void {
    this._lostEngines.reset();
  }

  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      tickMs,
      signal,
      () => this._tick(),
      (error) => {
        this._structure.log.error("layer-keeping-failed", { cause: String(error) });
      },
    );
  }

  /** Returns whether the endpoint is an engine with layers to which this instance may send orders now. */
  private _isManaged(endpoint: Endpoint): boolean {
    const { listed } = endpoint;
    return listed.layers.length > 0 && this._structure.mayOrder(listed.availabilityZone);
  }

  private async _tick(): Promise<void> {
    const services = this._structure.activeConfiguration.table?.configuration.services ?? [];
    for (const service of services) {
      if (service.engine !== undefined) await this._reconcileService(service, service.engine);
    }
  }

  private async _reconcileService(service: Service, profile: EngineProfile): Promise<void> {
    const endpoints = this._structure.endpoints.getUsable(service.name);
    const zones = utils.groupBy(endpoints, (endpoint) => endpoint.listed.availabilityZone);
    for (const [zone, members] of zones) {
      if (!this._structure.mayOrder(zone)) continue;
      const orders = await this._plan(members, profile);
      await Promise.all(orders.map((order) => this._order(order, profile)));
    }
  }

  /** Returns the orders that are due for the engines of a zone; none while engines are still being added. */
  private async _plan(listed: readonly Endpoint[], profile: EngineProfile): Promise<ZoneOrder[]> {
    const nowMs = utils.monotonicMs();
    const members = this._lostEngines.withoutLost(listed);
    const [sample] = members;
    if (sample === undefined) return [];
    const pool = getPoolKey(sample);
    const engines = members.map((member) => this._toZoneEngine(member, profile, nowMs));
    const isEmptyZone = engines.every((engine) => getExpectedSpan(engine) === noLayers);
    const settledMs = nowMs - (this._addedAtMs.get(pool) ?? 0);
    if (settledMs < (isEmptyZone ? settledBeforePlanMs : settledBeforeRepairMs)) return [];
    const planner = this._planners.get(pool) ?? new ZonePlanner();
    this._planners.set(pool, planner);
    const copyEngines = engines.map(({ engine }) => engine);
    const areFirstEnginesEqualized =
      this._structure.areFirstEnginesEqualized && placement.canSpreadFirstEngines(copyEngines, profile);
    const firstEngineWeight = areFirstEnginesEqualized ? placement.usualFirstEngineWeight : undefined;
    const orders = await planner.plan(engines, { ...toCopyModel(profile), firstEngineWeight });
    const hasUncertain = listed.some(
      (member) => member.listed.layers.length > 0 && !members.includes(member),
    );
    if (!hasUncertain || this._lostEngines.isZoneReached(listed)) return orders;
    // Requests may pass through the engines that don't answer, and need the layers of the others.
    return withoutDrops(orders, engines);
  }

  private _toZoneEngine(member: Endpoint, profile: EngineProfile, nowMs: number): ZoneEngine {
    const pending = this._pending.get(member.id);
    const isPending = pending !== undefined && nowMs < pending.dueAtMs;
    return {
      engine: toCopyEngine(member, profile),
      listed: member.listed.layers[0],
      ordered: isPending ? pending.span : undefined,
      passingRequests: member.getLoad().requests,
      isFree: !isPending && nowMs >= (this._retryAtMs.get(member.id) ?? 0),
    };
  }

  private _isListedAsOrdered(endpoint: Endpoint): boolean {
    const span = this._pending.get(endpoint.id)?.span;
    const [layers] = endpoint.listed.layers;
    return span === undefined || (layers?.start === span.start && layers.end === span.end);
  }

  /** Sends an order to an engine after checking its report for an order in progress. */
  private async _order(order: ZoneOrder, profile: EngineProfile): Promise<void> {
    const { name, span } = order;
    const endpoint = this._structure.endpoints.get(name);
    if (endpoint === undefined) return;
    this._retryAtMs.set(name, utils.monotonicMs() + retryMs);
    const target = endpoint.orderTarget;
    const report = await this._structure.orders.getReport(target, reportTimeoutMs);
    if (report.err) {
      // The next plan has to do without an engine that can't be reached, whether or not requests have made it suspect.
      const isCurrent = this._structure.endpoints.get(name) === endpoint;
      if (isCurrent && isUnanswered(report.val)) void this._lostEngines.check(endpoint);
      return this._logOutcome(endpoint, span, report.val.code);
    }
    if (this._structure.endpoints.get(name) !== endpoint)
      return this._logOutcome(endpoint, span, "started again");
    this._noteReport(endpoint, report.val);
    const postponeReason = getPostponeReason(order, report.val, endpoint, profile);
    if (postponeReason !== undefined) return this._logOutcome(endpoint, span, postponeReason);
    if (!this._structure.mayOrder(endpoint.listed.availabilityZone)) return;
    const placed = await this._structure.orders.placeLayers(target, span, report.val.orderCount);
    this._logOutcome(endpoint, span, placed.ok ? "accepted" : placed.val.code);
    if (placed.err) return;
    const loadMs = (profile.loadMs * (span.end - span.start)) / profile.layerCount;
    this._pending.set(name, { span, dueAtMs: utils.monotonicMs() + loadMs + overdueMs });
  }

  /** Takes over the layers that an engine reports once the list has shown others for so long that no entry is about to correct it. */
  private _noteReport(endpoint: Endpoint, { isBusy, layers }: EngineReport): void {
    const { endpoints, log } = this._structure;
    const listed = endpoint.listed.layers;
    if (isBusy || !this._contradictions.note(endpoint.id, listed, layers)) return;
    log.warn("listed-layers-contradicted", {
      endpointId: endpoint.id,
      listed: describeLayers(listed),
      reported: describeLayers(layers),
    });
    endpoints.setLayers(endpoint, layers);
  }

  private _logOutcome(endpoint: Endpoint, span: LayerSpan, outcome: string): void {
    this._structure.log.info("layers-ordered", {
      endpointId: endpoint.id,
      address: endpoint.listed.address,
      kind: endpoint.listed.kind,
      span: describeSpan(span),
      outcome,
    });
  }

  private _removeEngine(id: string): void {
    this._pending.delete(id);
    this._retryAtMs.delete(id);
    this._lostEngines.removeProbe(id);
    this._contradictions.remove(id);
  }
}

/** Returns whether an error shows that an engine gave no answer at all. */
function isUnanswered(error: OrderError): boolean {
  return (
    error instanceof errors.NotReachedError ||
    error instanceof errors.ConnectionLostError ||
    error instanceof errors.DeadlineError
  );
}

/** Returns the reason for which an engine can't receive an order now, or undefined if there is none. */
function getPostponeReason(
  order: ZoneOrder,
  report: EngineReport,
  endpoint: Endpoint,
  profile: EngineProfile,
): string | undefined {
  if (report.isBusy) return "busy";
  // Differences between the engine and the list disappear with the engine's next entry.
  if (!areSameLayers(report.layers, endpoint.listed.layers)) return "not as listed";
  if (order.isUrgent) return undefined;
  const layers = order.span.end - order.span.start;
  const engine = toCopyEngine(endpoint, profile);
  const capacityTokenLayers = placement.getKvTokenCapacity(engine, layers, toCopyModel(profile)) * layers;
  return report.usedTokenLayers < capacityTokenLayers ? undefined : "in use";
}

function getPoolKey(endpoint: Endpoint): string {
  return `${endpoint.listed.service}\u0000${endpoint.listed.availabilityZone}`;
}
