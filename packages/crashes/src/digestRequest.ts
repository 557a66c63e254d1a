/** Names a request by what it asks, so that an equal one is known again under another id and at another instance. */
import * as crypto from "node:crypto";

/** What makes two requests the same to the endpoints that run them. */
export interface RequestIdentity {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** The client account; its keys may change between two requests. */
  readonly accountName: string | undefined;
  readonly body: Buffer;
}

/** 128 bits: enough for no two requests to meet by chance, and half the bytes of the whole hash in messages. */
const digestLength = 22;

/**
 * Gives the digest of a request. Host and route are left out: endpoints see neither route nor service, and a caller that comes back over
 * another name of the same place asks the same.
 */
export function digestRequest({ method, path, accountName, body }: RequestIdentity): string {
  const hash = crypto.createHash("sha256");
  hash.update(JSON.stringify([method, path, accountName ?? null]));
  hash.update(body);
  return hash.digest("base64url").slice(0, digestLength);
}
