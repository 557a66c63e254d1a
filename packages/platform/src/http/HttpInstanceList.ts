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

/** Talks to the instance list at one address. */
export class HttpInstanceList extends InstanceList {
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
      const body: unknown = await got
        .get(`http://${this.address}/instances`, {
          searchParams: { viewer: this.viewer },
          retry: { limit: 0 },
          timeout: { request: requestTimeoutMs },
        })
        .json();
      const page = instancePageSchema.safeParse(body);
      if (!page.success) return results.Err(errors.fromSchemaIssues("instance list", page.error.issues));
      return results.Ok(page.data.instances);
    } catch (error) {
      return results.Err(classifyHttpError(this.address, error));
    }
  }
}
