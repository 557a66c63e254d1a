/** Logs: short sentences with a fixed prefix for each part, as text or JSON, with a level that changes at run time. */
import * as winston from "winston";

/** Parts that log, by their prefix. */
export type LogComponent =
  "entry" | "callers" | "operators" | "peers" | "configuration" | "orders" | "platform";

/** What a part writes with. */
export interface ComponentLog {
  info(sentence: string): void;
  warn(sentence: string): void;
  error(sentence: string): void;
  debug(sentence: string): void;
}

/** The logs of one instance. */
export interface Logs {
  forComponent(part: LogComponent): ComponentLog;
  /** Changes the level for all parts from now on. */
  setLevel(level: string): void;
  readonly level: string;
}

/** Settings of the logs. */
export interface LogOptions {
  readonly instance: string;
  readonly level: string;
  readonly format: "text" | "json";
  /** Writes nothing at all, for embedding and tests. */
  readonly isSilent?: boolean;
}

/** Makes the logs of an instance; they go to the standard error. */
export function createLogs(options: LogOptions): Logs {
  const logger = winston.createLogger({
    level: options.level,
    silent: options.isSilent ?? false,
    format:
      options.format === "json" ? createJsonFormat(options.instance) : createTextFormat(options.instance),
    transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
  });
  return {
    forComponent: (part) => createPartLog(logger, part),
    setLevel: (level) => {
      logger.level = level;
    },
    get level() {
      return logger.level;
    },
  };
}

function createPartLog(logger: winston.Logger, part: LogComponent): ComponentLog {
  const write = (level: string) => (sentence: string) => void logger.log({ level, message: sentence, part });
  return { info: write("info"), warn: write("warn"), error: write("error"), debug: write("debug") };
}

function createJsonFormat(instance: string): winston.Logform.Format {
  const named = winston.format((entry) => ({ ...entry, instance }));
  return winston.format.combine(winston.format.timestamp(), named(), winston.format.json());
}

function createTextFormat(instance: string): winston.Logform.Format {
  const line = winston.format.printf((entry) => {
    return `${String(entry["timestamp"])} ${entry.level} ${instance} ${String(entry["part"])}: ${String(entry.message)}`;
  });
  return winston.format.combine(winston.format.timestamp(), line);
}
