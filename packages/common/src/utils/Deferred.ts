/** A promise with public methods to resolve and reject it. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  private _resolve!: (value: T) => void;
  private _reject!: (error: unknown) => void;

  constructor() {
    this.promise = new Promise<T>((resolve, reject) => {
      this._resolve = resolve;
      this._reject = reject;
    });
    // Prevents an unhandled rejection, which would end the process, if the promise is rejected before anything awaits it.
    this.promise.catch(() => undefined);
  }

  resolve(value: T): void {
    this._resolve(value);
  }

  reject(error: unknown): void {
    this._reject(error);
  }
}
