/** A sink for tests that look at no log. */
import { LogSink } from "../logs/DecisionLog.js";

export class SilentSink extends LogSink {
  override isBehind(): boolean {
    return true;
  }
  override write(): void {}
}
