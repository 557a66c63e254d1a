import { results, utils } from "@shedtiller/common";
import { Admission, type AdmissionPermit, type AdmissionRequest } from "./Admission.js";
import { AdmissionRefusedError } from "./AdmissionRefusedError.js";

/** Admits requests in the order of their arrival, without load shedding. Benchmarks use it as the baseline. */
export class FifoAdmission extends Admission {
  private readonly _queue: {
    request: AdmissionRequest;
    sinceMs: number;
    done: utils.Deferred<results.Result<AdmissionPermit, AdmissionRefusedError>>;
  }[] = [];
  private _active = 0;

  constructor(private readonly _getLimit: () => number) {
    super();
  }

  override get active(): number {
    return this._active;
  }

  override get waiting(): number {
    return this._queue.length;
  }

  override acquire(
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>> {
    const done = new utils.Deferred<results.Result<AdmissionPermit, AdmissionRefusedError>>();
    this._queue.push({ request, sinceMs: utils.monotonicMs(), done });
    this._grantAll();
    return done.promise;
  }

  private _grantAll(): void {
    while (this._active < this._getLimit()) {
      const next = this._queue.shift();
      if (next === undefined) return;
      if (next.request.signal.aborted) {
        next.done.resolve(results.Err(new AdmissionRefusedError("cancelled", 0)));
        continue;
      }
      this._active += 1;
      const waitedMs = utils.monotonicMs() - next.sinceMs;
      next.done.resolve(results.Ok({ waitedMs, release: () => this._release() }));
    }
  }

  private _release(): void {
    this._active -= 1;
    this._grantAll();
  }
}
