/** Start of servers. */
import type * as net from "node:net";
import * as errors from "../errors/index.js";
import { sleep } from "./tasks.js";

const retryIntervalMs = 200;
/**
 * An outgoing connection may hold the port of a server that starts, and so may an earlier process that is ending. An address that is in use for longer
 * is that of another server.
 */
const maxInUseMs = 10_000;

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
  /** Maximum number of connections that wait to be accepted. */
  readonly backlog?: number;
}

/** How a server waits for an address that is in use. */
export interface ListenOptions {
  /** Called once with the address if it is in use. */
  readonly onInUse?: ((address: string) => void) | undefined;
  /** Waits between two attempts, replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/**
 * Starts a server; resolves once it listens. An address in use is tried again for a while.
 * @throws NotListeningError if the server can't listen on the address.
 */
export async function listen(
  server: net.Server,
  address: ListenAddress,
  { onInUse, pause = sleep }: ListenOptions = {},
): Promise<void> {
  const name = `${address.host}:${address.port}`;
  for (let waitedMs = 0; ; waitedMs += retryIntervalMs) {
    const error = await tryToListen(server, address);
    if (error === undefined) return;
    if (error.code !== "EADDRINUSE" || waitedMs >= maxInUseMs)
      throw new errors.NotListeningError(name, error);
    if (waitedMs === 0) onInUse?.(name);
    await pause(retryIntervalMs);
  }
}

/** Returns the error if the server can't listen. */
function tryToListen(server: net.Server, address: ListenAddress): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    const settle = (error?: NodeJS.ErrnoException): void => {
      server.off("error", settle);
      server.off("listening", settle);
      resolve(error);
    };
    server.once("error", settle);
    server.once("listening", settle);
    server.listen({ ...address });
  });
}
