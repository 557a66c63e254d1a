/** Requests in flight at one instance. */
import { utils } from "@shedtiller/common";

/** Tracks the requests in flight, so that a drain can wait for them or abort them. */
export class InFlightRequests {
  private readonly _requests = new Map<string, AbortController>();
  private _idle: utils.Deferred<void> | undefined;

  /** Number of requests in flight. */
  get size(): number {
    return this._requests.size;
  }

  /** Adds a request, and returns the function that removes it. */
  add(requestId: string, controller: AbortController): () => void {
    this._requests.set(requestId, controller);
    return () => {
      this._requests.delete(requestId);
      if (this._requests.size === 0) this._idle?.resolve();
    };
  }

  /** Resolves once no requests are in flight. */
  waitForIdle(): Promise<void> {
    if (this._requests.size === 0) return Promise.resolve();
    this._idle ??= new utils.Deferred<void>();
    return this._idle.promise;
  }

  /** Aborts all requests in flight, and returns their ids. */
  abortAll(): string[] {
    const abortedIds = [...this._requests.keys()];
    for (const controller of this._requests.values()) controller.abort();
    return abortedIds;
  }
}
