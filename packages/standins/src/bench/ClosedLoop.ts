/** Callers that each send their next request as soon as the last one has ended. */
import { EventEmitter } from "node:events";
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, type CallerReport } from "../fleet/CallerClient.js";

/** What the callers send. */
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

/** Runs callers until it is stopped, and keeps what they saw. */
export class ClosedLoop {
  readonly reports: CallerReport[] = [];
  private readonly _stop = new AbortController();
  private readonly _random: utils.RandomSource;
  private _tasks: Promise<void>[] = [];
  private _next = 0;

  constructor(private readonly _options: ClosedLoopOptions) {
    this._random = new utils.RandomSource(_options.seed);
    EventEmitter.setMaxListeners(0, this._stop.signal);
  }

  start(): void {
    this._tasks = Array.from({ length: this._options.callers }, (_value, index) => this._call(index));
  }

  /** Ends all callers, cutting the requests that are under way. */
  async stop(): Promise<void> {
    this._stop.abort();
    await Promise.all(this._tasks);
  }

  private async _call(caller: number): Promise<void> {
    const { addresses, key, model, layerCount, promptTokens, outputTokens } = this._options;
    await utils.sleep(this._random.nextInteger(500));
    while (!this._stop.signal.aborted) {
      const prompt = createPrompt(`p${this._next++}`, promptTokens);
      const address = addresses[caller % addresses.length] ?? "";
      // Lengths differ, so that callers don't march in step.
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
      // As the refusal asked, and a little apart from the others that were refused with it.
      const pauseMs = (report.retryAfterS ?? 1) * utils.msPerSecond * (1 + this._random.nextUnit());
      await utils.sleep(pauseMs, this._stop.signal).catch(() => undefined);
    }
  }
}
