/** Fields of a log line; their values are plain data. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | readonly string[]>>;

export type LogLevel = "info" | "warn" | "error";

/** Writes the log lines that are within the budget. */
export abstract class LogSink {
  /** Returns whether the consumer of the output has fallen behind. */
  abstract isBehind(): boolean;
  abstract write(level: LogLevel, event: string, fields: LogFields): void;
}

/** Maximum lines per second for each event name. A failed request causes about five lines, and a line takes about 20 µs. */
const linesPerSecond: Readonly<Record<LogLevel, number>> = { info: 20, warn: 60, error: 60 };
const windowMs = 1_000;

interface Usage {
  startedAtMs: number;
  lines: number;
  leftOut: number;
}

/**
 * Logs decisions as structured lines within a rate limit for each event name, and counts the lines that were left out. Logging never
 * blocks: lines are left out while the consumer of the output is behind.
 */
export class DecisionLog {
  private readonly _usages = new Map<string, Usage>();

  constructor(
    private readonly _sink: LogSink,
    private readonly _nowMs: () => number,
  ) {}

  info(event: string, fields: LogFields): void {
    this._write("info", event, fields);
  }

  warn(event: string, fields: LogFields): void {
    this._write("warn", event, fields);
  }

  error(event: string, fields: LogFields): void {
    this._write("error", event, fields);
  }

  private _write(level: LogLevel, event: string, fields: LogFields): void {
    const usage = this._getUsage(event);
    if (usage.lines >= linesPerSecond[level] || this._sink.isBehind()) {
      usage.leftOut += 1;
      return;
    }
    usage.lines += 1;
    const { leftOut } = usage;
    usage.leftOut = 0;
    this._sink.write(level, event, leftOut === 0 ? fields : { ...fields, leftOut });
  }

  private _getUsage(event: string): Usage {
    const nowMs = this._nowMs();
    let usage = this._usages.get(event);
    if (usage === undefined) {
      usage = { startedAtMs: nowMs, lines: 0, leftOut: 0 };
      this._usages.set(event, usage);
    }
    if (nowMs - usage.startedAtMs >= windowMs) {
      usage.startedAtMs = nowMs;
      usage.lines = 0;
    }
    return usage;
  }
}
