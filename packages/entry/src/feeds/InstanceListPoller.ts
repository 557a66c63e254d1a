/** Follows the platform's instance list. While it can't be had, what was last listed stands. */
import { utils } from "@shedtiller/common";
import type { InstanceList, ListedInstance } from "@shedtiller/logservice";

const pollIntervalMs = 500;

/** Hands each page on. */
export class InstanceListPoller {
  /** Wall time since when the list has not answered; undefined while it does. */
  unavailableSinceMs: number | undefined;

  constructor(
    private readonly _list: InstanceList,
    private readonly _onPage: (instances: readonly ListedInstance[]) => void,
  ) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      pollIntervalMs,
      signal,
      () => this.refresh(),
      () => undefined,
    );
  }

  async refresh(): Promise<void> {
    const page = await this._list.getInstances();
    if (page.err) {
      this.unavailableSinceMs ??= utils.wallMs();
      return;
    }
    this.unavailableSinceMs = undefined;
    this._onPage(page.val);
  }
}
