import * as crypto from "node:crypto";

/** The properties that make two requests identical to the endpoints that run them. */
export interface RequestIdentity {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Name of the client account, rather than its key, which may change between two requests. */
  readonly accountName: string | undefined;
  readonly body: Buffer;
}

/** 128 bits in base64url: enough to rule out collisions by chance, at half the bytes of the whole hash in messages. */
const digestLength = 22;

/**
 * Returns the digest of a request, by which an identical request is recognised under another id and at another instance. Host and route are
 * left out: endpoints see neither route nor service, and a caller that uses another name of the same service sends the same request.
 */
export function digestRequest({ method, path, accountName, body }: RequestIdentity): string {
  const hash = crypto.createHash("sha256");
  hash.update(JSON.stringify([method, path, accountName ?? null]));
  hash.update(body);
  return hash.digest("base64url").slice(0, digestLength);
}

/** Returns the digest of a text, of the same length as that of a request. */
export function digestText(text: string): string {
  return crypto.createHash("sha256").update(text).digest("base64url").slice(0, digestLength);
}
