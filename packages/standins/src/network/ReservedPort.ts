/** Ports that stay reserved while their stand-in is down. */
import * as net from "node:net";
import { errors, utils } from "@shedtiller/common";

/** Address at which the holder of a port listens on it from its reservation to its release, in every process. */
const reservationHost = "127.0.0.2";
/** The ports are below the range of outgoing connections (Linux: from 32768), since such a connection could take one that is free for a moment. */
const firstPort = 20_000;
const portCount = 12_000;
const maxAttempts = 1_000;
const random = new utils.RandomSource(process.pid);

/** A port that no other stand-in of the machine uses until it is released. */
export class ReservedPort {
  private constructor(
    readonly port: number,
    private readonly _holder: net.Server,
  ) {}

  /** Reserves a port on which `server` can listen, and starts to listen on it at `host`. */
  static async listen(server: net.Server, host: string): Promise<ReservedPort> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const port = firstPort + random.nextInteger(portCount);
      const holder = net.createServer((socket) => socket.destroy()).unref();
      if (!(await tryListen(holder, port, reservationHost))) continue;
      if (await tryListen(server, port, host)) return new ReservedPort(port, holder);
      holder.close();
    }
    throw new errors.InvariantError(`None of ${maxAttempts} ports below the outgoing range is free.`);
  }

  release(): void {
    if (this._holder.listening) this._holder.close();
  }
}

/** Starts to listen; returns false if the port is taken. */
function tryListen(server: net.Server, port: number, host: string): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const onError = (error: NodeJS.ErrnoException): void => {
      if (error.code === "EADDRINUSE") resolve(false);
      else reject(error);
    };
    server.once("error", onError);
    server.listen(port, host, () => {
      server.removeListener("error", onError);
      resolve(true);
    });
  });
}
