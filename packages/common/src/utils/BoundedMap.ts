/** A map with a fixed capacity that evicts the entry that was set the longest time ago. */
export class BoundedMap<V> {
  private readonly _entries = new Map<string, V>();

  /** @param capacity - Maximum number of entries. */
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

  /** Returns all values, oldest first. */
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
