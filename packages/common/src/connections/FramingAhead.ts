import type * as http from "node:http";
import type * as net from "node:net";

/** Maximum number of leading zeros of one chunk size; some readers accept 16 digits in all, of which a chunk itself needs fewer than 8. */
const maxZeros = 8;

/** What each answer begins with. */
const statusLineStart = "HTTP/1.1 ";

/**
 * Writes bytes of an answer's framing before they are due. Whatever the answer goes on with, the caller receives the same content: the size of
 * the next chunk, or of the last one, may have leading zeros (RFC 9112, 7.1), and each answer begins with the same bytes.
 */
export class FramingAhead {
  private _zeros = 0;
  /** Number of bytes written to the connection up to the last zero. */
  private _bytesAtZero = 0;
  /** Number of bytes of the next status line that have been written. */
  private _startBytes = 0;

  constructor(private readonly _socket: net.Socket) {}

  /** Writes one byte of an answer's framing, unless nothing is known of what the answer goes on with. */
  write(response: http.ServerResponse): void {
    // An answer that waits behind another one has no connection yet.
    if (response.socket !== this._socket || response.writableEnded) return;
    if (!response.headersSent) this._writeStart();
    else if (response.chunkedEncoding) this._writeZero(response);
  }

  private _writeStart(): void {
    const socket = this._socket;
    const next = statusLineStart[this._startBytes];
    if (next === undefined) return;
    // Removes the shortening write of the socket itself, if there is one.
    Reflect.deleteProperty(socket, "write");
    socket.write(next);
    this._startBytes += 1;
    this._shortenNextWrite();
  }

  /** Leaves out of the next write, which is that of a head, what has been written of the status line. */
  private _shortenNextWrite(): void {
    const socket = this._socket;
    const write = (head: string | Uint8Array, ...rest: unknown[]): boolean => {
      Reflect.deleteProperty(socket, "write");
      const left = head.slice(this._startBytes);
      this._startBytes = 0;
      return Reflect.apply(socket.write, socket, [left, ...rest]) as boolean;
    };
    Object.assign(socket, { write });
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
