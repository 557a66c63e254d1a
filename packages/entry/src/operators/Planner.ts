/** Planning: derives the changes, the placement of layers and the resulting capacity from an intent. */
import { utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import * as placement from "@shedtiller/placement";
import type { EndpointDirectory, EngineReport } from "@shedtiller/routing";

/** Assumed rate at which the weight store delivers layers, for the estimate of the loading time. */
const assumedLoadLayersPerSecond = 200;
const noLayersText = "nothing";
/**
 * Placement text of an engine that the plan does not need. The engine gets no order, and serves nothing once another
 * version is in force.
 */
const unchangedText = "not needed, left as it is";

/** Creates plans against the configuration in force and the reports of the engines. */
export class Planner {
  constructor(
    private readonly _configuration: intent.ConfigurationProjection,
    private readonly _directory: EndpointDirectory,
    private readonly _instance: string,
  ) {}

  /** Creates the plan of an intent. */
  createPlan(submitted: intent.Intent): intent.Plan {
    const draft: intent.Plan = {
      planId: `plan.${this._instance}.${utils.newId()}`,
      operator: submitted.operator,
      madeBy: this._instance,
      baseOffset: this._configuration.offset,
      changes: [],
      placement: [],
      capacity: [],
      affectedAccounts: [],
      loadMs: 0,
      warnings: [],
    };
    const reserved = this._getReservedEngines(submitted);
    for (const object of submitted.objects) this._addObject(draft, object, reserved);
    for (const key of submitted.removals) this._addRemoval(draft, key);
    this._addAffectedAccounts(draft);
    return draft;
  }

  private _addObject(draft: intent.Plan, object: intent.ConfigurationObject, reserved: Set<string>): void {
    const key = intent.getObjectKey(object);
    const value = object.kind === "pipeline" ? this._placePipeline(draft, object, reserved) : object;
    if (object.kind === "account") this._checkAccount(draft, object);
    draft.changes.push({ key, baseOffset: this._configuration.getBaseOffset(key), value });
  }

  private _addRemoval(draft: intent.Plan, key: string): void {
    const baseOffset = this._configuration.getBaseOffset(key);
    if (!this._configuration.getStoredObjects().has(key))
      draft.warnings.push(`${key} does not exist and can't be removed.`);
    draft.changes.push({ key, baseOffset, value: null });
    const [kind, name = ""] = key.split("/");
    const pipeline = kind === "pipeline" ? this._configuration.getObject("pipeline", name) : undefined;
    if (pipeline === undefined) return;
    for (const report of this._getReports()) {
      if (report.model === name) this._addPlacementLine(draft, report, undefined, noLayersText);
    }
  }

  private _checkAccount(draft: intent.Plan, account: intent.AccountObject): void {
    const isInPlan = draft.changes.some((change) => change.key === `class/${account.priorityClass}`);
    if (isInPlan || this._configuration.getObject("class", account.priorityClass) !== undefined) return;
    draft.warnings.push(
      `The class ${account.priorityClass} of the account ${account.name} does not exist (yet).`,
    );
  }

  /** Returns the engines that have loaded, or are to load, layers of pipelines that the intent leaves unchanged. */
  private _getReservedEngines(submitted: intent.Intent): Set<string> {
    const submittedKeys = new Set([...submitted.objects.map(intent.getObjectKey), ...submitted.removals]);
    const reserved = new Set<string>();
    for (const pipeline of this._configuration.getObjects("pipeline")) {
      if (submittedKeys.has(intent.getObjectKey(pipeline))) continue;
      for (const name of Object.keys(pipeline.placement ?? {})) reserved.add(name);
      for (const report of this._getReports()) if (report.model === pipeline.name) reserved.add(report.name);
    }
    return reserved;
  }

  /** Assigns layers to engines, using no more engines than the requested capacity needs. */
  private _placePipeline(
    draft: intent.Plan,
    pipeline: intent.PipelineObject,
    reserved: Set<string>,
  ): intent.PipelineObject {
    const free = this._getReports().filter((report) => !reserved.has(report.name));
    const chosen = chooseEngines(free, pipeline);
    const engines = chosen.map((report) => this._toPlacementEngine(report));
    const ranges = placement.planPlacement(engines, pipeline.layerCount);
    for (const name of ranges.keys()) reserved.add(name);
    for (const report of free) {
      const range = ranges.get(report.name);
      const hasLoadedLayers = report.model === pipeline.name && report.layers !== undefined;
      if (range === undefined && !hasLoadedLayers) continue;
      const after =
        range === undefined ? unchangedText : describeRange(pipeline.name, pipeline.version, range);
      this._addPlacementLine(draft, report, range, after);
    }
    this._addCapacity(draft, pipeline, engines, ranges);
    const assigned: Record<string, [number, number]> = {};
    for (const [name, [first, end]] of ranges) assigned[name] = [first, end];
    return { ...pipeline, placement: assigned };
  }

  private _addPlacementLine(
    draft: intent.Plan,
    report: EngineReport,
    range: placement.LayerRange | undefined,
    after: string,
  ): void {
    const before =
      report.layers === undefined ? noLayersText : describeRange(report.model, report.version, report.layers);
    const availabilityZone = this._directory.getEntry(report.name)?.availabilityZone ?? "unknown";
    draft.placement.push({
      endpoint: report.name,
      availabilityZone,
      accelerator: report.accelerator,
      before,
      after,
    });
    if (before === after || range === undefined) return;
    draft.loadMs += ((range[1] - range[0]) / assumedLoadLayersPerSecond) * utils.msPerSecond;
    if (before !== noLayersText) draft.warnings.push(`${report.name} unloads ${before}.`);
  }

  private _addCapacity(
    draft: intent.Plan,
    pipeline: intent.PipelineObject,
    engines: readonly placement.PlacementEngine[],
    ranges: placement.Placement,
  ): void {
    const { layerCount } = pipeline;
    const reports = this._getReports().filter(
      (report) => report.model === pipeline.name && report.layers !== undefined,
    );
    const loadedLayers = new Map(
      reports.map((report) => [report.name, report.layers as placement.LayerRange]),
    );
    const loadedEngines = reports.map((report) => this._toPlacementEngine(report));
    const after = placement.getThroughput(engines, ranges, layerCount);
    const before = placement.getThroughput(loadedEngines, loadedLayers, layerCount);
    if (after < before) {
      draft.warnings.push(
        `The capacity of ${pipeline.name} falls from ${before.toFixed(0)} to ${after.toFixed(0)} tokens/s.`,
      );
    }
    this._warnAboutZones(draft, pipeline, engines, ranges);
    draft.capacity.push({
      pipeline: pipeline.name,
      beforeTokensPerSecond: before,
      afterTokensPerSecond: after,
      boundTokensPerSecond: placement.getHardwareBound(engines, layerCount),
    });
    if (after <= 0)
      draft.warnings.push(`The free engines can't hold all ${layerCount} layers of ${pipeline.name}.`);
    else if (after < pipeline.tokensPerSecond) {
      const requested = pipeline.tokensPerSecond.toFixed(0);
      draft.warnings.push(
        `${pipeline.name} gets ${after.toFixed(0)} tokens/s of the ${requested} that are requested.`,
      );
    }
  }

  /** Warns about availability zones whose own engines don't make up a complete chain. */
  private _warnAboutZones(
    draft: intent.Plan,
    pipeline: intent.PipelineObject,
    engines: readonly placement.PlacementEngine[],
    ranges: placement.Placement,
  ): void {
    const engineEntries = this._directory.getEntries().filter((entry) => entry.role === "engine");
    for (const zone of new Set(engineEntries.map((entry) => entry.availabilityZone))) {
      const zoneEngines = engines.filter((engine) => engine.availabilityZone === zone);
      if (placement.getThroughput(zoneEngines, ranges, pipeline.layerCount) > 0) continue;
      draft.warnings.push(
        `The availability zone ${zone} can't serve ${pipeline.name} by itself when it is cut off.`,
      );
    }
  }

  private _addAffectedAccounts(draft: intent.Plan): void {
    const affected = new Set<string>();
    for (const { value, key } of draft.changes) {
      if (value?.kind === "account") affected.add(value.name);
      const [kind, name] = key.split("/");
      if (kind === "class")
        for (const a of this._configuration.getObjects("account"))
          if (a.priorityClass === name) affected.add(a.name);
      if (value?.kind !== "pipeline") continue;
      const accounts =
        value.clientAccounts.length > 0
          ? value.clientAccounts
          : this._configuration.getObjects("account").map((a) => a.name);
      for (const account of accounts) affected.add(account);
    }
    draft.affectedAccounts = [...affected].sort();
  }

  private _getReports(): EngineReport[] {
    return this._directory
      .getEntries()
      .filter((entry) => !entry.isDraining && !entry.isUnreachable)
      .flatMap((entry) => entry.report ?? []);
  }

  private _toPlacementEngine(report: EngineReport): placement.PlacementEngine {
    return {
      name: report.name,
      availabilityZone: this._directory.getEntry(report.name)?.availabilityZone ?? "unknown",
      layersPerSecond: getLayersPerSecond(report),
      memoryLayers: report.memoryLayers,
    };
  }
}

/** Returns slots ÷ step time of one layer. An engine without loaded layers reports the step time of a single layer. */
export function getLayersPerSecond(report: EngineReport): number {
  const loadedCount = report.layers === undefined ? 1 : report.layers[1] - report.layers[0];
  return (report.slots * loadedCount * utils.msPerSecond) / report.stepMs;
}

/**
 * Chooses engines for a pipeline. Without a requested capacity, all free engines are chosen. Otherwise engines are added
 * until they exceed the requested capacity by 15 % and have memory for all layers: first the engines that serve the model
 * already, then the others, fastest first in each group.
 */
function chooseEngines(free: readonly EngineReport[], pipeline: intent.PipelineObject): EngineReport[] {
  if (pipeline.tokensPerSecond <= 0) return [...free];
  const capacityMargin = 1.15;
  const requiredRate = pipeline.tokensPerSecond * pipeline.layerCount * capacityMargin;
  const getServingOrder = (report: EngineReport): number => (report.model === pipeline.name ? 0 : 1);
  const sorted = [...free].sort(
    (a, b) => getServingOrder(a) - getServingOrder(b) || getLayersPerSecond(b) - getLayersPerSecond(a),
  );
  const chosen: EngineReport[] = [];
  let rate = 0;
  let memory = 0;
  for (const report of sorted) {
    if (rate >= requiredRate && memory >= pipeline.layerCount) break;
    chosen.push(report);
    rate += getLayersPerSecond(report);
    memory += report.memoryLayers;
  }
  return chosen;
}

function describeRange(model: string, version: string, [first, end]: placement.LayerRange): string {
  return `${model}@${version} [${first},${end})`;
}
