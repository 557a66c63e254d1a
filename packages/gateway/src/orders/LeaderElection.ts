/** Who among the instances gives orders, as the platform's store decides it. */
import type { results } from "@shedtiller/common";
import type { StoreError } from "../discovery/ChangeFeed.js";

/** One election; a leader stays in office while it keeps campaigning. */
export abstract class LeaderElection {
  /** Takes part, or stays in office; tells whether this instance leads for the next `termMs`. */
  abstract campaign(): Promise<results.Result<boolean, StoreError>>;

  /** Gives up the office, so that another instance follows at once. */
  abstract resign(): Promise<void>;

  /** How long an instance leads after the start of a campaign that it won. */
  abstract readonly termMs: number;
}
