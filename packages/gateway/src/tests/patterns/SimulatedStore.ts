/** A configuration store in simulated time, whose readers share its output rate. */
import { errors, results, utils } from "@shedtiller/common";
import type { GatewayConfiguration } from "../../configuration/gatewayConfiguration.js";
import { ChangeFeed, type FeedPage, type FeedSnapshot, type StoreError } from "../../discovery/ChangeFeed.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { SimulatedLink, transfer } from "./SimulatedLink.js";

const key = "config";
const answerMs = 4;
/** Time after which a read of an unreachable store fails. */
const unreachableTimeoutMs = 500;
/** Maximum size of a page, which contains at least one record. */
const pageBytes = 1024 * 1024;
/** Timeout of the store's client for an answer and its body, in addition to the duration of a long poll. */
const answerTimeoutMs = 1_500;
/** Snapshots are encoded as base64, which takes four characters for three bytes. */
const base64Factor = 4 / 3;

/** A reader of the store. */
export interface StoreReader {
  readonly inLink: SimulatedLink;
  /** Resolves after the time that the reader's processor needs for decoding. */
  readonly decode: (sizeBytes: number) => Promise<void>;
  /** Whether the store is unreachable for the reader now. */
  readonly isCutOff: () => boolean;
}

/** Stores the written versions and serves them to readers. */
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

  /** Returns the versions of the page that begins at `offset`. */
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

  /** Resolves once there is a version at `offset`, or after `waitMs`. */
  async waitForVersion(offset: number, waitMs: number): Promise<void> {
    const endMs = this._clock.nowMs() + waitMs;
    while (this.end <= offset && this._clock.nowMs() < endMs) {
      await Promise.race([this._written.promise, this._clock.sleep(endMs - this._clock.nowMs())]);
    }
  }

  /** Sends a body to a reader; returns whether it arrived before the timeout. */
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
    const sizeBytes = newest === undefined ? 0 : getSizeBytes(newest) * base64Factor;
    if (!(await this._send(sizeBytes))) return this._fail();
    const values = new Map(newest === undefined ? [] : [[key, newest]]);
    return results.Ok({ values, nextOffset: end });
  }

  override async getChanges(
    offset: number,
    waitMs: number,
  ): Promise<results.Result<FeedPage<GatewayConfiguration>, StoreError>> {
    if (!this._reader.isCutOff()) await this._store.waitForVersion(offset, waitMs);
    const page = this._store.getPage(offset);
    const endOffset = this._store.end;
    if (!(await this._send(page.reduce((sum, version) => sum + getSizeBytes(version), 0))))
      return this._fail();
    const newest = page[page.length - 1];
    const changes = newest === undefined ? [] : [{ key, value: newest }];
    return results.Ok({ changes, nextOffset: offset + page.length, endOffset, isCompacted: false });
  }

  /** Sends a body, or fails after a timeout if the store is unreachable. */
  private async _send(sizeBytes: number): Promise<boolean> {
    if (!this._reader.isCutOff()) return this._store.send(sizeBytes, this._reader);
    await this._clock.sleep(unreachableTimeoutMs);
    return false;
  }

  private _fail(): results.Result<never, StoreError> {
    return results.Err(new errors.NotReachedError("store"));
  }
}

/** A feed without changes, whose answers only confirm that the data is current. */
export class UnchangedFeed<T> extends ChangeFeed<T> {
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
    return results.Ok({ changes: [], nextOffset: offset, endOffset: offset, isCompacted: false });
  }

  private async _answer(waitMs: number): Promise<boolean> {
    await this._clock.sleep(this._isCutOff() ? unreachableTimeoutMs : waitMs + answerMs);
    return !this._isCutOff();
  }
}

const cachedSizes = new WeakMap<object, number>();

/** Returns the size of a value as JSON, which is close to its size on the wire. */
export function getSizeBytes(value: unknown): number {
  if (typeof value !== "object" || value === null) return String(value).length;
  const sizeBytes = cachedSizes.get(value) ?? JSON.stringify(value).length;
  cachedSizes.set(value, sizeBytes);
  return sizeBytes;
}
