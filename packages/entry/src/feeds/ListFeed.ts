/** Follows the platform's instance list. While it can't be had, what was last listed stands. */
import { utils } from "@shedtiller/common";
import type { InstanceList, ListedInstance } from "@shedtiller/logservice";

const intervalMs = 500;

/** Hands each page on. */
export class ListFeed {
  /** Wall time since when the list has not answered; undefined while it does. */
  silentSinceMs: number | undefined;

  constructor(
    private readonly _list: InstanceList,
    private readonly _onPage: (instances: readonly ListedInstance[]) => void,
  ) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      intervalMs,
      signal,
      () => this.refresh(),
      () => undefined,
    );
  }

  async refresh(): Promise<void> {
    const page = await this._list.getInstances();
    if (page.err) {
      this.silentSinceMs ??= utils.wallMs();
      return;
    }
    this.silentSinceMs = undefined;
    this._onPage(page.val);
  }
}
