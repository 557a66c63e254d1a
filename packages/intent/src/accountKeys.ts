/** Creation, hashing and constant-time comparison of API keys of client accounts and tokens of operators. */
import * as crypto from "node:crypto";
import type * as zod from "zod";
import type { accountKeySchema } from "./configurationObjects.js";

/** The stored part of an API key: its id, salt and hash. */
export type AccountKey = zod.infer<typeof accountKeySchema>;

const keyPrefix = "sk";
const keyIdBytes = 9;
const secretBytes = 32;
const saltBytes = 16;

/** A new API key: the text for the client, which is shown once, and the part that is stored. */
export interface NewKey {
  readonly text: string;
  readonly stored: AccountKey;
}

/** Creates a random API key. */
export function createAccountKey(): NewKey {
  const keyId = crypto.randomBytes(keyIdBytes).toString("hex");
  const secret = crypto.randomBytes(secretBytes).toString("hex");
  return { text: `${keyPrefix}-${keyId}-${secret}`, stored: hashKey(keyId, secret) };
}

/** Splits the text of an API key into its id and secret; returns undefined for any other text. */
export function parseAccountKey(text: string): { keyId: string; secret: string } | undefined {
  const match = /^sk-([0-9a-f]+)-([0-9a-f]+)$/.exec(text);
  if (match?.[1] === undefined || match[2] === undefined) return undefined;
  return { keyId: match[1], secret: match[2] };
}

/** Returns whether a secret matches a stored key. */
export function isMatchingSecret(stored: AccountKey, secret: string): boolean {
  const actual = Buffer.from(digest(stored.salt, secret));
  const expected = Buffer.from(stored.hash);
  return actual.length === expected.length && crypto.timingSafeEqual(actual, expected);
}

/** Hashes a secret with a new salt and returns the stored part of the key. */
export function hashKey(keyId: string, secret: string): AccountKey {
  const salt = crypto.randomBytes(saltBytes).toString("base64url");
  return { keyId, salt, hash: digest(salt, secret) };
}

function digest(salt: string, secret: string): string {
  return crypto.createHash("sha256").update(salt).update("\u0000").update(secret).digest("base64url");
}
