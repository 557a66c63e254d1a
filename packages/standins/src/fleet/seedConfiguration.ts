/** Initial configuration of a fleet, written to the log as a plan that an operator has confirmed. */
import { utils } from "@shedtiller/common";
import * as intent from "@shedtiller/intent";
import type { StandInLog } from "../platform/StandInLog.js";
import type { FleetStructure } from "./FleetStructure.js";

/** Returns the number of layers of a model: the highest end of the layer ranges that the endpoints have loaded. */
export function getLayerCount(structure: FleetStructure, model: string): number {
  const ends = structure.endpoints
    .filter((engine) => engine.model === model)
    .map((engine) => engine.layers[1]);
  return Math.max(0, ...ends);
}

/** Returns the name of the priority class with a rank. */
export function getClassName(rank: number): string {
  return `priority-${rank}`;
}

/** Appends the initial confirmation to the log, and returns the API key of each account. */
export function seedConfiguration(structure: FleetStructure, log: StandInLog): Map<string, string> {
  const keys = new Map<string, string>();
  const objects: intent.ConfigurationObject[] = [];
  for (const rank of new Set(structure.clientAccounts.map((account) => account.priority))) {
    objects.push({ kind: "class", name: getClassName(rank), rank, floorShare: 0 });
  }
  for (const { name, priority, concurrency, tokensPerMinute } of structure.clientAccounts) {
    const key = intent.createAccountKey();
    keys.set(name, key.text);
    const priorityClass = getClassName(priority);
    objects.push({ kind: "account", name, priorityClass, keys: [key.stored], concurrency, tokensPerMinute });
  }
  for (const { name, repeatable } of structure.services) objects.push({ kind: "service", name, repeatable });
  for (const model of new Set(structure.endpoints.map((engine) => engine.model))) {
    const version = structure.endpoints.find((engine) => engine.model === model)?.version ?? "1";
    const layerCount = getLayerCount(structure, model);
    objects.push({
      kind: "pipeline",
      name: model,
      version,
      layerCount,
      tokensPerSecond: 0,
      clientAccounts: [],
    });
  }
  const planId = utils.newId();
  const record: intent.ConfirmRecord = {
    version: intent.recordVersion,
    type: "confirm",
    planId,
    operator: "setup",
    changes: objects.map((value) => ({
      key: intent.getObjectKey(value),
      baseOffset: intent.absentOffset,
      value,
    })),
  };
  log.seed(intent.configurationStream, planId, record);
  return keys;
}
