/** What a run asks and tells of requests that crash the engines that begin to run them. */

/** An engine that ended its connection. */
export interface LostEngine {
  readonly name: string;
  /** IP and port. */
  readonly address: string;
}

/** Knows requests by a digest, since a repeat has another id. */
export abstract class CrashQuarantine {
  /** How long a request is held back from now on; undefined where it may run. */
  abstract getQuarantineMs(digest: string): number | undefined;
  /** Notes that an engine ended its connection to a run without a token; resolves once it is known whether it crashed. */
  abstract noteLost(digest: string, engine: LostEngine): Promise<void>;
  /** Notes that a run gave a token. */
  abstract noteSurvived(digest: string): void;
}

/** Holds nothing back. */
export class NoCrashQuarantine extends CrashQuarantine {
  override getQuarantineMs(): undefined {
    return undefined;
  }
  override noteLost(): Promise<void> {
    return Promise.resolve();
  }
  override noteSurvived(): void {}
}
