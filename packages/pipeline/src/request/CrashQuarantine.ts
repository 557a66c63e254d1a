/** Quarantine of requests that crash the engines that start to run them. */

/** An engine whose connection was closed. */
export interface LostEngine {
  readonly name: string;
  /** IP and port. */
  readonly address: string;
}

/**
 * Decides which requests are quarantined. Requests are identified by traits that they may share with others, since a retry has another
 * request id.
 */
export abstract class CrashQuarantine {
  /** Returns how long a request is still quarantined; undefined if it may run. */
  abstract getQuarantineMs(traits: readonly string[]): number | undefined;
  /** Records that an engine closed its connection before a run had a token; resolves once the run may go on at another engine. */
  abstract noteLost(traits: readonly string[], engine: LostEngine): Promise<void>;
  /** Records that a run has produced its first token, and so has not crashed its engines. */
  abstract noteSurvived(traits: readonly string[]): void;
}

/** Quarantines no requests. */
export class NoCrashQuarantine extends CrashQuarantine {
  override getQuarantineMs(): undefined {
    return undefined;
  }
  override noteLost(): Promise<void> {
    return Promise.resolve();
  }
  override noteSurvived(): void {}
}
