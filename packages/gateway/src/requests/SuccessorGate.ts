/** Limits the successors of streams that fall silent together. */
import type { EndpointTable } from "../discovery/EndpointTable.js";

/** Half of the silence from which on a run is in doubt, and more than a late pause between two events. */
const activeMs = 600;
/** Time within which a successor should have produced an event; most first events arrive within 300 ms. */
const trialMs = 450;

/**
 * Decides whether a run in doubt may have a successor now. If no engine of the service has given a sign lately, the cause is probably no
 * single engine but what they share: this instance, its links, or a pause of all engines. Successors would then spend the retry budget in
 * vain, so only one of them starts at a time, and the others follow once it has produced an event.
 */
export class SuccessorGate {
  private _trialAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _endpoints: Pick<EndpointTable, "getUsable">) {}

  /** Returns whether a successor may start. */
  isOpen(service: string, nowMs: number): boolean {
    return nowMs - this._trialAtMs >= trialMs || !this.isSilenceCommon(service, nowMs);
  }

  /** Returns whether no engine of the service has given a sign lately. */
  isSilenceCommon(service: string, nowMs: number): boolean {
    return this._endpoints.getUsable(service).every(({ heardAtMs }) => nowMs - heardAtMs >= activeMs);
  }

  /** Records that a successor starts. */
  noteStart(service: string, nowMs: number): void {
    if (this.isSilenceCommon(service, nowMs)) this._trialAtMs = nowMs;
  }
}
