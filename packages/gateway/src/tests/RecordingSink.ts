/** A sink that keeps the names of the lines, each behind its level. */
import { LogSink, type LogLevel } from "../logs/DecisionLog.js";

/** One for a test. */
export class RecordingSink extends LogSink {
  readonly events: string[] = [];

  override isBehind(): boolean {
    return false;
  }

  override write(level: LogLevel, event: string): void {
    this.events.push(`${level} ${event}`);
  }
}
