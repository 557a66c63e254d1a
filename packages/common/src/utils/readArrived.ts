import { yieldToEvents } from "./tasks.js";

/**
 * Resolves once what had arrived at sockets before the call has been read. Timers run before sockets are read, so that after a hold-up of the
 * process a timer runs although what it waits for has arrived in time.
 */
export async function readArrived(): Promise<void> {
  await yieldToEvents();
  // The first one may belong to a turn of the event loop whose sockets were polled before the call.
  await yieldToEvents();
}
