/** Client of the log service over HTTP. The protocol is specified in docs/INTERFACES.md. */
import { errors, results } from "@shedtiller/common";
import got from "got";
import * as zod from "zod";
import {
  type AppendReceipt,
  type LogError,
  type LogPage,
  LogRefusedError,
  LogService,
  logPageSchema,
} from "../LogService.js";
import { classifyHttpError } from "./classifyHttpError.js";

const appendTimeoutMs = 2_000;
const connectTimeoutMs = 1_000;
const readGraceMs = 2_000;
const createdStatus = 201;
const okStatus = 200;
const receiptSchema = zod.object({ offset: zod.number().int().nonnegative(), atMs: zod.number() });

/** Appends and reads records of the log service at an address over HTTP. */
export class HttpLogService extends LogService {
  /** @param address - IP address and port of the service. */
  constructor(readonly address: string) {
    super();
  }

  override async append(
    stream: string,
    id: string,
    payload: unknown,
    timeoutMs = appendTimeoutMs,
  ): Promise<results.Result<AppendReceipt, LogError>> {
    try {
      const response = await got.post(`http://${this.address}/streams/${stream}/records`, {
        json: { id, payload },
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { connect: connectTimeoutMs, request: timeoutMs },
      });
      if (response.statusCode !== createdStatus) return results.Err(new LogRefusedError(response.statusCode));
      return results.Ok(receiptSchema.parse(JSON.parse(response.body)));
    } catch (error) {
      return results.Err(classifyHttpError(this.address, error));
    }
  }

  override async read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<results.Result<LogPage, LogError>> {
    try {
      const response = await got.get(`http://${this.address}/streams/${stream}/records`, {
        searchParams: { from: fromOffset, waitMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        signal,
        timeout: { connect: connectTimeoutMs, request: waitMs + readGraceMs },
      });
      if (response.statusCode !== okStatus) return results.Err(new LogRefusedError(response.statusCode));
      return results.Ok(logPageSchema.parse(JSON.parse(response.body)));
    } catch (error) {
      if (error instanceof zod.ZodError)
        return results.Err(new errors.ConnectionLostError(this.address, error));
      return results.Err(classifyHttpError(this.address, error));
    }
  }
}
