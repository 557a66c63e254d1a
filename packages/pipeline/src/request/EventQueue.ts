/** Queue between event sources and one consumer. */
import { utils } from "@shedtiller/common";

/** Holds events until the consumer takes them, in order. */
export class EventQueue<T> {
  private readonly _events: T[] = [];
  private _waiting: utils.Deferred<void> | undefined;

  add(event: T): void {
    this._events.push(event);
    this._waiting?.resolve();
  }

  /** Returns the next event, and waits for it if there is none. */
  async take(): Promise<T> {
    for (;;) {
      const event = this._events.shift();
      if (event !== undefined) return event;
      this._waiting = new utils.Deferred<void>();
      await this._waiting.promise;
    }
  }
}
