import { utils } from "@shedtiller/common";
import type { StopDeadline } from "../StopDeadline.js";
import type { CallerListener } from "./CallerListener.js";

/** Time until the load balancer stops sending connections after a stop signal: it takes two readiness checks, one second apart. */
const balancerNoticeMs = 2_500;
const pollMs = 50;

/** When the process has to exit. */
export type DrainDeadline = Pick<StopDeadline, "pause" | "isReached" | "endsAtMs">;

/** Dependencies of {@link drainCallers}. */
export interface DrainStructure {
  readonly listener: Pick<CallerListener, "setStopDeadline" | "closeIdle" | "isBusy" | "tryStopAccepting">;
  readonly deadline: DrainDeadline;
  /** Whether the instance still works for others than its own callers. */
  readonly hasOtherWork: () => boolean;
}

/** Resolves once all requests that callers have sent to a stopping instance are answered, or at the deadline. */
export async function drainCallers({ listener, deadline, hasOtherWork }: DrainStructure): Promise<void> {
  const isBusy = (): boolean => listener.isBusy || hasOtherWork();
  await deadline.pause(balancerNoticeMs);
  listener.setStopDeadline(deadline.endsAtMs);
  await listener.closeIdle();
  do {
    while (isBusy() && !deadline.isReached) await deadline.pause(pollMs);
    // New callers are served as long as the process has to stay anyway.
  } while (!(await listener.tryStopAccepting()) && !deadline.isReached);
  // Requests on the connections that were accepted last.
  do {
    await deadline.pause(pollMs);
    // The pause may end before what has arrived meanwhile is read.
    await utils.readArrived();
  } while (isBusy() && !deadline.isReached);
}
