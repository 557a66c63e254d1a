/** Schema of the settings of an entry instance. */
import * as zod from "zod";

const address = zod
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
    "expected an IP address and a port, such as 10.0.0.1:8080",
  );
const positive = zod.coerce.number().positive();
const sizeBytes = zod.coerce.number().int().positive();
const name = zod
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, "expected a name of letters, digits, dots, dashes and underscores");
const filePath = zod.string().min(1);

export const instanceSettingsSchema = zod.strictObject({
  instance: zod.strictObject({
    name,
    availabilityZone: name,
    callerAddress: address,
    operatorAddress: address,
    peerAddress: address,
  }),
  platform: zod.strictObject({
    logAddress: address,
    instanceListAddress: address,
    appendsPerSecond: positive.default(100),
    /** Time for which the log service retains records. */
    logRetentionMs: positive.default(86_400_000),
  }),
  security: zod
    .strictObject({
      /** File with the shared secret by which instances authenticate each other; if absent, SHEDTILLER_PEER_SECRET is used. */
      peerSecretFile: filePath.optional(),
      /** File with the operators' token hash as printed by `shedtiller key`; if absent, SHEDTILLER_OPERATOR_TOKEN_HASH is used. */
      operatorTokenHashFile: filePath.optional(),
      tlsCertificateFile: filePath.optional(),
      tlsKeyFile: filePath.optional(),
    })
    .prefault({}),
  limits: zod
    .strictObject({
      bodySizeBytes: sizeBytes.default(1_048_576),
      headerSizeBytes: sizeBytes.default(16_384),
      headerTimeoutMs: positive.default(10_000),
      requestTimeoutMs: positive.default(120_000),
      connections: zod.coerce.number().int().positive().default(4_096),
    })
    .prefault({}),
  claims: zod
    .strictObject({
      /** Maximum age of an idempotency key. Must be below the retention of the log by more than the maximum clock skew. */
      horizonMs: positive.default(600_000),
      answersKept: zod.coerce.number().int().positive().default(10_000),
    })
    .prefault({}),
  logs: zod
    .strictObject({
      level: zod.enum(["error", "warn", "info", "debug"]).default("info"),
      format: zod.enum(["text", "json"]).default("text"),
    })
    .prefault({}),
});

/** The validated settings of an entry instance. */
export type InstanceSettings = zod.infer<typeof instanceSettingsSchema>;
