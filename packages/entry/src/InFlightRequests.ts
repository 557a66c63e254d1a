/** The requests under way, for the drain. */
import { utils } from "@shedtiller/common";

/** Knows each request under way and can cut it short. */
export class InFlightRequests {
  private readonly _requests = new Map<string, AbortController>();
  private _idle: utils.Deferred<void> | undefined;

  get size(): number {
    return this._requests.size;
  }

  /** Notes a request; the function that comes back notes its end. */
  add(requestId: string, controller: AbortController): () => void {
    this._requests.set(requestId, controller);
    return () => {
      this._requests.delete(requestId);
      if (this._requests.size === 0) this._idle?.resolve();
    };
  }

  /** Resolves once nothing is under way. */
  waitForIdle(): Promise<void> {
    if (this._requests.size === 0) return Promise.resolve();
    this._idle ??= new utils.Deferred<void>();
    return this._idle.promise;
  }

  /** Cuts everything short and gives the ids of what was cut. */
  abortAll(): string[] {
    const cut = [...this._requests.keys()];
    for (const controller of this._requests.values()) controller.abort();
    return cut;
  }
}
