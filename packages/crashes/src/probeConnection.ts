import * as net from "node:net";
import { utils } from "@shedtiller/common";

/** Result of a connection attempt; `nothing` if no answer came in time or the address could not be reached. */
export type ProbeResult = "open" | "refused" | "nothing";

/**
 * Checks whether a process listens at an address by connecting and closing immediately: an endpoint that crashed refuses connections, an
 * endpoint that merely closed a connection accepts them.
 */
export function probeConnection(address: string, timeoutMs: number): Promise<ProbeResult> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    const end = (result: ProbeResult): void => {
      timeout.clear();
      socket.destroy();
      resolve(result);
    };
    const timeout = new utils.IoTimeout(timeoutMs, () => end("nothing"), { isPauseExcluded: true });
    socket.once("connect", () => end("open"));
    socket.once("error", (error: NodeJS.ErrnoException) =>
      end(error.code === "ECONNREFUSED" ? "refused" : "nothing"),
    );
  });
}
