import { digestRequest, type RequestIdentity } from "./digestRequest.js";

/** Number of stored requests of each kind; enough to include a request that many callers send. */
const maxPerKind = 48;
/** Larger bodies would take too much memory, and requests with such bodies are rarely identical. */
const maxBodyBytes = 8 * 1024;

interface CompletedRequest {
  readonly identity: RequestIdentity;
  readonly atMs: number;
  digest?: string;
}

/**
 * Stores recently completed requests of an instance. Their digests are computed only after a crash, to recognise suspects that are
 * identical to a completed request and therefore harmless.
 */
export class CompletedRequests {
  private readonly _byKind = new Map<string, CompletedRequest[]>();

  /** @param kind - Requests of one kind don't displace those of another. */
  add(kind: string, identity: RequestIdentity, atMs: number): void {
    if (identity.body.length > maxBodyBytes) return;
    const requests = this._byKind.get(kind) ?? [];
    this._byKind.set(kind, requests);
    requests.push({ identity, atMs });
    if (requests.length > maxPerKind) requests.shift();
  }

  /** Returns when a request with each of the given digests last completed. */
  find(digests: ReadonlySet<string>): Map<string, number> {
    const found = new Map<string, number>();
    for (const completed of [...this._byKind.values()].flat()) {
      const digest = (completed.digest ??= digestRequest(completed.identity));
      if (digests.has(digest)) found.set(digest, Math.max(completed.atMs, found.get(digest) ?? 0));
    }
    return found;
  }
}
