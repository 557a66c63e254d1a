/** Keys of client accounts and tokens of operators: made, hashed, and compared in constant time. */
import * as crypto from "node:crypto";
import type * as zod from "zod";
import type { accountKeySchema } from "./configurationObjects.js";

/** What the configuration holds of a key. */
export type AccountKey = zod.infer<typeof accountKeySchema>;

const keyPrefix = "sk";
const keyIdBytes = 9;
const secretBytes = 32;
const saltBytes = 16;

/** A new key: the text for the client, shown once, and what is stored of it. */
export interface NewKey {
  readonly text: string;
  readonly stored: AccountKey;
}

/** Makes a key from random bytes. */
export function createAccountKey(): NewKey {
  const keyId = crypto.randomBytes(keyIdBytes).toString("hex");
  const secret = crypto.randomBytes(secretBytes).toString("hex");
  return { text: `${keyPrefix}-${keyId}-${secret}`, stored: hashKey(keyId, secret) };
}

/** Splits a key into its id and its secret; undefined for any other text. */
export function parseAccountKey(text: string): { keyId: string; secret: string } | undefined {
  const match = /^sk-([0-9a-f]+)-([0-9a-f]+)$/.exec(text);
  if (match?.[1] === undefined || match[2] === undefined) return undefined;
  return { keyId: match[1], secret: match[2] };
}

/** Tells whether a secret is the one that was stored. */
export function isMatchingSecret(stored: AccountKey, secret: string): boolean {
  const actual = Buffer.from(digest(stored.salt, secret));
  const expected = Buffer.from(stored.hash);
  return actual.length === expected.length && crypto.timingSafeEqual(actual, expected);
}

/** Makes what is stored of a secret. */
export function hashKey(keyId: string, secret: string): AccountKey {
  const salt = crypto.randomBytes(saltBytes).toString("base64url");
  return { keyId, salt, hash: digest(salt, secret) };
}

function digest(salt: string, secret: string): string {
  return crypto.createHash("sha256").update(salt).update("\u0000").update(secret).digest("base64url");
}
