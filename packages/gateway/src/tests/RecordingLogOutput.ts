import { LogOutput, type LogLevel } from "../logs/LogOutput.js";

/** Records the level and the event name of each log line. */
export class RecordingLogOutput extends LogOutput {
  readonly events: string[] = [];

  override isBehind(): boolean {
    return false;
  }

  override write(level: LogLevel, event: string): void {
    this.events.push(`${level} ${event}`);
  }
}
