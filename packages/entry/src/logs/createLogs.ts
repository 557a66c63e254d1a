/** Logs of an instance, as text or JSON, with a level that can be changed at run time. */
import * as winston from "winston";

/** Components that write logs. */
export type LogComponent =
  "entry" | "callers" | "operators" | "peers" | "configuration" | "orders" | "platform";

/** Log of one component. */
export interface ComponentLog {
  info(message: string): void;
  warn(message: string): void;
  error(message: string): void;
  debug(message: string): void;
}

/** Logs of one instance. */
export interface Logs {
  /** Returns the log of a component. */
  forComponent(component: LogComponent): ComponentLog;
  /** Sets the level of all components. */
  setLevel(level: string): void;
  readonly level: string;
}

/** Settings of the logs. */
export interface LogOptions {
  readonly instance: string;
  readonly level: string;
  readonly format: "text" | "json";
  /** Whether nothing is written, for embedding and tests. */
  readonly isSilent?: boolean;
}

/** Creates the logs of an instance, which are written to standard error. */
export function createLogs(options: LogOptions): Logs {
  const logger = winston.createLogger({
    level: options.level,
    silent: options.isSilent ?? false,
    format:
      options.format === "json" ? createJsonFormat(options.instance) : createTextFormat(options.instance),
    transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
  });
  return {
    forComponent: (component) => createComponentLog(logger, component),
    setLevel: (level) => {
      logger.level = level;
    },
    get level() {
      return logger.level;
    },
  };
}

function createComponentLog(logger: winston.Logger, component: LogComponent): ComponentLog {
  const write = (level: string) => (message: string) => void logger.log({ level, message, part: component });
  return { info: write("info"), warn: write("warn"), error: write("error"), debug: write("debug") };
}

function createJsonFormat(instance: string): winston.Logform.Format {
  const withInstance = winston.format((entry) => ({ ...entry, instance }));
  return winston.format.combine(winston.format.timestamp(), withInstance(), winston.format.json());
}

function createTextFormat(instance: string): winston.Logform.Format {
  const line = winston.format.printf((entry) => {
    return `${String(entry["timestamp"])} ${entry.level} ${instance} ${String(entry["part"])}: ${String(entry.message)}`;
  });
  return winston.format.combine(winston.format.timestamp(), line);
}
