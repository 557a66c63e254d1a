/** Links and processors that several transfers share: each passes its next part in turn, so that none waits for all of another. */
import type { SimulatedClock } from "./SimulatedClock.js";

/** Part of a transfer that passes at once. */
const partBytes = 16 * 1024;
/** Parts on their way at most, as small windows of a connection allow. */
const windowParts = 4;

/** Something that passes bytes at a rate, in the order of their arrival. */
export class SimulatedLink {
  /** Bytes that have passed. */
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
 * @param isGivenUp - Asked before each part; tells whether the rest need not be sent.
 */
export async function transfer(
  from: SimulatedLink,
  to: SimulatedLink,
  sizeBytes: number,
  isGivenUp: () => boolean = () => false,
): Promise<void> {
  const onTheWay: Promise<void>[] = [];
  for (let leftBytes = sizeBytes; leftBytes > 0 && !isGivenUp(); leftBytes -= partBytes) {
    const part = Math.min(partBytes, leftBytes);
    await from.pass(part);
    onTheWay.push(to.pass(part));
    if (onTheWay.length >= windowParts) await onTheWay.shift();
  }
  await Promise.all(onTheWay);
}
