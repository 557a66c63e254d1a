/** Sees to it that each zone holds whole copies of its models: orders layers to engines that hold none. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { toCopyEngine, toCopyModel } from "../chains/engineModel.js";
import type { ConfigurationKeeper } from "../configuration/ConfigurationKeeper.js";
import type { EngineProfile, Service } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "./EngineOrders.js";

const tickMs = 200;
/** A zone without any copy is planned once its list has been still for longer than a heartbeat interval. */
const settledForPlanMs = 1_500;
/** A single engine is planned for once the list has been still for this long, so that several come together. */
const settledForRepairMs = 300;
const reportTimeoutMs = 500;
/** An order whose layers do not show is looked into after the load time and this much more. */
const overdueMs = 4_000;
/** A crashed engine is listed again about this long after its old entry went; its layers are left to it. */
const returnWaitMs = 1_000;
/** After an order that failed the engine is looked at again this much later. */
const retryMs = 1_000;

interface Pending {
  readonly span: LayerSpan;
  readonly dueAtMs: number;
}

/** What a keeper works with. */
export interface LayerKeeperStructure {
  readonly keeper: ConfigurationKeeper;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  /** Whether this instance may order engines of a zone now. */
  readonly mayOrder: (availabilityZone: string) => boolean;
}

/** One task an instance; it acts only while the instance may give orders. */
export class LayerKeeper {
  private readonly _pending = new Map<string, Pending>();
  private readonly _retryAtMs = new Map<string, number>();
  private readonly _addedAtMs = new Map<string, number>();
  private readonly _goneAtMs = new Map<string, number>();

  constructor(private readonly _structure: LayerKeeperStructure) {
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "added") this._addedAtMs.set(getPool(endpoint), utils.monotonicMs());
      if (event === "gone") {
        this._goneAtMs.set(getPool(endpoint), utils.monotonicMs());
        this._forget(endpoint.id);
      }
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

  private async _tick(): Promise<void> {
    const services = this._structure.keeper.table?.configuration.services ?? [];
    for (const service of services) {
      if (service.engine !== undefined) await this._keepService(service, service.engine);
    }
  }

  private async _keepService(service: Service, profile: EngineProfile): Promise<void> {
    const endpoints = this._structure.endpoints.getUsable(service.name);
    const zones = utils.groupBy(endpoints, (endpoint) => endpoint.listed.availabilityZone);
    for (const [zone, members] of zones) {
      if (!this._structure.mayOrder(zone)) continue;
      const planned = this._plan(members, profile);
      await Promise.all(planned.map((span) => this._order(span, profile)));
    }
  }

  /** Spans for the zone's empty engines; nothing while the list still moves. */
  private _plan(members: readonly Endpoint[], profile: EngineProfile): placement.PlannedSpan[] {
    const nowMs = utils.monotonicMs();
    const empty = members.filter((member) => this._isEmpty(member, nowMs));
    const held = this._getHeld(members, profile);
    const [sample] = empty;
    if (sample === undefined) return this._planGrowth(members, held, profile, nowMs);
    const stillMs = nowMs - (this._addedAtMs.get(getPool(sample)) ?? 0);
    const model = toCopyModel(profile);
    const engines = empty.map((member) => toCopyEngine(member, profile));
    if (held.length === 0) {
      return stillMs < settledForPlanMs ? [] : placement.planLayerCopies(engines, model);
    }
    return stillMs < settledForRepairMs ? [] : placement.planRepair(engines, held, model);
  }

  /** A zone without empty engines closes a gap by growing the neighbours, once no lost engine seems to come back. */
  private _planGrowth(
    members: readonly Endpoint[],
    held: readonly placement.HeldSpan[],
    profile: EngineProfile,
    nowMs: number,
  ): placement.PlannedSpan[] {
    const [sample] = members;
    if (sample === undefined) return [];
    if (nowMs - (this._goneAtMs.get(getPool(sample)) ?? 0) < returnWaitMs) return [];
    const planned = placement.planGrowth(held, toCopyModel(profile));
    return planned.filter((span) => nowMs >= (this._retryAtMs.get(span.name) ?? 0));
  }

  private _isEmpty(member: Endpoint, nowMs: number): boolean {
    if (member.listed.layers.length > 0) return false;
    const pending = this._pending.get(member.id);
    if (pending !== undefined && nowMs < pending.dueAtMs) return false;
    return nowMs >= (this._retryAtMs.get(member.id) ?? 0);
  }

  private _isShown(endpoint: Endpoint): boolean {
    const span = this._pending.get(endpoint.id)?.span;
    const [layers] = endpoint.listed.layers;
    return span === undefined || (layers?.start === span.start && layers.end === span.end);
  }

  private _getHeld(members: readonly Endpoint[], profile: EngineProfile): placement.HeldSpan[] {
    return members.flatMap((member) => {
      const engine = toCopyEngine(member, profile);
      const pending = this._pending.get(member.id);
      const spans = pending === undefined ? member.listed.layers : [pending.span];
      return spans.map((span) => ({ engine, start: span.start, end: span.end }));
    });
  }

  /** Orders one engine, after a look at what it has been ordered already. */
  private async _order(span: placement.PlannedSpan, profile: EngineProfile): Promise<void> {
    const endpoint = this._structure.endpoints.get(span.name);
    if (endpoint === undefined) return;
    const nowMs = utils.monotonicMs();
    this._retryAtMs.set(span.name, nowMs + retryMs);
    const target = { id: endpoint.id, address: endpoint.listed.address };
    const report = await this._structure.orders.getReport(target, reportTimeoutMs);
    if (report.err) return this._note(endpoint, span, report.val.code);
    const isAsListed = report.val.layers.length === endpoint.listed.layers.length;
    if (report.val.isBusy || !isAsListed) return;
    if (!this._structure.mayOrder(endpoint.listed.availabilityZone)) return;
    const placed = await this._structure.orders.placeLayers(target, span, report.val.orderCount);
    this._note(endpoint, span, placed.ok ? "accepted" : placed.val.code);
    if (placed.err) return;
    const loadMs = (profile.loadMs * (span.end - span.start)) / profile.layerCount;
    this._pending.set(span.name, { span, dueAtMs: utils.monotonicMs() + loadMs + overdueMs });
  }

  private _note(endpoint: Endpoint, span: placement.PlannedSpan, outcome: string): void {
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
  }
}

function getPool(endpoint: Endpoint): string {
  return `${endpoint.listed.service}\u0000${endpoint.listed.availabilityZone}`;
}
