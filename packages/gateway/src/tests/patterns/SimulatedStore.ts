/** A store of configurations in simulated time: readers share the rate at which it hands out bytes. */
import { errors, results, utils } from "@shedtiller/common";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { ChangeFeed, type FeedPage, type FeedSnapshot, type StoreError } from "../../discovery/ChangeFeed.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { SimulatedLink, transfer } from "./SimulatedLink.js";

const key = "config";
const answerMs = 4;
/** A store that can't be reached is given up by its client after this. */
const refusedAfterMs = 500;
/** A page holds at most this, but at least one record. */
const pageBytes = 1024 * 1024;
/** What the store's client waits for an answer, beside the time that the read is held, and then for its body. */
const answerTimeoutMs = 1_500;
/** The newest value is handed out as text, which takes four signs for three bytes. */
const textFactor = 4 / 3;

/** Whoever reads: its link, and its processor, which decodes what comes. */
export interface StoreReader {
  readonly inLink: SimulatedLink;
  readonly decode: (sizeBytes: number) => Promise<void>;
  /** Whether the store can be reached now. */
  readonly isCutOff: () => boolean;
}

/** Holds the versions that were written. */
export class SimulatedStore {
  private readonly _versions: GatewayConfiguration[] = [];
  private readonly _link: SimulatedLink;
  private _written = new utils.Deferred<void>();

  constructor(
    private readonly _clock: SimulatedClock,
    bytesPerMs: number,
  ) {
    this._link = new SimulatedLink(_clock, bytesPerMs);
  }

  get newest(): GatewayConfiguration | undefined {
    return this._versions[this._versions.length - 1];
  }

  write(configuration: GatewayConfiguration): void {
    this._versions.push(configuration);
    this._written.resolve();
    this._written = new utils.Deferred();
  }

  createFeed(reader: StoreReader): ChangeFeed<GatewayConfiguration> {
    return new SimulatedFeed(this, this._clock, reader);
  }

  /** The versions of a page that begins at `offset`. */
  getPage(offset: number): readonly GatewayConfiguration[] {
    const page: GatewayConfiguration[] = [];
    let sizeBytes = 0;
    for (const version of this._versions.slice(offset)) {
      sizeBytes += getSizeBytes(version);
      if (page.length > 0 && sizeBytes > pageBytes) return page;
      page.push(version);
    }
    return page;
  }

  get end(): number {
    return this._versions.length;
  }

  /** Resolves once there is something at `offset`, or after `waitMs`. */
  async hold(offset: number, waitMs: number): Promise<void> {
    const endMs = this._clock.nowMs() + waitMs;
    while (this.end <= offset && this._clock.nowMs() < endMs) {
      await Promise.race([this._written.promise, this._clock.sleep(endMs - this._clock.nowMs())]);
    }
  }

  /** Hands out a body; tells whether it came in time. */
  async send(sizeBytes: number, reader: StoreReader): Promise<boolean> {
    await this._clock.sleep(answerMs);
    const endMs = this._clock.nowMs() + answerTimeoutMs;
    const isLate = (): boolean => this._clock.nowMs() > endMs || reader.isCutOff();
    await transfer(this._link, reader.inLink, sizeBytes, isLate);
    if (isLate()) return false;
    await reader.decode(sizeBytes);
    return true;
  }
}

class SimulatedFeed extends ChangeFeed<GatewayConfiguration> {
  constructor(
    private readonly _store: SimulatedStore,
    private readonly _clock: SimulatedClock,
    private readonly _reader: StoreReader,
  ) {
    super();
  }

  override async getSnapshot(): Promise<results.Result<FeedSnapshot<GatewayConfiguration>, StoreError>> {
    const { newest, end } = this._store;
    const sizeBytes = newest === undefined ? 0 : getSizeBytes(newest) * textFactor;
    if (!(await this._send(sizeBytes))) return this._fail();
    const values = new Map(newest === undefined ? [] : [[key, newest]]);
    return results.Ok({ values, nextOffset: end });
  }

  override async getChanges(
    offset: number,
    waitMs: number,
  ): Promise<results.Result<FeedPage<GatewayConfiguration>, StoreError>> {
    if (!this._reader.isCutOff()) await this._store.hold(offset, waitMs);
    const page = this._store.getPage(offset);
    if (!(await this._send(page.reduce((sum, version) => sum + getSizeBytes(version), 0))))
      return this._fail();
    const newest = page[page.length - 1];
    const changes = newest === undefined ? [] : [{ key, value: newest }];
    return results.Ok({ changes, nextOffset: offset + page.length, isCompacted: false });
  }

  /** A store that can't be reached refuses connections after a while. */
  private async _send(sizeBytes: number): Promise<boolean> {
    if (!this._reader.isCutOff()) return this._store.send(sizeBytes, this._reader);
    await this._clock.sleep(refusedAfterMs);
    return false;
  }

  private _fail(): results.Result<never, StoreError> {
    return results.Err(new errors.NotReachedError("store"));
  }
}

/** The list of endpoints of a fleet whose endpoints stay as they are: only its proofs matter here. */
export class QuietFeed<T> extends ChangeFeed<T> {
  constructor(
    private readonly _clock: SimulatedClock,
    private readonly _isCutOff: () => boolean,
  ) {
    super();
  }

  override async getSnapshot(): Promise<results.Result<FeedSnapshot<T>, StoreError>> {
    if (!(await this._answer(0))) return results.Err(new errors.NotReachedError("store"));
    return results.Ok({ values: new Map(), nextOffset: 0 });
  }

  override async getChanges(
    offset: number,
    waitMs: number,
  ): Promise<results.Result<FeedPage<T>, StoreError>> {
    if (!(await this._answer(waitMs))) return results.Err(new errors.NotReachedError("store"));
    return results.Ok({ changes: [], nextOffset: offset, isCompacted: false });
  }

  private async _answer(heldMs: number): Promise<boolean> {
    await this._clock.sleep(this._isCutOff() ? refusedAfterMs : heldMs + answerMs);
    return !this._isCutOff();
  }
}

const knownSizes = new WeakMap<object, number>();

/** Size of a value as text, which is close to that of the packed form. */
export function getSizeBytes(value: unknown): number {
  if (typeof value !== "object" || value === null) return String(value).length;
  const sizeBytes = knownSizes.get(value) ?? JSON.stringify(value).length;
  knownSizes.set(value, sizeBytes);
  return sizeBytes;
}
