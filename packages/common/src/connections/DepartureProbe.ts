import type * as http from "node:http";
import { monotonicMs } from "../utils/clock.js";

/**
 * Times from one probe to the next. The reset that answers a probe shows only in the write of a later one, since a connection whose receiving
 * half has ended is not read any more. Behind a relay that passes on the end of one direction alone, the first two probes end the relay's own
 * connections. Endpoints should not work for long for a caller that has left, so the last probe comes after 300 ms.
 */
const delaysMs = [50, 100, 150];

/** Time after the last probe in which its failure shows. */
const verdictMs = 50;

/** Writes during which a caller that had left would have reset the connection: the reset of one shows in the next. */
const minWrites = 2;
/**
 * Time without a write after which a caller counts as one that has left. A sound endpoint may be silent for up to two seconds, which is
 * no reason to end its answer; callers do not wait for longer.
 */
const maxSilenceMs = 2_000;
/** Interval of the looks for further writes after the last probe. */
const lookIntervalMs = 100;
/** Time without a write after which a caller that counts as present is probed once more: several relays learn of a reset one after the other. */
const watchIntervalMs = 200;
/** Maximum number of interim responses to a request; some clients take more of them for an error. */
const maxInterims = 5;

/** Dependencies of {@link DepartureProbe}. */
export interface DepartureProbeStructure {
  /** Returns the answer that the caller receives next, or undefined if there is none. */
  readonly getAwaited: () => http.ServerResponse | undefined;
  /** Returns how many bytes have been written to the connection. */
  readonly getBytesWritten: () => number;
  /** Called if too little was written for a reset, so that the caller counts as one that has left. */
  readonly onLeft: () => void;
  /** Writes bytes of an answer that no interim response may precede and that change none of its content, if there are any. */
  readonly writeWithin?: (response: http.ServerResponse) => void;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits; replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/**
 * Tells a caller that has closed its connection from one that has ended only its sending half, as RFC 9112, 9.6 permits: both send the same
 * packet, but a closed connection is reset by what it receives. Until the head of the answer, the probes are interim responses, which callers
 * skip (RFC 9110, 15.2); after it, and for HTTP/1.0, bytes of the answer's framing, or the parts of the answer itself where the framing has none to
 * spare.
 */
export class DepartureProbe {
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number) => Promise<void>;
  private _writes = 0;
  private _interims = 0;
  private _bytesWritten: number;
  private _writtenAtMs: number;

  constructor(private readonly _structure: DepartureProbeStructure) {
    this._nowMs = _structure.nowMs ?? monotonicMs;
    this._pause = _structure.pause ?? pauseUnreferenced;
    this._bytesWritten = _structure.getBytesWritten();
    this._writtenAtMs = this._nowMs();
  }

  /** Number of writes since the caller has ended its sending half. */
  get writes(): number {
    return this._writes;
  }

  /** Probes until the caller must have reset the connection if it had left, counts as one that has left, or has its answers. */
  async run(): Promise<void> {
    for (const delayMs of [0, ...delaysMs]) {
      if (delayMs > 0) await this._pause(delayMs);
      const awaited = this._look();
      if (awaited === undefined) return;
      this._write(awaited);
    }
    await this._pause(verdictMs);
    if (this._look() === undefined) return;
    while (this._writes < minWrites) {
      if (this._nowMs() - this._writtenAtMs >= maxSilenceMs) return this._structure.onLeft();
      await this._pause(lookIntervalMs);
      if (this._look() === undefined) return;
    }
  }

  /** Probes in further silences of a caller that counts as present, until it has its answers or the connection is closed. */
  async watch(): Promise<void> {
    for (;;) {
      const writes = this._writes;
      await this._pause(watchIntervalMs);
      const awaited = this._look();
      if (awaited === undefined) return;
      if (this._writes === writes) this._write(awaited);
    }
  }

  private _write(awaited: http.ServerResponse): void {
    if (!canPrecede(awaited)) return this._structure.writeWithin?.(awaited);
    if (this._interims >= maxInterims) return;
    this._interims += 1;
    awaited.writeContinue();
  }

  /** Notes what has been written; returns the answer for which the caller still waits. */
  private _look(): http.ServerResponse | undefined {
    const bytesWritten = this._structure.getBytesWritten();
    if (bytesWritten > this._bytesWritten) {
      this._writes += 1;
      this._writtenAtMs = this._nowMs();
    }
    this._bytesWritten = bytesWritten;
    return this._structure.getAwaited();
  }
}

/** Waits without keeping the process alive. */
function pauseUnreferenced(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs).unref());
}

/** Whether an interim response may precede the answer. */
function canPrecede(response: http.ServerResponse): boolean {
  return !response.headersSent && response.req.httpVersion === "1.1";
}
