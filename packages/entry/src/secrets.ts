/** Secrets of an instance. They are read from files or the environment, never from the command line, and never logged. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import type { AccountKey } from "@shedtiller/intent";
import type { InstanceSettings } from "@shedtiller/settings";

const peerSecretVariable = "SHEDTILLER_PEER_SECRET";
const operatorHashVariable = "SHEDTILLER_OPERATOR_TOKEN_HASH";
const minSecretLength = 16;

/** Secrets that an instance needs to authenticate peers and operators. */
export interface InstanceSecrets {
  /** Secret that all instances of a fleet share. */
  readonly peerSecret: string;
  readonly operatorTokenHash: AccountKey;
}

/** Reads each secret from the file that the settings name, or from the environment if they name none. */
export function loadSecrets(
  settings: InstanceSettings,
  environment: NodeJS.ProcessEnv,
): results.Result<InstanceSecrets, errors.InvalidInputError> {
  const { peerSecretFile, operatorTokenHashFile } = settings.security;
  const peerSecret = readSecret(peerSecretFile, environment[peerSecretVariable], peerSecretVariable);
  if (peerSecret.err) return peerSecret;
  if (peerSecret.val.length < minSecretLength) {
    return results.Err(
      new errors.InvalidInputError("peer secret", `has fewer than ${minSecretLength} characters`),
    );
  }
  const hash = readSecret(operatorTokenHashFile, environment[operatorHashVariable], operatorHashVariable);
  if (hash.err) return hash;
  const operatorTokenHash = parseTokenHash(hash.val);
  if (operatorTokenHash.err) return operatorTokenHash;
  return results.Ok({ peerSecret: peerSecret.val, operatorTokenHash: operatorTokenHash.val });
}

/** Parses a stored hash as `shedtiller key` prints it: key id, salt and hash, separated by colons. */
export function parseTokenHash(text: string): results.Result<AccountKey, errors.InvalidInputError> {
  const [keyId, salt, hash, ...rest] = text.trim().split(":");
  if (keyId === undefined || salt === undefined || hash === undefined || rest.length > 0) {
    return results.Err(new errors.InvalidInputError("operator token hash", "expected keyId:salt:hash"));
  }
  return results.Ok({ keyId, salt, hash });
}

/** Formats a stored hash as {@link parseTokenHash} reads it. */
export function formatTokenHash(stored: AccountKey): string {
  return `${stored.keyId}:${stored.salt}:${stored.hash}`;
}

function readSecret(
  file: string | undefined,
  fromEnvironment: string | undefined,
  variable: string,
): results.Result<string, errors.InvalidInputError> {
  if (file === undefined) {
    if (fromEnvironment !== undefined && fromEnvironment !== "") return results.Ok(fromEnvironment);
    return results.Err(new errors.InvalidInputError(variable, "is not set and the settings name no file"));
  }
  try {
    return results.Ok(fs.readFileSync(file, "utf8").trim());
  } catch (error) {
    return results.Err(new errors.InvalidInputError(file, errors.describeError(error)));
  }
}
