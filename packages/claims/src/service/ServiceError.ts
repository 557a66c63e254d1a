import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Error for a call to which the service did not respond. */
export class ServiceError extends errors.ShedtillerError {
  readonly code: "service_unreachable" | "service_lost";

  constructor(
    readonly service: string,
    readonly ran: ExecutionStatus,
    cause?: unknown,
  ) {
    super(
      ran === "no" ? `The service ${service} can't be reached.` : `The service ${service} did not respond.`,
      { cause },
    );
    this.code = ran === "no" ? "service_unreachable" : "service_lost";
  }
}
