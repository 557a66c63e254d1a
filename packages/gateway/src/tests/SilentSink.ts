import { LogOutput } from "../logs/DecisionLog.js";

/** Discards all log lines. */
export class SilentSink extends LogOutput {
  override isBehind(): boolean {
    return true;
  }
  override write(): void {}
}
