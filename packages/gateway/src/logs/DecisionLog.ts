import type { LogFields, LogLevel, LogOutput } from "./LogOutput.js";

/** Maximum lines per second for each event name. A failed request causes about five lines, and a line takes about 20 µs. */
const linesPerSecond: Readonly<Record<LogLevel, number>> = { info: 20, warn: 60, error: 60 };
const windowMs = 1_000;

/** Number of lines of one event name in the current window, and of lines left out since the last written one. */
interface EventWindow {
  startedAtMs: number;
  lines: number;
  leftOut: number;
}

/**
 * Logs decisions as structured lines within a rate limit for each event name, and counts the lines that were left out. Logging never
 * blocks: lines are left out while the consumer of the output is behind.
 */
export class DecisionLog {
  private readonly _windows = new Map<string, EventWindow>();

  constructor(
    private readonly _output: LogOutput,
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
    const window = this._getWindow(event);
    if (window.lines >= linesPerSecond[level] || this._output.isBehind()) {
      window.leftOut += 1;
      return;
    }
    window.lines += 1;
    const { leftOut } = window;
    window.leftOut = 0;
    this._output.write(level, event, leftOut === 0 ? fields : { ...fields, leftOut });
  }

  private _getWindow(event: string): EventWindow {
    const nowMs = this._nowMs();
    let window = this._windows.get(event);
    if (window === undefined) {
      window = { startedAtMs: nowMs, lines: 0, leftOut: 0 };
      this._windows.set(event, window);
    }
    if (nowMs - window.startedAtMs >= windowMs) {
      window.startedAtMs = nowMs;
      window.lines = 0;
    }
    return window;
  }
}
