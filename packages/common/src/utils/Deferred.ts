/** A promise that is settled from outside. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  private _resolve!: (value: T) => void;
  private _reject!: (error: unknown) => void;

  constructor() {
    this.promise = new Promise<T>((resolve, reject) => {
      this._resolve = resolve;
      this._reject = reject;
    });
    // A deferred that nobody waits for yet must not end the process when it fails.
    this.promise.catch(() => undefined);
  }

  resolve(value: T): void {
    this._resolve(value);
  }

  reject(error: unknown): void {
    this._reject(error);
  }
}
