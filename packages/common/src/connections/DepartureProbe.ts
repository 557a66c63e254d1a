import type * as http from "node:http";

/**
 * Times from one probe to the next. The reset that answers a probe shows only in the write of a later one, since a connection whose receiving
 * half has ended is not read any more. Behind a relay that passes on the end of one direction alone, the first two probes end the relay's own
 * connections. Endpoints should not work for long for a caller that has left, so the last probe comes after 300 ms.
 */
const delaysMs = [50, 100, 150];

/** Writes during which a caller that had left would have reset the connection: the reset of one shows in the next. */
const minWrites = 2;

/** Dependencies of {@link DepartureProbe}. */
export interface DepartureProbeStructure {
  /** Returns the answer that the caller receives next, or undefined if there is none. */
  readonly getAwaited: () => http.ServerResponse | undefined;
  /** Returns how many bytes have been written to the connection. */
  readonly getBytesWritten: () => number;
  /** Called if too little was written for a reset, so that the caller counts as one that has left. */
  readonly onLeft: () => void;
}

/**
 * Tells a caller that has closed its connection from one that has ended only its sending half, as RFC 9112, 9.6 permits: both send the same
 * packet, but a closed connection is reset by what it receives. Until the head of the answer, the probes are interim responses, which callers
 * skip (RFC 9110, 15.2); after it, the parts of the answer itself serve.
 */
export class DepartureProbe {
  private _writes = 0;
  private _bytesWritten: number;

  /** Starts the probes, which end by themselves. */
  constructor(private readonly _structure: DepartureProbeStructure) {
    this._bytesWritten = _structure.getBytesWritten();
    this._probe(0);
  }

  private _probe(index: number): void {
    const awaited = this._structure.getAwaited();
    if (awaited === undefined) return;
    this._noteWrites();
    if (canPrecede(awaited)) awaited.writeContinue();
    const delayMs = delaysMs[index];
    if (delayMs !== undefined) setTimeout(() => this._probe(index + 1), delayMs).unref();
    else if (this._writes < minWrites) this._structure.onLeft();
  }

  private _noteWrites(): void {
    const bytesWritten = this._structure.getBytesWritten();
    if (bytesWritten > this._bytesWritten) this._writes += 1;
    this._bytesWritten = bytesWritten;
  }
}

/** Whether an interim response may precede the answer. */
function canPrecede(response: http.ServerResponse): boolean {
  return !response.headersSent && response.req.httpVersion === "1.1";
}
