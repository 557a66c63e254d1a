import { errors } from "@shedtiller/common";

/** The network path of a call was lost before its answer arrived, so that the other side may have acted on the call. */
export class PathLostError extends errors.ShedtillerError {
  readonly code = "path_lost";

  constructor(readonly address: string) {
    super(`The network path to ${address} was lost.`);
  }
}
