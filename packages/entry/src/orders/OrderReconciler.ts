/** Brings engines to the placement in force: one instance a zone, under a lease, a few engines at a time. */
import { utils } from "@shedtiller/common";
import type { ConfigurationProjection, PipelineObject } from "@shedtiller/intent";
import { sendOrder, type LeaseHolder, type Order } from "@shedtiller/lease";
import type { Member, Membership } from "@shedtiller/membership";
import type { EndpointDirectory, EndpointEntry } from "@shedtiller/routing";
import type { Timeline } from "@shedtiller/timeline";
import type { VersionsInUse } from "../feeds/VersionsInUse.js";
import { getZoneSource } from "../feeds/zoneFeedMessages.js";
import type { VersionRetirement } from "./VersionRetirement.js";
import type { ComponentLog } from "../logs/createLogs.js";
import { getWholeVersions } from "./servedVersions.js";

const tickMs = 250;
/** Life of an order, after which engines that check it drop it. Shorter than the unusable part of a lease. */
export const orderValidityMs = 2_000;
const drainTimeoutMs = 30_000;
/** An engine that has not reported for this long after an order counts as loading no more. */
const longestOrderMs = 30_000;

/** What an engine is to hold, by the configuration in force. */
export interface DesiredLayers {
  readonly model: string;
  readonly version: string;
  readonly layers: [number, number];
}

/** What the keeper works on. */
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

/** Sends orders while it holds its zone's lease. */
export class OrderReconciler {
  private readonly _drainingSinceMs = new Map<string, number>();
  /** Engines that don't check orders get none before an older lease's orders have died out. */
  private _quietUntilMs = 0;
  private _lastToken: number | undefined;
  /** When each engine was last ordered. */
  private readonly _orderedAtMs = new Map<string, number>();
  /** Why each engine that is to hold something else has got no order yet, as it was last logged. */
  private readonly _holds = new Map<string, string>();

  constructor(private readonly _structure: OrderReconcilerStructure) {}

