/** Bound on the memory for all answers that are being received. */

/** Default bound for the answers to one HTTP client. */
export const defaultMaxBufferedBytes = 32 * 1024 * 1024;

/** The part of the memory that one answer uses. */
export class AnswerBuffer {
  private _sizeBytes = 0;

  /** @param evict - Gives the answer up. */
  constructor(
    private readonly _memory: AnswerMemory,
    readonly evict: () => void,
  ) {}

  get sizeBytes(): number {
    return this._sizeBytes;
  }

  /** Sets the memory that the answer uses; may evict this answer or others. Has no effect on a closed buffer. */
  resize(sizeBytes: number): void {
    if (!this._memory.isOpen(this)) return;
    const addedBytes = sizeBytes - this._sizeBytes;
    this._sizeBytes = sizeBytes;
    this._memory.add(addedBytes);
  }

  close(): void {
    this._memory.remove(this);
  }
}

/**
 * Counts what is buffered of all answers. Beyond the bound the largest one is given up, so that one answer without an end does not take the
 * memory of those that are being received beside it.
 */
export class AnswerMemory {
  private readonly _buffers = new Set<AnswerBuffer>();
  private _sizeBytes = 0;

  constructor(readonly maxBytes = defaultMaxBufferedBytes) {}

  get sizeBytes(): number {
    return this._sizeBytes;
  }

  open(evict: () => void): AnswerBuffer {
    const buffer = new AnswerBuffer(this, evict);
    this._buffers.add(buffer);
    return buffer;
  }

  isOpen(buffer: AnswerBuffer): boolean {
    return this._buffers.has(buffer);
  }

  add(addedBytes: number): void {
    this._sizeBytes += addedBytes;
    while (this._sizeBytes > this.maxBytes && this._buffers.size > 0) {
      const largest = [...this._buffers].reduce((a, b) => (b.sizeBytes > a.sizeBytes ? b : a));
      this.remove(largest);
      largest.evict();
    }
  }

  remove(buffer: AnswerBuffer): void {
    if (this._buffers.delete(buffer)) this._sizeBytes -= buffer.sizeBytes;
  }
}
