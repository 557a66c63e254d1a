/** A proxy before an instance: each connection has a link of its own, of a given speed towards the caller and with small windows. */
import * as net from "node:net";
import { host } from "./common.mjs";

const tickMs = 10;

export class SlowLink {
  constructor(targetPort, bytesPerSecond) {
    this._targetPort = targetPort;
    this._bytesPerTick = Math.ceil((bytesPerSecond * tickMs) / 1_000);
    this._server = net.createServer((socket) => this._carry(socket));
    this._sockets = new Set();
  }

  get port() {
    return this._server.address().port;
  }

  listen() {
    return new Promise((resolve) => this._server.listen(0, host, resolve));
  }

  close() {
    this._server.close();
    for (const socket of this._sockets) socket.destroy();
  }

  _carry(caller) {
    const target = net.connect(this._targetPort, host);
    for (const socket of [caller, target]) {
      this._sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this._sockets.delete(socket));
    }
    caller.pipe(target);
    let hasEnded = false;
    let budgetBytes = 0;
    target.once("end", () => (hasEnded = true));
    target.once("error", () => caller.destroy());
    target.pause();
    const timer = setInterval(() => {
      budgetBytes += this._bytesPerTick;
      const bytes = target.read(Math.min(budgetBytes, target.readableLength)) ?? undefined;
      if (bytes === undefined) {
        target.read(0);
        budgetBytes = Math.min(budgetBytes, this._bytesPerTick);
        if (hasEnded && target.readableLength === 0) {
          clearInterval(timer);
          caller.end();
        }
        return;
      }
      budgetBytes -= bytes.length;
      caller.write(bytes);
    }, tickMs);
    caller.once("close", () => {
      clearInterval(timer);
      target.destroy();
    });
    target.once("close", () => {
      if (!hasEnded) caller.destroy();
    });
  }
}
