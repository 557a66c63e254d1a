/** Closed-loop load generator: each caller sends its next request after its previous request has ended. */
import { EventEmitter } from "node:events";
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, type CallerReport } from "../fleet/CallerClient.js";

/** Options of {@link ClosedLoop}. */
export interface ClosedLoopOptions {
  readonly addresses: readonly string[];
  readonly key: string;
  readonly model: string;
  readonly layerCount: number;
  readonly callers: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly seed: number;
}

/** Runs a fixed number of callers until `stop`, and collects their reports. */
export class ClosedLoop {
  readonly reports: CallerReport[] = [];
  private readonly _stop = new AbortController();
  private readonly _random: utils.RandomSource;
  private _tasks: Promise<void>[] = [];
  private _requestCount = 0;

  constructor(private readonly _options: ClosedLoopOptions) {
    this._random = new utils.RandomSource(_options.seed);
    EventEmitter.setMaxListeners(0, this._stop.signal);
  }

  start(): void {
    this._tasks = Array.from({ length: this._options.callers }, (_value, index) => this._runCaller(index));
  }

  /** Stops all callers and aborts the requests in flight. */
  async stop(): Promise<void> {
    this._stop.abort();
    await Promise.all(this._tasks);
  }

  private async _runCaller(caller: number): Promise<void> {
    const { addresses, key, model, layerCount, promptTokens, outputTokens } = this._options;
    await utils.sleep(this._random.nextInteger(500));
    while (!this._stop.signal.aborted) {
      const prompt = createPrompt(`p${this._requestCount++}`, promptTokens);
      const address = addresses[caller % addresses.length] ?? "";
      // Random output lengths keep the callers from synchronizing.
      const length = Math.max(1, Math.round(outputTokens * (0.5 + this._random.nextUnit())));
      const request = {
        address,
        key,
        model,
        layerCount,
        prompt,
        outputTokens: length,
        signal: this._stop.signal,
      };
      const report = await sendModelRequest(request);
      this.reports.push(report);
      if (report.outcome !== "refused-not-run") continue;
      // Waits for the time in Retry-After with jitter, so that callers that were refused together don't retry together.
      const retryDelayMs = (report.retryAfterS ?? 1) * utils.msPerSecond * (1 + this._random.nextUnit());
      await utils.sleep(retryDelayMs, this._stop.signal).catch(() => undefined);
    }
  }
}
