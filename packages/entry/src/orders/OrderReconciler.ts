/** Reconciliation of the engines with the placement in force, by the one instance per zone that holds the zone's lease. */
import { utils } from "@shedtiller/common";
import type { ConfigurationProjection, PipelineObject } from "@shedtiller/intent";
import { sendOrder, type LeaseHolder, type Order } from "@shedtiller/lease";
import type { Member, Membership } from "@shedtiller/membership";
import type { EndpointDirectory, EndpointEntry } from "@shedtiller/routing";
import type { Timeline } from "@shedtiller/timeline";
import type { VersionsInUse } from "../feeds/VersionsInUse.js";
import { getZoneSource } from "../feeds/zoneStateMessages.js";
import type { VersionRetirement } from "./VersionRetirement.js";
import type { ComponentLog } from "../logs/createLogs.js";
import { getCompleteVersions } from "./servedVersions.js";

const tickMs = 250;
/**
 * Time after which an order expires: engines that check orders reject it then. It is shorter than the final part of a lease,
 * in which the lease holder may no longer act.
 */
export const orderValidityMs = 2_000;
const drainTimeoutMs = 30_000;
/** An engine counts as loading until its first report after an order, but for no longer than this time. */
const maxLoadMs = 30_000;

/** Layers of a version that an engine is to load according to the configuration in force. */
export interface DesiredLayers {
  readonly model: string;
  readonly version: string;
  readonly layers: [number, number];
}

/** Dependencies of {@link OrderReconciler}. */
export interface OrderReconcilerStructure {
  readonly configuration: ConfigurationProjection;
  readonly directory: EndpointDirectory;
  readonly membership: Membership;
  readonly versions: VersionsInUse;
  readonly retirement: VersionRetirement;
  readonly holder: LeaseHolder;
  readonly timeline: Timeline;
  readonly log: ComponentLog;
}

/** Orders the engines of this instance's zone, one at a time, to load the layers of the placement in force. */
export class OrderReconciler {
  private readonly _drainingSinceMs = new Map<string, number>();
  /** Monotonic time until which orders of an older lease may arrive. Engines that don't check orders receive no order until then. */
  private _olderOrdersExpireAtMs = 0;
  private _lastToken: number | undefined;
  /** Monotonic time of the last order to each engine. */
  private readonly _orderedAtMs = new Map<string, number>();
  /** Last logged reason why an engine that is to load other layers has received no order yet, by the engine's name. */
  private readonly _blockers = new Map<string, string>();

  constructor(private readonly _structure: OrderReconcilerStructure) {}

  /** Reconciles until `signal` aborts, then releases the lease. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      tickMs,
      signal,
      () => this._tick(),
      () => undefined,
    );
    await this._structure.holder.release();
  }

  private async _tick(): Promise<void> {
    const { membership, holder, configuration, directory } = this._structure;
    const due = this._findEnginesToOrder();
    this._removeSettled();
    if (due.length === 0) return;
    if (!membership.ownsZoneRole("orders"))
      return this._logBlockers(due, "another instance sends the orders");
    if (!(await holder.acquireOrRenew()))
      return this._logBlockers(due, "this instance does not hold the lease");
    this._recordToken(holder.getToken());
    // If no engine can be spared, the placement can be reached only through a gap without a complete chain. While engines
    // are loading, waiting may avoid the gap.
    const isGapNeeded =
      !this._isLoading() && due.every((entry) => !hasChainWithout(configuration, directory, entry));
    for (const entry of due) {
      const desired = getDesiredLayers(configuration, entry.name);
      if (desired === undefined) continue;
      const blocker =
        this._getBlocker(entry, isGapNeeded) ?? (await this._requestRetirement(entry, isGapNeeded));
      this._logBlockers([entry], blocker);
      if (blocker !== undefined) continue;
      await this._sendOrder(entry, desired);
      return;
    }
  }

  /** Removes the draining times and blockers of engines that have loaded their layers or are gone. */
  private _removeSettled(): void {
    const { directory, configuration } = this._structure;
    for (const records of [this._drainingSinceMs, this._blockers]) {
      for (const name of records.keys()) {
        const entry = directory.getEntry(name);
        const isSettled =
          entry?.report !== undefined && hasDesiredLayers(entry, getDesiredLayers(configuration, name));
        if (entry === undefined || isSettled) records.delete(name);
      }
    }
  }

