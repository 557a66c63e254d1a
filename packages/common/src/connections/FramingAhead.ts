import type * as http from "node:http";
import type * as net from "node:net";

/** Maximum number of leading zeros of one chunk size; some readers accept 16 digits in all, of which a chunk itself needs fewer than 8. */
const maxZeros = 8;

/**
 * Writes bytes of an answer's framing before they are due. Whatever the answer goes on with, the caller receives the same content: the size of
 * the next chunk, or of the last one, may have leading zeros (RFC 9112, 7.1).
 */
export class FramingAhead {
  private _zeros = 0;
  /** Number of bytes written to the connection up to the last zero. */
  private _bytesAtZero = 0;

  constructor(private readonly _socket: net.Socket) {}

  /** Writes one byte of an answer's framing, unless nothing is known of what the answer goes on with. */
  write(response: http.ServerResponse): void {
    // An answer that waits behind another one has no connection yet.
    if (response.socket !== this._socket || response.writableEnded) return;
    if (response.headersSent && response.chunkedEncoding) this._writeZero(response);
  }

  private _writeZero(response: http.ServerResponse): void {
    const socket = this._socket;
    if (socket.bytesWritten !== this._bytesAtZero) this._zeros = 0;
    if (this._zeros >= maxZeros) return;
    this._zeros += 1;
    // Node may keep the head back until the first chunk, and writes each chunk as a whole: from here on, the size of the next one is due.
    response.flushHeaders();
    socket.write("0");
    this._bytesAtZero = socket.bytesWritten;
  }
}
