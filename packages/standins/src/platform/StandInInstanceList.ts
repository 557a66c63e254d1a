/** Stand-in for the instance list of the platform. Changes become visible after a lag. */
import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import type * as restify from "restify";
import { HttpStandIn } from "../HttpStandIn.js";

const okStatus = 200;
const notModifiedStatus = 304;

/** Returns the address at which a viewer reaches a listed instance. */
export type AddressResolver = (viewer: string, instance: ListedInstance) => Promise<string>;

/** Serves the instance list on loopback. Changes become visible after `lagMs`. */
export class StandInInstanceList extends HttpStandIn {
  private readonly _instances = new Map<string, ListedInstance>();

  constructor(
    readonly lagMs: number,
    private readonly _resolveAddress: AddressResolver,
  ) {
    super("instance-list");
    this.server.get("/instances", async (request: restify.Request, response: restify.Response) => {
      const viewer = String((request.query as { viewer?: string }).viewer ?? "");
      const listed = [...this._instances.values()];
      const instances = await Promise.all(
        listed.map(async (instance) => ({
          ...instance,
          address: await this._resolveAddress(viewer, instance),
        })),
      );
      const body = JSON.stringify({ instances });
      const entityTag = `"${utils.hash32(body)}"`;
      response.setHeader("etag", entityTag);
      if (request.header("if-none-match") === entityTag) response.send(notModifiedStatus);
      else response.sendRaw(okStatus, body, { "content-type": "application/json" });
    });
  }

  /** Adds an instance or changes its state, after the lag. */
  set(instance: ListedInstance): void {
    this._applyAfterLag(() => this._instances.set(instance.name, instance));
  }

  /** Adds an instance without the lag, for instances that exist before the fleet starts. */
  setNow(instance: ListedInstance): void {
    this._instances.set(instance.name, instance);
  }

  /** Removes an instance, after the lag. */
  remove(name: string): void {
    this._applyAfterLag(() => this._instances.delete(name));
  }

  private _applyAfterLag(change: () => void): void {
    void utils.sleep(this.lagMs).then(change);
  }
}
