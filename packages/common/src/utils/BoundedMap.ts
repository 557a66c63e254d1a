/** A map that forgets its oldest entries beyond a fixed count. */
export class BoundedMap<V> {
  private readonly _entries = new Map<string, V>();

  /** @param capacity - How many entries are kept at the most. */
  constructor(readonly capacity: number) {}

  get size(): number {
    return this._entries.size;
  }

  get(key: string): V | undefined {
    return this._entries.get(key);
  }

  set(key: string, value: V): void {
    this._entries.delete(key);
    this._entries.set(key, value);
    if (this._entries.size > this.capacity) this._removeOldest();
  }

  /** All values, the oldest first. */
  getValues(): V[] {
    return [...this._entries.values()];
  }

  remove(key: string): void {
    this._entries.delete(key);
  }

  private _removeOldest(): void {
    const oldest = this._entries.keys().next();
    if (oldest.done !== true) this._entries.delete(oldest.value);
  }
}
