import { LogOutput, type LogFields, type LogLevel } from "../logs/LogOutput.js";

/** Records the log lines. */
export class RecordingLogOutput extends LogOutput {
  /** The level and the event name of each line. */
  readonly events: string[] = [];
  /** The fields of each line. */
  readonly fields: LogFields[] = [];

  override isBehind(): boolean {
    return false;
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.events.push(`${level} ${event}`);
    this.fields.push(fields);
  }
}