  /** Returns whether engines of this zone are loading layers that they were ordered to load. */
  private _isLoading(): boolean {
    const { directory, membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const earliestMs = utils.monotonicMs() - maxLoadMs;
    return directory.getEntries().some((entry) => {
      if (entry.availabilityZone !== zone || entry.isDraining || entry.isUnreachable) return false;
      if (entry.report !== undefined) return entry.report.state === "loading";
      return (this._orderedAtMs.get(entry.name) ?? Number.NEGATIVE_INFINITY) >= earliestMs;
    });
  }

  /**
   * Returns why an engine's chain must not be reconfigured yet according to the reports received: the chain is the only
   * complete one, or the last complete one of a version that some instance may still use.
   */
  private _getChainBlocker(entry: EndpointEntry): string | undefined {
    const { directory, versions } = this._structure;
    const lastChain = this._getLastChain(entry);
    if (lastChain === undefined) return undefined;
    const { pipeline, version } = lastChain;
    if (getCompleteVersions(directory, pipeline, entry).length === 0)
      return "no chain is complete without it";
    const users = versions.getUsers(pipeline, version, this._getSources());
    return users.length === 0 ? undefined : `version ${version} may be in use at ${users.join(", ")}`;
  }

  /** Returns the version whose last complete chain an engine is part of; undefined if another chain is complete. */
  private _getLastChain(entry: EndpointEntry): { pipeline: PipelineObject; version: string } | undefined {
    const { configuration, directory } = this._structure;
    const { report } = entry;
    const pipeline = report === undefined ? undefined : configuration.getObject("pipeline", report.model);
    if (report?.layers === undefined || pipeline === undefined) return undefined;
    if (getCompleteVersions(directory, pipeline, entry).includes(report.version)) return undefined;
    return { pipeline, version: report.version };
  }

  /**
   * Requests all instances to start no requests on a version whose last chain is about to be reconfigured. Returns why the
   * chain must not be reconfigured yet, or undefined.
   */
  private async _requestRetirement(entry: EndpointEntry, isGapNeeded: boolean): Promise<string | undefined> {
    const lastChain = this._getLastChain(entry);
    if (lastChain === undefined) return undefined;
    const blocker = await this._structure.retirement.getBlocker(
      lastChain.pipeline,
      lastChain.version,
      isGapNeeded,
    );
    if (blocker === undefined || !isGapNeeded) return blocker;
    // During a gap no new requests can be served, so streams in flight delay the order by the drain timeout at most.
    this._recordDraining(entry);
    return this._hasDrained(entry) ? undefined : blocker;
  }

  /** Returns the sources of reports on versions in use: the linked instances of this zone, and the other linked zones. */
  private _getSources(): Set<string> {
    const { membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const getSource = (member: Member): string =>
      member.availabilityZone === zone ? member.name : getZoneSource(member.availabilityZone);
    return new Set(membership.getLinked().map(getSource));
  }

  private _recordToken(token: number | undefined): void {
    if (token === undefined || token === this._lastToken) return;
    if (this._lastToken === undefined) this._olderOrdersExpireAtMs = utils.monotonicMs() + orderValidityMs;
    this._lastToken = token;
  }

  /** Returns the engines of this zone that are live and have not loaded the layers of the placement. */
  private _findEnginesToOrder(): EndpointEntry[] {
    const { directory, membership, configuration } = this._structure;
    const zone = membership.self.availabilityZone;
    return directory.getEntries().filter((entry) => {
      if (entry.availabilityZone !== zone || entry.isDraining || entry.isUnreachable) return false;
      return (
        entry.report?.state === "live" &&
        !hasDesiredLayers(entry, getDesiredLayers(configuration, entry.name))
      );
    });
  }

  /**
   * Returns why an engine must not receive its order yet, or undefined. The order is sent once the engine has no streams or
   * its drain has timed out. Unless a gap is needed, its model must keep a complete chain without the engine, and the engine
   * must not be part of the last chain of a version in use.
   */
  private _getBlocker(entry: EndpointEntry, isGapNeeded: boolean): string | undefined {
    const { report } = entry;
    if (report === undefined) return "it has not reported";
    const isSafe = report.checksOrders || utils.monotonicMs() >= this._olderOrdersExpireAtMs;
    if (!isSafe) return "orders of an older lease may still be in flight";
    const chainBlocker = isGapNeeded ? undefined : this._getChainBlocker(entry);
    if (chainBlocker !== undefined) return chainBlocker;
    if (report.layers === undefined || report.activeStreams === 0) return undefined;
    this._recordDraining(entry);
    return this._hasDrained(entry) ? undefined : "it has streams in flight";
  }

  private _recordDraining({ name }: EndpointEntry): void {
    if (!this._drainingSinceMs.has(name)) this._drainingSinceMs.set(name, utils.monotonicMs());
  }

  private _hasDrained(entry: EndpointEntry): boolean {
    const sinceMs = this._drainingSinceMs.get(entry.name);
    return sinceMs !== undefined && utils.monotonicMs() - sinceMs > drainTimeoutMs;
  }

  /** Logs why engines receive no order yet, if the reason has changed. */
  private _logBlockers(entries: readonly EndpointEntry[], blocker: string | undefined): void {
    for (const { name } of entries) {
      if (this._blockers.get(name) === blocker) continue;
      if (blocker === undefined) this._blockers.delete(name);
      else this._blockers.set(name, blocker);
      if (blocker !== undefined) this._structure.log.info(`${name} is not ordered yet: ${blocker}.`);
    }
  }

  private async _sendOrder(entry: EndpointEntry, desired: DesiredLayers): Promise<void> {
    const { holder, timeline, log } = this._structure;
    // The lease is checked again just before the order is sent, since this process may have been suspended meanwhile.
    const fencingToken = holder.getToken();
    if (fencingToken === undefined) return;
    const order: Order = { fencingToken, expiresAtMs: utils.wallMs() + orderValidityMs, ...desired };
    timeline.add("order-sent", {
      subject: entry.name,
      detail: `${desired.model}@${desired.version} [${desired.layers.join(",")})`,
    });
    this._orderedAtMs.set(entry.name, utils.monotonicMs());
    const sent = await sendOrder(entry.name, entry.address, order);
    this._drainingSinceMs.delete(entry.name);
    if (sent.err) log.warn(sent.val.message);
    else
      log.info(
        `Ordered ${entry.name} to load ${desired.model}@${desired.version} [${desired.layers.join(",")}).`,
      );
    // The engine's next report shows the outcome. Until then the engine receives no further order and does not count as done.
    entry.report = undefined;
  }
}

/** Returns the layers that the configuration assigns to an engine; undefined if it assigns none. */
export function getDesiredLayers(
  configuration: ConfigurationProjection,
  endpoint: string,
): DesiredLayers | undefined {
  for (const pipeline of configuration.getObjects("pipeline")) {
    const layers = pipeline.placement?.[endpoint];
    if (layers !== undefined) return toDesiredLayers(pipeline, layers);
  }
  return undefined;
}

function toDesiredLayers(pipeline: PipelineObject, layers: [number, number]): DesiredLayers {
  return { model: pipeline.name, version: pipeline.version, layers };
}

function hasDesiredLayers(entry: EndpointEntry, desired: DesiredLayers | undefined): boolean {
  const report = entry.report;
  if (desired === undefined || report === undefined) return true;
  const isSameModel = report.model === desired.model && report.version === desired.version;
  return isSameModel && report.layers?.[0] === desired.layers[0] && report.layers[1] === desired.layers[1];
}

/** Returns whether the model that an engine serves now keeps a complete chain of some version without that engine. */
function hasChainWithout(
  configuration: ConfigurationProjection,
  directory: EndpointDirectory,
  entry: EndpointEntry,
): boolean {
  const { report } = entry;
  const pipeline = report === undefined ? undefined : configuration.getObject("pipeline", report.model);
  if (report?.layers === undefined || pipeline === undefined) return true;
  return getCompleteVersions(directory, pipeline, entry).length > 0;
}

/** Marks the engines that are to load other layers, so that new requests avoid them. */
export function markRetiringEngines(
  configuration: ConfigurationProjection,
  directory: EndpointDirectory,
): void {
  for (const entry of directory.getEntries())
    entry.isRetiring = !hasDesiredLayers(entry, getDesiredLayers(configuration, entry.name));
}
