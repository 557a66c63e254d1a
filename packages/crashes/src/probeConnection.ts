/** Whether anything listens at an address: an endpoint that crashed refuses connections at once, one that only cut a connection does not. */
import * as net from "node:net";

/** What an attempt to connect showed; nothing, where no answer came in time or the way there is cut. */
export type ProbeResult = "open" | "refused" | "nothing";

/** Tries to connect, and closes at once. */
export function probeConnection(address: string, timeoutMs: number): Promise<ProbeResult> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    const end = (result: ProbeResult): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end("nothing"), timeoutMs);
    socket.once("connect", () => end("open"));
    socket.once("error", (error: NodeJS.ErrnoException) =>
      end(error.code === "ECONNREFUSED" ? "refused" : "nothing"),
    );
  });
}
