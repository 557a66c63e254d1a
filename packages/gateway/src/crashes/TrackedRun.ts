/** The runs and requests that the detection of crashes sees. */
import type { RequestIdentity, RequestTraits } from "@shedtiller/crashes";

/** A request that may crash endpoints. */
export interface SuspectRequest {
  /** All traits of the request, including those of its parts. */
  readonly traits: RequestTraits;
}

/** A request whose run is tracked. */
export interface TrackedRequest extends SuspectRequest {
  /** The traits of the request's prompt, which are available without the digest of the request. */
  readonly partTraits: RequestTraits;
}

/** A request whose digest can be computed later. */
export interface IdentifiedRequest extends TrackedRequest {
  readonly identity: RequestIdentity;
}

/** A run of a request that is in flight. */
export interface TrackedRun {
  readonly request: TrackedRequest;
  /** The endpoint that the run was sent to. */
  readonly endpointId: string;
  /** Whether the endpoint has shown that it runs the request. */
  readonly hasBegun: boolean;
  /** Monotonic time of the first event; undefined before that event. */
  readonly firstEventAtMs: number | undefined;
}
