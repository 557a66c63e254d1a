/** Client of the instance list over HTTP. The protocol is specified in docs/INTERFACES.md. */
import { errors, results } from "@shedtiller/common";
import got from "got";
import {
  InstanceList,
  type InstanceListError,
  instancePageSchema,
  type ListedInstance,
} from "../InstanceList.js";
import { classifyHttpError } from "./classifyHttpError.js";

const requestTimeoutMs = 2_000;
const notModifiedStatus = 304;

/** Reads the instance list from an address over HTTP, with conditional requests. */
export class HttpInstanceList extends InstanceList {
  private _entityTag: string | undefined;
  private _cached: ListedInstance[] = [];

  /**
   * @param address - IP address and port of the list.
   * @param viewer - Name of the instance that sends the requests.
   */
  constructor(
    readonly address: string,
    readonly viewer: string,
  ) {
    super();
  }

  override async getInstances(): Promise<results.Result<ListedInstance[], InstanceListError>> {
    try {
      const response = await got.get(`http://${this.address}/instances`, {
        searchParams: { viewer: this.viewer },
        headers: this._entityTag === undefined ? {} : { "if-none-match": this._entityTag },
        retry: { limit: 0 },
        timeout: { request: requestTimeoutMs },
      });
      // The list is large and changes rarely, so the service omits it if its entity tag has not changed.
      if (response.statusCode === notModifiedStatus) return results.Ok(this._cached);
      const page = instancePageSchema.safeParse(JSON.parse(response.body));
      if (!page.success) return results.Err(errors.fromSchemaIssues("instance list", page.error.issues));
      this._entityTag = response.headers.etag;
      this._cached = page.data.instances;
      return results.Ok(page.data.instances);
    } catch (error) {
      return results.Err(classifyHttpError(this.address, error));
    }
  }
}
