/** `shedtiller status`: shows the configuration offset, its age and the reachability of each instance. */
import { instanceStatusSchema } from "@shedtiller/entry";
import * as zod from "zod";
import {
  callOperator,
  exitCodes,
  failWithError,
  print,
  type CommonOptions,
  type ExitCode,
} from "./CommandContext.js";

const statusSchema = zod.object({
  askedInstance: zod.string(),
  instances: zod.array(instanceStatusSchema),
  unreached: zod.array(
    zod.object({ name: zod.string(), availabilityZone: zod.string(), sinceMs: zod.number().optional() }),
  ),
});

type Status = zod.infer<typeof statusSchema>;
const msPerSecond = 1000;

/** Prints the status of all instances; returns exit code 1 if an instance was not reached. */
export async function runStatus(options: CommonOptions): Promise<ExitCode> {
  const answer = await callOperator(options, "GET", "/v1/status");
  if (answer.err) return failWithError(answer.val);
  const status = statusSchema.parse(answer.val.body);
  if (options.json === true) print(JSON.stringify(answer.val.body));
  else printStatus(status);
  return status.unreached.length === 0 ? exitCodes.ok : exitCodes.negativeResult;
}

function printStatus(status: Status): void {
  print(`Status as gathered by ${status.askedInstance}:`);
  for (const instance of status.instances) print(`  ${describeInstance(instance)}`);
  for (const { name, availabilityZone, sinceMs } of status.unreached) {
    const since = sinceMs === undefined ? "" : ` since ${new Date(sinceMs).toISOString()}`;
    print(`  ${name.padEnd(12)} ${availabilityZone.padEnd(14)} not reached${since}`);
  }
}

function describeInstance(instance: Status["instances"][number]): string {
  const { name, availabilityZone, offset, offsetSinceMs, logAgeMs, activeRequests } = instance;
  const age = `${((Date.now() - offsetSinceMs) / msPerSecond).toFixed(0)} s`;
  const log =
    logAgeMs === undefined ? "log never reached" : `log reached ${(logAgeMs / msPerSecond).toFixed(1)} s ago`;
  const parts = [
    name.padEnd(12),
    availabilityZone.padEnd(14),
    `offset ${offset} for ${age}`,
    log,
    `${activeRequests} requests`,
  ];
  if (instance.isDraining) parts.push("draining");
  else if (!instance.isReady) parts.push("not ready");
  if (instance.cutOffSinceMs !== undefined)
    parts.push(`cut off since ${new Date(instance.cutOffSinceMs).toISOString()}`);
  if (instance.unknownRecords > 0) parts.push(`${instance.unknownRecords} records of an unknown version`);
  return parts.join("  ");
}
