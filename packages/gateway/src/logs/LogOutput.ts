/** Fields of a log line; their values are plain data. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>;

export type LogLevel = "info" | "warn" | "error";

/** Writes the log lines that are within the budget. */
export abstract class LogOutput {
  /** Returns whether the consumer of the output has fallen behind. */
  abstract isBehind(): boolean;
  abstract write(level: LogLevel, event: string, fields: LogFields): void;
}
