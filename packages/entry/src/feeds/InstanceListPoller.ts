/** Polling of the platform's instance list. */
import { utils } from "@shedtiller/common";
import type { InstanceList, ListedInstance } from "@shedtiller/logservice";

const pollIntervalMs = 500;

/** Polls the instance list and passes each page to a callback. While the list is unavailable, the last page stays in force. */
export class InstanceListPoller {
  /** Wall time of the first failed request since the last page; undefined if the last request succeeded. */
  unavailableSinceMs: number | undefined;

  constructor(
    private readonly _list: InstanceList,
    private readonly _onPage: (instances: readonly ListedInstance[]) => void,
  ) {}

  /** Polls until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      pollIntervalMs,
      signal,
      () => this.refresh(),
      () => undefined,
    );
  }

  /** Fetches the list once. */
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
