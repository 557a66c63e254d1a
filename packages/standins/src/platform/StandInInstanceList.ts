/** A stand-in for the platform's instance list, with its lag. */
import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import type * as restify from "restify";
import { HttpStandIn } from "../HttpStandIn.js";

const okStatus = 200;
const notModifiedStatus = 304;

/** Gives the address under which a viewer reaches a listed instance. */
export type AddressView = (viewer: string, instance: ListedInstance) => Promise<string>;

/** The list on loopback. Changes are seen `lagMs` late. */
export class StandInInstanceList extends HttpStandIn {
  private readonly _instances = new Map<string, ListedInstance>();

  constructor(
    readonly lagMs: number,
    private readonly _view: AddressView,
  ) {
    super("instance-list");
    this.server.get("/instances", async (request: restify.Request, response: restify.Response) => {
      const viewer = String((request.query as { viewer?: string }).viewer ?? "");
      const shown = [...this._instances.values()];
      const instances = await Promise.all(
        shown.map(async (instance) => ({ ...instance, address: await this._view(viewer, instance) })),
      );
      const body = JSON.stringify({ instances });
      const entityTag = `"${utils.hash32(body)}"`;
      response.setHeader("etag", entityTag);
      if (request.header("if-none-match") === entityTag) response.send(notModifiedStatus);
      else response.sendRaw(okStatus, body, { "content-type": "application/json" });
    });
  }

  /** Lists an instance or changes its state, after the lag. */
  set(instance: ListedInstance): void {
    this._later(() => this._instances.set(instance.name, instance));
  }

  /** Lists an instance at once, for what was there before the fleet began. */
  setNow(instance: ListedInstance): void {
    this._instances.set(instance.name, instance);
  }

  remove(name: string): void {
    this._later(() => this._instances.delete(name));
  }

  private _later(change: () => void): void {
    void utils.sleep(this.lagMs).then(change);
  }
}
