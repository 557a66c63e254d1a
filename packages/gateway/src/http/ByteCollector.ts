/** A growing buffer. */

const minGrownBytes = 4_096;

/** Collects pieces of bytes in one buffer, so that many small pieces need no more memory than one large one, and no more than linear time. */
export class ByteCollector {
  private _buffer: Buffer = Buffer.alloc(0);
  private _sizeBytes = 0;

  get sizeBytes(): number {
    return this._sizeBytes;
  }

  /** Memory of the buffer, which grows ahead of the bytes. */
  get capacityBytes(): number {
    return this._buffer.length;
  }

  /** The collected bytes; valid until the next change. */
  get bytes(): Buffer {
    return this._buffer.subarray(0, this._sizeBytes);
  }

  append(piece: Buffer): void {
    const sizeBytes = this._sizeBytes + piece.length;
    // Nearly all answers arrive in one piece, which is not copied.
    if (this._sizeBytes === 0) this._buffer = piece;
    else if (sizeBytes > this._buffer.length) this._grow(sizeBytes);
    if (this._sizeBytes > 0) piece.copy(this._buffer, this._sizeBytes);
    this._sizeBytes = sizeBytes;
  }

  clear(): void {
    this._buffer = Buffer.alloc(0);
    this._sizeBytes = 0;
  }

  private _grow(sizeBytes: number): void {
    const grown = Buffer.allocUnsafeSlow(Math.max(minGrownBytes, 2 * sizeBytes));
    this._buffer.copy(grown, 0, 0, this._sizeBytes);
    this._buffer = grown;
  }
}
