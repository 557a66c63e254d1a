/** Schema and loading of the settings of a gateway instance, which are sections of an INI file. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import { checkSections, SettingsError } from "@shedtiller/settings";
import * as zod from "zod";
import { defaultMaxBufferedBytes } from "./http/AnswerMemory.js";

/** Bytes of a megabyte in settings. */
export const bytesPerMb = 1024 * 1024;

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

/** `auto` switches a feature on where the deployment's configuration calls for it. */
const mode = zod.enum(["auto", "off"]);

export const gatewaySettingsSchema = zod.strictObject({
  instance: zod.strictObject({ name: text, availabilityZone: text }),
  callers: zod.strictObject({
    listen: socketAddress,
    readiness: socketAddress,
    /** Time that a planned stop has until the process is killed. */
    stopGraceS: zod.coerce.number().positive(),
  }),
  peers: zod.strictObject({
    host: text,
    port,
    /** Secret shared by all instances, which authenticates the links between peers. */
    secret: zod.string().min(16),
  }),
  metrics: zod.strictObject({ host: text, port }),
  configuration: zod.strictObject({
    /** Time after its acknowledgement by which a configuration has to be in force at every instance. */
    deadlineMs: milliseconds,
  }),
  keys: zod.strictObject({
    /** Whether all instances, including disconnected ones, must reject revoked keys within the bound. */
    isRevocationStrict: flag,
    /** Maximum time from the revocation of a key until it is rejected. */
    revocationBoundMs: milliseconds,
  }),
  retries: zod.strictObject({
    /** Maximum retries per request over all instances. */
    budgetRatio: zod.coerce.number().nonnegative(),
    /** Retries that all instances together may make in one window in addition to the ratio. */
    budgetSlack: zod.coerce.number().nonnegative(),
    /** Length of the window over which retries are counted. */
    budgetWindowS: zod.coerce.number().positive(),
  }),
  endpoints: zod
    .strictObject({
      /** Time for which an endpoint serves after it has stated that it drains. */
      drainMs: milliseconds.optional(),
    })
    .prefault({}),
  /** Bounds on the answers of endpoints. */
  answers: zod
    .strictObject({
      /** Memory for all answers that are being received; beyond it the largest one is given up. */
      maxBufferedMb: zod.coerce
        .number()
        .positive()
        .default(defaultMaxBufferedBytes / bytesPerMb),
    })
    .prefault({}),
  /** Decisions under load that the configuration may call for; `docs/INTERFACES.md` names the condition of each. */
  loadControl: zod
    .strictObject({
      /** Choice of chains by the forecast time to the first event. */
      firstEventForecast: mode.default("auto"),
      /** Admission by urgency over all instances. */
      urgencyLevels: mode.default("off"),
      /** Shares of each zone's requests that run in other zones. */
      zoneFlows: mode.default("auto"),
      /** Bound on the share of a zone's streams that one engine begins. */
      firstEngineShare: mode.default("off"),
      /** Moves of streams at the first sign of a lost engine, along chains that were computed before. */
      earlyMoves: mode.default("auto"),
      /** Fair shares of client accounts in what is admitted. */
      accountShares: mode.default("off"),
      /** Concurrency of plain endpoints over all instances. */
      endpointConcurrency: mode.default("auto"),
    })
    .prefault({}),
  store: zod.strictObject({ address: text, leaseMinimumMs: milliseconds, seeds: addressList.default([]) }),
});
export type LoadControlSettings = zod.infer<typeof gatewaySettingsSchema>["loadControl"];
export type GatewaySettings = zod.infer<typeof gatewaySettingsSchema>;

/** Reads and validates a settings file, and returns all errors together. */
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

/** Returns the names of the sections in which two settings differ. */
export function getChangedSections(before: GatewaySettings, after: GatewaySettings): string[] {
  const sections = Object.keys(after) as (keyof GatewaySettings)[];
  return sections.filter((section) => JSON.stringify(before[section]) !== JSON.stringify(after[section]));
}
