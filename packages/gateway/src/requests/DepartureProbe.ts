import type * as http from "node:http";

/**
 * Times from one probe to the next. The reset that answers a probe shows only in the write of a later one, since a connection whose receiving
 * half has ended is not read any more. Behind a relay that passes on the end of one direction alone, the first two probes end the relay's own
 * connections. Endpoints should not work for long for a caller that has left, so the last probe comes after 300 ms.
 */
const delaysMs = [50, 100, 150];

/**
 * Tells a caller that has closed its connection from one that has ended only its sending half, as RFC 9112, 9.6 permits: both send the same
 * packet, but a closed connection is reset by what it receives. The probes are interim responses, which callers skip (RFC 9110, 15.2).
 */
export class DepartureProbe {
  /**
   * Starts the probes, which end by themselves.
   * @param _getAwaited - Returns the answer that the caller receives next, or undefined if there is none.
   */
  constructor(private readonly _getAwaited: () => http.ServerResponse | undefined) {
    this._probe(0);
  }

  /** Whether an interim response may precede the answer. */
  static canProbe(response: http.ServerResponse): boolean {
    return !response.headersSent && response.req.httpVersion === "1.1";
  }

  private _probe(index: number): void {
    const awaited = this._getAwaited();
    if (awaited === undefined || !DepartureProbe.canProbe(awaited)) return;
    awaited.writeContinue();
    const delayMs = delaysMs[index];
    if (delayMs !== undefined) setTimeout(() => this._probe(index + 1), delayMs).unref();
  }
}
