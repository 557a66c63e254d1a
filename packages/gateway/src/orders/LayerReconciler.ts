/** Sees to it that each zone holds whole copies of its models: orders what a zone's planner finds due. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { toCopyEngine, toCopyModel } from "../chains/engineModel.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { EngineProfile, Service } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders, EngineReport } from "./EngineOrders.js";
import { LostEngines } from "./LostEngines.js";
import { getExpectedSpan, noLayers, type ZoneEngine, type ZoneOrder } from "./planZoneOrders.js";
import { ZonePlanner } from "./ZonePlanner.js";

const tickMs = 200;
/** A zone without any copy is planned once its list has been still for longer than a heartbeat interval. */
const settledForPlanMs = 1_500;
/** A single engine is planned for once the list has been still for this long, so that several come together. */
const settledForRepairMs = 300;
const reportTimeoutMs = 500;
/** An order whose layers do not show is looked into after the load time and this much more. */
const overdueMs = 4_000;
/** After an order that failed the engine is looked at again this much later. */
const retryMs = 1_000;

interface Pending {
  readonly span: LayerSpan;
  readonly dueAtMs: number;
}

/** What a keeper works with. */
export interface LayerKeeperStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  /** Whether this instance may order engines of a zone now. */
  readonly mayOrder: (availabilityZone: string) => boolean;
}

/** One task an instance; it acts only while the instance may give orders. */
export class LayerReconciler {
  private readonly _pending = new Map<string, Pending>();
  private readonly _retryAtMs = new Map<string, number>();
  private readonly _planners = new Map<string, ZonePlanner>();
  private readonly _addedAtMs = new Map<string, number>();
  private readonly _lost: LostEngines;

  constructor(private readonly _structure: LayerKeeperStructure) {
    this._lost = new LostEngines(_structure.orders, _structure.log);
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "added") this._addedAtMs.set(getPool(endpoint), utils.monotonicMs());
      // Orders to the life before are void, whether they were answered or not.
      if (event === "gone" || event === "restarted") this._forget(endpoint.id);
      if (event === "suspected" && this._isKept(endpoint)) void this._lost.check(endpoint);
      if (event === "layers" && this._isShown(endpoint)) this._pending.delete(endpoint.id);
    });
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

  /** Whether this instance orders the endpoint, as an engine of a zone. */
  private _isKept(endpoint: Endpoint): boolean {
    const { listed } = endpoint;
    return listed.layers.length > 0 && this._structure.mayOrder(listed.availabilityZone);
  }

  private async _tick(): Promise<void> {
    const services = this._structure.activeConfiguration.table?.configuration.services ?? [];
    for (const service of services) {
      if (service.engine !== undefined) await this._keepService(service, service.engine);
    }
  }

  private async _keepService(service: Service, profile: EngineProfile): Promise<void> {
    const endpoints = this._structure.endpoints.getUsable(service.name);
    const zones = utils.groupBy(endpoints, (endpoint) => endpoint.listed.availabilityZone);
    for (const [zone, members] of zones) {
      if (!this._structure.mayOrder(zone)) continue;
      const orders = await this._plan(this._lost.sift(members), profile);
      await Promise.all(orders.map((order) => this._order(order, profile)));
    }
  }

  /** Orders that bring a zone nearer to a balance; nothing while the list still moves. */
  private async _plan(members: readonly Endpoint[], profile: EngineProfile): Promise<ZoneOrder[]> {
    const nowMs = utils.monotonicMs();
    const [sample] = members;
    if (sample === undefined) return [];
    const pool = getPool(sample);
    const engines = members.map((member) => this._toZoneEngine(member, profile, nowMs));
    const isUnused = engines.every((engine) => getExpectedSpan(engine) === noLayers);
    const stillMs = nowMs - (this._addedAtMs.get(pool) ?? 0);
    if (stillMs < (isUnused ? settledForPlanMs : settledForRepairMs)) return [];
    const planner = this._planners.get(pool) ?? new ZonePlanner();
    this._planners.set(pool, planner);
    return planner.plan(engines, toCopyModel(profile));
  }

  private _toZoneEngine(member: Endpoint, profile: EngineProfile, nowMs: number): ZoneEngine {
    const pending = this._pending.get(member.id);
    const isPending = pending !== undefined && nowMs < pending.dueAtMs;
    return {
      engine: toCopyEngine(member, profile),
      listed: member.listed.layers[0],
      ordered: isPending ? pending.span : undefined,
      passing: member.getLoad().requests,
      isFree: !isPending && nowMs >= (this._retryAtMs.get(member.id) ?? 0),
    };
  }

  private _isShown(endpoint: Endpoint): boolean {
    const span = this._pending.get(endpoint.id)?.span;
    const [layers] = endpoint.listed.layers;
    return span === undefined || (layers?.start === span.start && layers.end === span.end);
  }

  /** Orders one engine, after a look at what it has been ordered already. */
  private async _order(order: ZoneOrder, profile: EngineProfile): Promise<void> {
    const { name, span } = order;
    const endpoint = this._structure.endpoints.get(name);
    if (endpoint === undefined) return;
    this._retryAtMs.set(name, utils.monotonicMs() + retryMs);
    const target = endpoint.orderTarget;
    const report = await this._structure.orders.getReport(target, reportTimeoutMs);
    if (report.err) return this._note(endpoint, span, report.val.code);
    if (this._structure.endpoints.get(name) !== endpoint) return this._note(endpoint, span, "started again");
    const hindrance = getHindrance(order, report.val, endpoint, profile);
    if (hindrance !== undefined) return this._note(endpoint, span, hindrance);
    if (!this._structure.mayOrder(endpoint.listed.availabilityZone)) return;
    const placed = await this._structure.orders.placeLayers(target, span, report.val.orderCount);
    this._note(endpoint, span, placed.ok ? "accepted" : placed.val.code);
    if (placed.err) return;
    const loadMs = (profile.loadMs * (span.end - span.start)) / profile.layerCount;
    this._pending.set(name, { span, dueAtMs: utils.monotonicMs() + loadMs + overdueMs });
  }

  private _note(endpoint: Endpoint, span: LayerSpan, outcome: string): void {
    this._structure.log.info("layers-ordered", {
      endpointId: endpoint.id,
      address: endpoint.listed.address,
      kind: endpoint.listed.kind,
      span: `${span.start}-${span.end}`,
      outcome,
    });
  }

  private _forget(id: string): void {
    this._pending.delete(id);
    this._retryAtMs.delete(id);
    this._lost.forget(id);
  }
}

/** Why an engine can't be given an order now; undefined where it can. */
function getHindrance(
  order: ZoneOrder,
  report: EngineReport,
  endpoint: Endpoint,
  profile: EngineProfile,
): string | undefined {
  if (report.isBusy) return "busy";
  // What it holds besides, or no longer, shows in the list soon.
  if (JSON.stringify(report.layers) !== JSON.stringify(endpoint.listed.layers)) return "not as listed";
  if (order.isUrgent) return undefined;
  const layers = order.span.end - order.span.start;
  const engine = toCopyEngine(endpoint, profile);
  const roomTokenLayers = placement.getKvTokenCapacity(engine, layers, toCopyModel(profile)) * layers;
  return report.usedTokenLayers < roomTokenLayers ? undefined : "in use";
}

function getPool(endpoint: Endpoint): string {
  return `${endpoint.listed.service}\u0000${endpoint.listed.availabilityZone}`;
}
