/** A connector whose connections are established once a test lets them. */
import * as net from "node:net";
import { results, utils, type errors } from "@shedtiller/common";
import { Connector, type Connection } from "../../http/Connector.js";

/** Holds up connections until {@link release}, except the first ones. */
export class HeldConnector extends Connector {
  private readonly _released = new utils.Deferred<undefined>();
  /** Number of connections that have been asked for. */
  requested = 0;

  /** @param _unheld - Number of connections that are established at once. */
  constructor(private readonly _unheld: number) {
    super();
  }

  release(): void {
    this._released.resolve(undefined);
  }

  override async connect(address: string): Promise<results.Result<Connection, errors.NotReachedError>> {
    this.requested += 1;
    if (this.requested > this._unheld) await this._released.promise;
    const [host = "", port = ""] = address.split(":");
    const socket = net.connect({ host, port: Number(port) });
    await new Promise((resolve) => socket.once("connect", resolve));
    return results.Ok({ socket, path: undefined });
  }

  override getPath(): undefined {
    return undefined;
  }

  override mayReuse(): boolean {
    return true;
  }

  override noteSilence(): boolean {
    return false;
  }

  override wasClosedByServer(): Promise<boolean> {
    return Promise.resolve(true);
  }

  override onPathChanged(): void {
    // Paths do not change.
  }
}
