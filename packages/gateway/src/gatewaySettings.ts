/** Settings of a gateway instance: INI sections with checked values. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import { checkSections, SettingsError } from "@shedtiller/settings";
import * as zod from "zod";

const text = zod.string().min(1);
const port = zod.coerce.number().int().min(1).max(65_535);
const milliseconds = zod.coerce.number().nonnegative();
const flag = zod.enum(["true", "false"]).transform((value) => value === "true");

/** `IP:PORT` */
const socketAddress = zod
  .string()
  .regex(/^[^:\s]+:\d+$/, "must be IP:PORT")
  .transform((value) => {
    const [host = "", portText = ""] = value.split(":");
    return { host, port: Number(portText) };
  });

const addressList = zod.string().transform((value) =>
  value
    .split(",")
    .map((item) => item.trim())
    .filter((item) => item !== ""),
);

export const gatewaySettingsSchema = zod.strictObject({
  instance: zod.strictObject({ name: text, availabilityZone: text }),
  callers: zod.strictObject({
    listen: socketAddress,
    readiness: socketAddress,
    /** A planned stop has this long until the process is killed. */
    stopGraceS: zod.coerce.number().positive(),
  }),
  peers: zod.strictObject({
    host: text,
    port,
    /** Shared by all instances; it keeps strangers out of the peer links. */
    secret: zod.string().min(16),
  }),
  metrics: zod.strictObject({ host: text, port }),
  configuration: zod.strictObject({
    /** Within this of its acknowledgement a configuration has to be in force at every instance. */
    deadlineMs: milliseconds,
  }),
  keys: zod.strictObject({
    /** Whether keys that were taken away must be refused in time, also by instances that are cut off. */
    isRevocationStrict: flag,
    revocationBoundMs: milliseconds,
  }),
  retries: zod.strictObject({
    /** Retries over all instances for each request. */
    budgetRatio: zod.coerce.number().nonnegative(),
    /** Retries over all instances beyond the ratio in one window. */
    budgetSlack: zod.coerce.number().nonnegative(),
    /** The time over which retries are counted. */
    budgetWindowS: zod.coerce.number().positive(),
  }),
  store: zod.strictObject({ address: text, leaseMinimumMs: milliseconds, seeds: addressList.default([]) }),
});
export type GatewaySettings = zod.infer<typeof gatewaySettingsSchema>;

/** Reads and checks a settings file; all faults are told together. */
export function loadGatewaySettings(file: string): results.Result<GatewaySettings, SettingsError> {
  let content: string;
  try {
    content = fs.readFileSync(file, "utf8");
  } catch (error) {
    return results.Err(new SettingsError([new errors.InvalidInputError(file, errors.describeError(error))]));
  }
  const checked = checkSections(gatewaySettingsSchema, content, file);
  return checked.ok ? results.Ok(checked.val.settings) : checked;
}
