/** Keeps connections between calls for as long as the other side says that it does. */
import * as http from "node:http";
import type * as net from "node:net";
import type { Duplex } from "node:stream";

/** Rested connections per address; more are closed. Endpoints allow hundreds over all callers. */
const maxFreeSockets = 16;
/** Without a word of the other side a rested connection is not used past this: the shortest rest seen on endpoints is 1 s. */
const unannouncedRestMs = 900;
/** Past this a rested connection is not used whatever the other side says: it may have gone silent unnoticed. */
const longestRestMs = 8_000;

/** Node heeds a time that the other side has announced, less a second; this agent adds the rest without one. */
export class KeptAgent extends http.Agent {
  private readonly _announced = new WeakSet<Duplex>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets, timeout: longestRestMs, scheduling: "lifo" });
  }

  /** Notes what an answer on the connection said of its rest. */
  noteAnswer(socket: Duplex, headers: http.IncomingHttpHeaders): void {
    if (headers["keep-alive"] === undefined) this._announced.delete(socket);
    else this._announced.add(socket);
  }

  /** Ends the connections to an IP and port that rest. */
  dropRested(address: string): void {
    // Node names its lists of sockets by host, port and what else tells them apart, with colons.
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (!name.startsWith(`${address}:`)) continue;
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  override keepSocketAlive(socket: Duplex): void {
    // Node's method tells whether the connection may be kept, which its types leave out.
    const isKept = super.keepSocketAlive(socket);
    if (!this._announced.has(socket)) (socket as net.Socket).setTimeout(unannouncedRestMs);
    return isKept;
  }
}