  /** Runs until `signal` aborts, then gives the lease back. */
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
    const { membership, holder, configuration: fold, directory } = this._structure;
    const due = this._findDue();
    this._forgetSettled();
    if (due.length === 0) return;
    if (!membership.ownsZoneRole("orders")) return this._noteHolds(due, "another instance gives the orders");
    if (!(await holder.acquireOrRenew())) return this._noteHolds(due, "the lease is not ours");
    this._noteToken(holder.getToken());
    // Where no engine can be spared, there is no way to the wanted placement but through a gap; but engines that load may soon make one.
    const isGapNeeded = !this._isLoading() && due.every((entry) => !keepsChain(fold, directory, entry));
    for (const entry of due) {
      const wanted = getDesiredLayers(fold, entry.name);
      if (wanted === undefined) continue;
      const hold = this._getHold(entry, isGapNeeded) ?? (await this._askToRetire(entry, isGapNeeded));
      this._noteHolds([entry], hold);
      if (hold !== undefined) continue;
      await this._order(entry, wanted);
      return;
    }
  }

  /** Forgets what was noted of engines that hold what they are to hold: the next order to them is another matter. */
  private _forgetSettled(): void {
    const { directory, configuration: fold } = this._structure;
    for (const noted of [this._drainingSinceMs, this._holds]) {
      for (const name of noted.keys()) {
        const entry = directory.getEntry(name);
        const isSettled = entry?.report !== undefined && isAsWanted(entry, getDesiredLayers(fold, name));
        if (entry === undefined || isSettled) noted.delete(name);
      }
    }
  }

  /** Whether engines of our zone load what they were ordered to hold. */
  private _isLoading(): boolean {
    const { directory, membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const earliestMs = utils.monotonicMs() - longestOrderMs;
    return directory.getEntries().some((entry) => {
      if (entry.availabilityZone !== zone || entry.isDraining || entry.isUnreachable) return false;
      if (entry.report !== undefined) return entry.report.state === "loading";
      return (this._orderedAtMs.get(entry.name) ?? Number.NEGATIVE_INFINITY) >= earliestMs;
    });
  }

  /**
   * Why the chain that an engine is part of must not be broken up yet, by what was told: it is the only whole one, or the last one of a
   * version that some instance still uses.
   */
  private _getChainHold(entry: EndpointEntry): string | undefined {
    const { directory, versions } = this._structure;
    const held = this._getLastHeld(entry);
    if (held === undefined) return undefined;
    const { pipeline, version } = held;
    if (getWholeVersions(directory, pipeline, entry).length === 0) return "no chain is whole without it";
    const users = versions.getUsers(pipeline, version, this._getSources());
    return users.length === 0 ? undefined : `version ${version} may be in use at ${users.join(", ")}`;
  }

  /** The version of which an engine is part of the last whole chain; undefined where there is another. */
  private _getLastHeld(entry: EndpointEntry): { pipeline: PipelineObject; version: string } | undefined {
    const { configuration: fold, directory } = this._structure;
    const { report } = entry;
    const pipeline = report === undefined ? undefined : fold.getObject("pipeline", report.model);
    if (report?.layers === undefined || pipeline === undefined) return undefined;
    if (getWholeVersions(directory, pipeline, entry).includes(report.version)) return undefined;
    return { pipeline, version: report.version };
  }

  /** Asks all instances to begin nothing on a version whose last chain is about to be broken up. */
  private async _askToRetire(entry: EndpointEntry, isGapNeeded: boolean): Promise<string | undefined> {
    const held = this._getLastHeld(entry);
    if (held === undefined) return undefined;
    const hold = await this._structure.retirement.getHold(held.pipeline, held.version, isGapNeeded);
    if (hold === undefined || !isGapNeeded) return hold;
    // Through a gap nobody can be served meanwhile whoever is waited for, so that the streams have a drain's time, and no more.
    this._noteDraining(entry);
    return this._hasDrained(entry) ? undefined : hold;
  }

  /** Who tells what it uses: the linked instances of the zone, and the other zones. */
  private _getSources(): Set<string> {
    const { membership } = this._structure;
    const zone = membership.self.availabilityZone;
    const getSource = (member: Member): string =>
      member.availabilityZone === zone ? member.name : getZoneSource(member.availabilityZone);
    return new Set(membership.getLinked().map(getSource));
  }

  private _noteToken(token: number | undefined): void {
    if (token === undefined || token === this._lastToken) return;
    if (this._lastToken === undefined) this._quietUntilMs = utils.monotonicMs() + orderValidityMs;
    this._lastToken = token;
  }

  /** Engines of our zone that do not hold what they are to hold. */
  private _findDue(): EndpointEntry[] {
    const { directory, membership, configuration: fold } = this._structure;
    const zone = membership.self.availabilityZone;
    return directory.getEntries().filter((entry) => {
      if (entry.availabilityZone !== zone || entry.isDraining || entry.isUnreachable) return false;
      return entry.report?.state === "live" && !isAsWanted(entry, getDesiredLayers(fold, entry.name));
    });
  }

  /**
   * Why an engine must not be changed yet, or undefined. It may be once no stream runs there, or after a while; and only if the model that
   * it serves now keeps a whole chain without it, or it holds nothing that is in use.
   */
  private _getHold(entry: EndpointEntry, isGapNeeded: boolean): string | undefined {
    const { report } = entry;
    if (report === undefined) return "it has not reported";
    const isChecked = report.checksOrders || utils.monotonicMs() >= this._quietUntilMs;
    if (!isChecked) return "orders of an older lease may still be on their way";
    const chainHold = isGapNeeded ? undefined : this._getChainHold(entry);
    if (chainHold !== undefined) return chainHold;
    if (report.layers === undefined || report.activeStreams === 0) return undefined;
    this._noteDraining(entry);
    return this._hasDrained(entry) ? undefined : "streams run there";
  }

  private _noteDraining({ name }: EndpointEntry): void {
    if (!this._drainingSinceMs.has(name)) this._drainingSinceMs.set(name, utils.monotonicMs());
  }

  private _hasDrained(entry: EndpointEntry): boolean {
    const sinceMs = this._drainingSinceMs.get(entry.name);
    return sinceMs !== undefined && utils.monotonicMs() - sinceMs > drainTimeoutMs;
  }

  /** Logs why engines get no order where that has changed. */
  private _noteHolds(entries: readonly EndpointEntry[], hold: string | undefined): void {
    for (const { name } of entries) {
      if (this._holds.get(name) === hold) continue;
      if (hold === undefined) this._holds.delete(name);
      else this._holds.set(name, hold);
      if (hold !== undefined) this._structure.log.info(`${name} is not ordered yet: ${hold}.`);
    }
  }

  private async _order(entry: EndpointEntry, wanted: DesiredLayers): Promise<void> {
    const { holder, timeline, log } = this._structure;
    // Asked again just before the order goes out: this process may have stood still since the last time.
    const fencingToken = holder.getToken();
    if (fencingToken === undefined) return;
    const order: Order = { fencingToken, expiresAtMs: utils.wallMs() + orderValidityMs, ...wanted };
    timeline.add("order-sent", {
      subject: entry.name,
      detail: `${wanted.model}@${wanted.version} [${wanted.layers.join(",")})`,
    });
    this._orderedAtMs.set(entry.name, utils.monotonicMs());
    const sent = await sendOrder(entry.name, entry.address, order);
    this._drainingSinceMs.delete(entry.name);
    if (sent.err) log.warn(sent.val.message);
    else
      log.info(
        `Ordered ${entry.name} to hold ${wanted.model}@${wanted.version} [${wanted.layers.join(",")}).`,
      );
    // What became of it shows in the engine's next report; only then is it ordered again or counted as done.
    entry.report = undefined;
  }
}

/** What the configuration wants an engine to hold; undefined where it says nothing of it. */
export function getDesiredLayers(fold: ConfigurationProjection, endpoint: string): DesiredLayers | undefined {
  for (const pipeline of fold.getObjects("pipeline")) {
    const layers = pipeline.placement?.[endpoint];
    if (layers !== undefined) return toHolding(pipeline, layers);
  }
  return undefined;
}

function toHolding(pipeline: PipelineObject, layers: [number, number]): DesiredLayers {
  return { model: pipeline.name, version: pipeline.version, layers };
}

function isAsWanted(entry: EndpointEntry, wanted: DesiredLayers | undefined): boolean {
  const report = entry.report;
  if (wanted === undefined || report === undefined) return true;
  const isSameModel = report.model === wanted.model && report.version === wanted.version;
  return isSameModel && report.layers?.[0] === wanted.layers[0] && report.layers[1] === wanted.layers[1];
}

/** Whether the model that an engine serves now keeps a whole chain, of some version, without that engine. */
function keepsChain(
  fold: ConfigurationProjection,
  directory: EndpointDirectory,
  entry: EndpointEntry,
): boolean {
  const { report } = entry;
  const pipeline = report === undefined ? undefined : fold.getObject("pipeline", report.model);
  if (report?.layers === undefined || pipeline === undefined) return true;
  return getWholeVersions(directory, pipeline, entry).length > 0;
}

/** Marks the engines that are to hold something else. */
export function markRetiringEngines(fold: ConfigurationProjection, directory: EndpointDirectory): void {
  for (const entry of directory.getEntries())
    entry.isRetiring = !isAsWanted(entry, getDesiredLayers(fold, entry.name));
}
