/** Connection pool that respects the keep-alive times of servers. */
import type * as http from "node:http";
import type * as net from "node:net";
import type { Duplex } from "node:stream";
import { ConnectorAgent } from "./ConnectorAgent.js";

/** Maximum number of idle connections per address. Endpoints allow hundreds from all clients together. */
const maxFreeSockets = 16;
/** Maximum idle time if the server announces none: the shortest idle timeout of known endpoints is 1 s. */
const unannouncedIdleMs = 900;
/** Maximum idle time whatever the server announces, since an idle connection may have died unnoticed. */
const maxIdleMs = 8_000;

/** Result with which Node's agent closes a connection instead of keeping it. */
const stale = false as unknown as void;

/**
 * Keeps idle connections for reuse. Node's agent applies the keep-alive time that a server announces, less one second; this agent adds a
 * limit for servers that announce none.
 */
export class KeepAliveAgent extends ConnectorAgent {
  private readonly _announced = new WeakSet<Duplex>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets, timeout: maxIdleMs, scheduling: "lifo" });
  }

  /** Records whether an answer on the connection announced a keep-alive time. */
  noteAnswer(socket: Duplex, headers: http.IncomingHttpHeaders): void {
    if (headers["keep-alive"] === undefined) this._announced.delete(socket);
    else this._announced.add(socket);
  }

  /** Closes all idle connections to an address. */
  closeIdleConnections(address: string): void {
    for (const socket of this.getIdleSockets(address)) socket.destroy();
  }

  override keepSocketAlive(socket: Duplex): void {
    // Node's method returns whether the connection may be kept, which its type declarations omit.
    const isKept = super.keepSocketAlive(socket);
    if (!this._announced.has(socket)) (socket as net.Socket).setTimeout(unannouncedIdleMs);
    return this.connector?.mayReuse(socket) === false ? stale : isKept;
  }
}
