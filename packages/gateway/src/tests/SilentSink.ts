import { LogSink } from "../logs/DecisionLog.js";

/** Discards all log lines. */
export class SilentSink extends LogSink {
  override isBehind(): boolean {
    return true;
  }
  override write(): void {}
}
