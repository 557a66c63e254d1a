import * as winston from "winston";
import { LogOutput, type LogFields, type LogLevel } from "./LogOutput.js";

/** Lines are left out while more than this is buffered for the consumer of the output. */
const maxBufferedBytes = 64 * 1024;

/** Writes log lines to the standard output through winston, one JSON object per line. */
export class WinstonLogOutput extends LogOutput {
  private readonly _logger: winston.Logger;

  constructor(
    instance: string,
    private readonly _output: NodeJS.WritableStream & { readonly writableLength: number } = process.stdout,
  ) {
    super();
    const json = winston.format.printf((entry) => JSON.stringify(entry));
    this._logger = winston.createLogger({
      level: "info",
      format: winston.format.combine(winston.format.timestamp(), json),
      defaultMeta: { instance },
      transports: [new winston.transports.Stream({ stream: _output })],
    });
  }

  override isBehind(): boolean {
    return this._output.writableLength > maxBufferedBytes;
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this._logger.log({ level, message: event, ...fields });
  }
}
