/** Simulated links and processors. Concurrent transfers share them chunk by chunk, so that none waits for the end of another. */
import type { SimulatedClock } from "./SimulatedClock.js";

const chunkBytes = 16 * 1024;
/** Maximum number of chunks in transit, as with a small window of a connection. */
const windowChunks = 4;

/** Passes bytes at a fixed rate in the order of their arrival. */
export class SimulatedLink {
  /** Total number of bytes accepted. */
  passedBytes = 0;
  private _freeAtMs = 0;

  constructor(
    private readonly _clock: SimulatedClock,
    private readonly _bytesPerMs: number,
  ) {}

  /** Resolves once the bytes have passed. */
  async pass(sizeBytes: number): Promise<void> {
    const nowMs = this._clock.nowMs();
    this._freeAtMs = Math.max(nowMs, this._freeAtMs) + sizeBytes / this._bytesPerMs;
    this.passedBytes += sizeBytes;
    await this._clock.sleep(this._freeAtMs - nowMs);
  }
}

/**
 * Sends bytes over one link and then another.
 * @param isAborted - Called before each chunk; returns whether to abort the transfer.
 */
export async function transfer(
  from: SimulatedLink,
  to: SimulatedLink,
  sizeBytes: number,
  isAborted: () => boolean = () => false,
): Promise<void> {
  const inTransit: Promise<void>[] = [];
  for (let remainingBytes = sizeBytes; remainingBytes > 0 && !isAborted(); remainingBytes -= chunkBytes) {
    const chunk = Math.min(chunkBytes, remainingBytes);
    await from.pass(chunk);
    inTransit.push(to.pass(chunk));
    if (inTransit.length >= windowChunks) await inTransit.shift();
  }
  await Promise.all(inTransit);
}
