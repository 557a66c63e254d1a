import type * as http from "node:http";
import type { ReadFault } from "./toReadFault.js";

/** Writes the refusals of bytes that can't be read as a request. The connection ends after each of them. */
export abstract class FaultWriter {
  /** Refuses a request whose body can't be read to its end; the answer says that the connection ends. */
  abstract refuse(response: http.ServerResponse, fault: ReadFault): void;
  /** Returns the content type and the body of a refusal that answers no request in particular. */
  abstract getContent(fault: ReadFault): { readonly type: string; readonly body: string };
}
