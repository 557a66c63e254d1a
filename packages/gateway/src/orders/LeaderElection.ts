import type { results } from "@shedtiller/common";
import type { StoreError } from "../discovery/ChangeFeed.js";

/** Elects the instance that may send orders, through the platform's store; a leader remains leader as long as it renews its leadership. */
export abstract class LeaderElection {
  /**
   * Campaigns for leadership, or renews it.
   * @returns Whether this instance leads for the next `termMs`.
   */
  abstract campaign(): Promise<results.Result<boolean, StoreError>>;

  /** Resigns the leadership, so that another instance can take over at once. */
  abstract resign(): Promise<void>;

  /** How long an instance leads, counted from the start of the campaign that it won. */
  abstract readonly termMs: number;
}
