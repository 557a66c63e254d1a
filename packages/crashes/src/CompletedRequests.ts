/**
 * The requests that ended well of late. Nothing is computed for them until a crash makes requests suspects: then those that are equal to
 * one that ended well are known to be sound.
 */
import { digestRequest, type RequestIdentity } from "./digestRequest.js";

/** Kept of each kind; a request that many callers send is among them. */
const mostKept = 48;
/** Larger bodies would make what is kept too large; requests with such bodies are seldom equal. */
const largestBodyBytes = 8 * 1024;

interface Completed {
  readonly asked: RequestIdentity;
  readonly atMs: number;
  digest?: string;
}

/** One for an instance. */
export class CompletedRequests {
  private readonly _byKind = new Map<string, Completed[]>();

  /** @param kind - Requests of one kind don't displace those of another. */
  add(kind: string, asked: RequestIdentity, atMs: number): void {
    if (asked.body.length > largestBodyBytes) return;
    const kept = this._byKind.get(kind) ?? [];
    this._byKind.set(kind, kept);
    kept.push({ asked, atMs });
    if (kept.length > mostKept) kept.shift();
  }

  /** When an equal request last ended well, by the digests given. */
  find(digests: ReadonlySet<string>): Map<string, number> {
    const found = new Map<string, number>();
    for (const completed of [...this._byKind.values()].flat()) {
      const digest = (completed.digest ??= digestRequest(completed.asked));
      if (digests.has(digest)) found.set(digest, Math.max(completed.atMs, found.get(digest) ?? 0));
    }
    return found;
  }
}
