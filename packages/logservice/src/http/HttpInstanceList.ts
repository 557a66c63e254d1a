/** The instance list over HTTP. The form is stated in docs/INTERFACES.md. */
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

/** Talks to the instance list at one address. */
export class HttpInstanceList extends InstanceList {
  private _entityTag: string | undefined;
  private _known: ListedInstance[] = [];

  /**
   * @param address - IP address and port of the list.
   * @param viewer - Name of the asking instance.
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
      // The page is large and changes seldom; where it has not changed, the service says just that.
      if (response.statusCode === notModifiedStatus) return results.Ok(this._known);
      const page = instancePageSchema.safeParse(JSON.parse(response.body));
      if (!page.success) return results.Err(errors.fromSchemaIssues("instance list", page.error.issues));
      this._entityTag = response.headers.etag;
      this._known = page.data.instances;
      return results.Ok(page.data.instances);
    } catch (error) {
      return results.Err(classifyHttpError(this.address, error));
    }
  }
}
