/** Makes plans from intents: what changes, where layers go, what that does to capacity. */
import { utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import * as placement from "@shedtiller/placement";
import type { EndpointDirectory, EngineReport } from "@shedtiller/routing";

/** Assumed rate of the weight store for the estimate, where nothing better is known. */
const layersPerSecond = 200;
const noLayers = "nothing";
/** An engine that the plan does not need gets no order, and serves nothing once another version is in force. */
const leftAsIs = "not needed, left as it is";

/** Makes plans against the configuration in force and the engines that are known. */
export class Planner {
  constructor(
    private readonly _fold: intent.ConfigurationProjection,
    private readonly _directory: EndpointDirectory,
    private readonly _instance: string,
  ) {}

  createPlan(stated: intent.Intent): intent.Plan {
    const draft: intent.Plan = {
      planId: `plan.${this._instance}.${utils.newId()}`,
      operator: stated.operator,
      madeBy: this._instance,
      baseOffset: this._fold.offset,
      changes: [],
      placement: [],
      capacity: [],
      affectedAccounts: [],
      loadMs: 0,
      warnings: [],
    };
    const taken = this._getTakenEngines(stated);
    for (const object of stated.objects) this._addObject(draft, object, taken);
    for (const key of stated.removals) this._addRemoval(draft, key);
    this._addAccounts(draft);
    return draft;
  }

  private _addObject(draft: intent.Plan, object: intent.ConfigurationObject, taken: Set<string>): void {
    const key = intent.getObjectKey(object);
    const value = object.kind === "pipeline" ? this._place(draft, object, taken) : object;
    if (object.kind === "account") this._checkAccount(draft, object);
    draft.changes.push({ key, baseOffset: this._fold.getBaseOffset(key), value });
  }

  private _addRemoval(draft: intent.Plan, key: string): void {
    const baseOffset = this._fold.getBaseOffset(key);
    if (!this._fold.getStoredObjects().has(key)) draft.warnings.push(`${key} is not there to be removed.`);
    draft.changes.push({ key, baseOffset, value: null });
    const [kind, name = ""] = key.split("/");
    const pipeline = kind === "pipeline" ? this._fold.getObject("pipeline", name) : undefined;
    if (pipeline === undefined) return;
    for (const report of this._getReports()) {
      if (report.model === name) this._addPlacementLine(draft, report, undefined, noLayers);
    }
  }

  private _checkAccount(draft: intent.Plan, account: intent.AccountObject): void {
    const isStated = draft.changes.some((change) => change.key === `class/${account.priorityClass}`);
    if (isStated || this._fold.getObject("class", account.priorityClass) !== undefined) return;
    draft.warnings.push(
      `The class ${account.priorityClass} of the account ${account.name} is not known (yet).`,
    );
  }

  /** Engines that pipelines which this intent does not touch hold or are to hold. */
  private _getTakenEngines(stated: intent.Intent): Set<string> {
    const stating = new Set([...stated.objects.map(intent.getObjectKey), ...stated.removals]);
    const taken = new Set<string>();
    for (const pipeline of this._fold.getObjects("pipeline")) {
      if (stating.has(intent.getObjectKey(pipeline))) continue;
      for (const name of Object.keys(pipeline.placement ?? {})) taken.add(name);
      for (const report of this._getReports()) if (report.model === pipeline.name) taken.add(report.name);
    }
    return taken;
  }

  /** Decides which engines hold which layers, taking no more of them than the asked capacity needs. */
  private _place(
    draft: intent.Plan,
    pipeline: intent.PipelineObject,
    taken: Set<string>,
  ): intent.PipelineObject {
    const free = this._getReports().filter((report) => !taken.has(report.name));
    const chosen = chooseEngines(free, pipeline);
    const engines = chosen.map((report) => this._toPlacementEngine(report));
    const ranges = placement.planPlacement(engines, pipeline.layerCount);
    for (const name of ranges.keys()) taken.add(name);
    for (const report of free) {
      const range = ranges.get(report.name);
      const isHeld = report.model === pipeline.name && report.layers !== undefined;
      if (range === undefined && !isHeld) continue;
      const after = range === undefined ? leftAsIs : describeRange(pipeline.name, pipeline.version, range);
      this._addPlacementLine(draft, report, range, after);
    }
    this._addCapacity(draft, pipeline, engines, ranges);
    const decided: Record<string, [number, number]> = {};
    for (const [name, [first, end]] of ranges) decided[name] = [first, end];
    return { ...pipeline, placement: decided };
  }

  private _addPlacementLine(
    draft: intent.Plan,
    report: EngineReport,
    range: placement.LayerRange | undefined,
    after: string,
  ): void {
    const before =
      report.layers === undefined ? noLayers : describeRange(report.model, report.version, report.layers);
    const availabilityZone = this._directory.getEntry(report.name)?.availabilityZone ?? "unknown";
    draft.placement.push({
      endpoint: report.name,
      availabilityZone,
      accelerator: report.accelerator,
      before,
      after,
    });
    if (before === after || range === undefined) return;
    draft.loadMs += ((range[1] - range[0]) / layersPerSecond) * utils.msPerSecond;
    if (before !== noLayers) draft.warnings.push(`${report.name} unloads ${before}.`);
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
    const held = new Map(reports.map((report) => [report.name, report.layers as placement.LayerRange]));
    const heldEngines = reports.map((report) => this._toPlacementEngine(report));
    const after = placement.getThroughput(engines, ranges, layerCount);
    const before = placement.getThroughput(heldEngines, held, layerCount);
    if (after < before) {
      draft.warnings.push(
        `The capacity of ${pipeline.name} falls from ${before.toFixed(0)} to ${after.toFixed(0)} tokens/s.`,
      );
    }
    this._warnOfZones(draft, pipeline, engines, ranges);
    draft.capacity.push({
      pipeline: pipeline.name,
      beforeTokensPerSecond: before,
      afterTokensPerSecond: after,
      boundTokensPerSecond: placement.getHardwareBound(engines, layerCount),
    });
    if (after <= 0) draft.warnings.push(`No free engines hold all ${layerCount} layers of ${pipeline.name}.`);
    else if (after < pipeline.tokensPerSecond) {
      const asked = pipeline.tokensPerSecond.toFixed(0);
      draft.warnings.push(
        `${pipeline.name} gets ${after.toFixed(0)} tokens/s of the ${asked} that are asked for.`,
      );
    }
  }

  /** Warns of availability zones whose own engines do not make a whole chain. */
  private _warnOfZones(
    draft: intent.Plan,
    pipeline: intent.PipelineObject,
    engines: readonly placement.PlacementEngine[],
    ranges: placement.Placement,
  ): void {
    const engineEntries = this._directory.getEntries().filter((entry) => entry.role === "engine");
    for (const zone of new Set(engineEntries.map((entry) => entry.availabilityZone))) {
      const own = engines.filter((engine) => engine.availabilityZone === zone);
      if (placement.getThroughput(own, ranges, pipeline.layerCount) > 0) continue;
      draft.warnings.push(
        `The availability zone ${zone} can't serve ${pipeline.name} by itself when it is cut off.`,
      );
    }
  }

  private _addAccounts(draft: intent.Plan): void {
    const affected = new Set<string>();
    for (const { value, key } of draft.changes) {
      if (value?.kind === "account") affected.add(value.name);
      const [kind, name] = key.split("/");
      if (kind === "class")
        for (const a of this._fold.getObjects("account")) if (a.priorityClass === name) affected.add(a.name);
      if (value?.kind !== "pipeline") continue;
      const accounts =
        value.clientAccounts.length > 0
          ? value.clientAccounts
          : this._fold.getObjects("account").map((a) => a.name);
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

/** Slots ÷ step time of one layer; an engine that holds nothing reports the step time of one layer. */
export function getLayersPerSecond(report: EngineReport): number {
  const held = report.layers === undefined ? 1 : report.layers[1] - report.layers[0];
  return (report.slots * held * utils.msPerSecond) / report.stepMs;
}

/** All free engines for an open-ended wish; else the fastest until the asked capacity is reached with some to spare. */
function chooseEngines(free: readonly EngineReport[], pipeline: intent.PipelineObject): EngineReport[] {
  if (pipeline.tokensPerSecond <= 0) return [...free];
  const spare = 1.15;
  const wanted = pipeline.tokensPerSecond * pipeline.layerCount * spare;
  const holding = (report: EngineReport): number => (report.model === pipeline.name ? 0 : 1);
  const sorted = [...free].sort(
    (a, b) => holding(a) - holding(b) || getLayersPerSecond(b) - getLayersPerSecond(a),
  );
  const chosen: EngineReport[] = [];
  let rate = 0;
  let memory = 0;
  for (const report of sorted) {
    if (rate >= wanted && memory >= pipeline.layerCount) break;
    chosen.push(report);
    rate += getLayersPerSecond(report);
    memory += report.memoryLayers;
  }
  return chosen;
}

function describeRange(model: string, version: string, [first, end]: placement.LayerRange): string {
  return `${model}@${version} [${first},${end})`;
}
