import * as net from "node:net";
import { errors, results, utils } from "@shedtiller/common";
import type { ConnectFailure } from "../http/Connector.js";
import { isRefused } from "../http/isRefused.js";

/** A failed attempt to connect. */
export interface FailedConnect {
  readonly failure: ConnectFailure;
  readonly error: errors.NotReachedError;
}

/** Connects to an address without a peer. An error of the connection before anybody uses it has no effect but its end. */
export function connectDirectly(
  address: string,
  timeoutMs: number,
  options: Partial<net.TcpNetConnectOpts> = {},
): Promise<results.Result<net.Socket, FailedConnect>> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = net.connect({ ...options, host, port: Number(port), noDelay: true });
    const fail = (failure: ConnectFailure, cause?: unknown): void => {
      timeout.clear();
      socket.destroy();
      resolve(results.Err({ failure, error: new errors.NotReachedError(address, cause) }));
    };
    const onError = (error: Error): void => fail(isRefused(error) ? "refused" : "unanswered", error);
    const timeout = new utils.IoTimeout(timeoutMs, () => fail("unanswered"), { isPauseExcluded: true });
    socket.on("error", onError);
    socket.once("connect", () => {
      timeout.clear();
      resolve(results.Ok(socket));
    });
  });
}
