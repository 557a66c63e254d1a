/** Questions to engines whether they still work, and what their answers show. */
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointQuestions } from "../../discovery/EndpointQuestions.js";
import { HeldUpError } from "../../discovery/HeldUpError.js";
import { getEvidence } from "../../discovery/SuspicionEvidence.js";
import type { EngineOrders } from "../../orders/EngineOrders.js";
import { getSlowness } from "../../orders/getSlowness.js";
import type { ForwardContext } from "../RequestForwarder.js";
import type { StreamAttempt } from "../StreamAttempt.js";
import { AnswerTimeout } from "./AnswerTimeout.js";
import type { EarlyMoves } from "./EarlyMoves.js";

/** If more than this share of the engines that are asked together does not answer, this instance is slow or cut off. */
const maxUnansweredShare = 0.5;

/** Dependencies of {@link EngineInquiry}. */
export interface EngineInquiryStructure {
  readonly context: ForwardContext;
  readonly earlyMoves: EarlyMoves;
  readonly orders: EngineOrders;
  /** The running streams. */
  readonly attempts: ReadonlySet<StreamAttempt>;
  /** Monotonic clock. */
  readonly nowMs: () => number;
}

/** An engine that did not answer. */
interface UnansweredQuestion {
  readonly endpoint: Endpoint;
  readonly reason: string;
}

/** Asks engines, and reports to the failure detector those that are lost or don't answer. */
export class EngineInquiry {
  /** Monotonic time of the last question, by the id of the endpoint. */
  readonly askedAtMs = new Map<string, number>();
  private readonly _timeout = new AnswerTimeout();
  private readonly _questions: EndpointQuestions;
  /** By availability zone: monotonic time at which an engine there last answered a question. */
  private readonly _zoneAnsweredAtMs = new Map<string, number>();

  constructor(private readonly _structure: EngineInquiryStructure) {
    this._questions = new EndpointQuestions({ nowMs: _structure.nowMs });
    _structure.context.endpoints.onChanged((endpoint, event) => {
      if (event === "gone" || event === "restarted") this.askedAtMs.delete(endpoint.id);
    });
  }

  /** Asks engines at the same time; resolves once all of them have answered or have not answered in time. */
  async ask(endpoints: readonly Endpoint[]): Promise<void> {
    const { earlyMoves, context } = this._structure;
    const results = await Promise.all(endpoints.map((endpoint) => this._askOne(endpoint)));
    const unanswered = results.flatMap((result) => result ?? []);
    const isOwnFault = endpoints.length > 1 && unanswered.length > endpoints.length * maxUnansweredShare;
    for (const { endpoint, reason } of unanswered) {
      earlyMoves.noteQuestion(isOwnFault ? "unknown" : "unanswered");
      // A single question may be lost, or this instance may be slow itself, so a second one decides.
      if (!isOwnFault) void context.failureDetector.noteReportedFaulty(endpoint.id, reason);
    }
  }

  /** Asks an engine, and returns the question if its lack of an answer is evidence against the engine. */
  private async _askOne(endpoint: Endpoint): Promise<UnansweredQuestion | undefined> {
    const { context, earlyMoves, orders, nowMs } = this._structure;
    const askedAtMs = nowMs();
    this.askedAtMs.set(endpoint.id, askedAtMs);
    const { timeoutMs } = this._timeout;
    const report = await this._questions.ask(timeoutMs, (limitMs) =>
      orders.getReport(endpoint.orderTarget, limitMs),
    );
    const tookMs = nowMs() - askedAtMs;
    if (report.ok) {
      earlyMoves.noteQuestion("answered");
      this._timeout.noteAnswer(tookMs);
      this._zoneAnsweredAtMs.set(endpoint.listed.availabilityZone, nowMs());
      endpoint.slowness = getSlowness(report.val);
      return undefined;
    }
    const reason = `silent chain: ${report.val.code}`;
    if (!(report.val instanceof HeldUpError) && getEvidence(report.val) === "lost") {
      earlyMoves.noteQuestion("lost");
      context.failureDetector.noteUnresponsive(endpoint.id, reason, "lost", askedAtMs);
      return undefined;
    }
    if (!(report.val instanceof HeldUpError) && this._isConclusive(endpoint, askedAtMs))
      return { endpoint, reason };
    earlyMoves.noteQuestion("unknown");
    return undefined;
  }

  /**
   * Returns whether a lack of an answer is evidence: no stream has had an event through the engine since, and an engine of the same zone has
   * given a sign. Without a sign this instance may be cut off from the zone.
   */
  private _isConclusive(endpoint: Endpoint, sinceMs: number): boolean {
    const active = [...this._structure.attempts].filter(
      ({ hasPassedChain, lastActivityAtMs }) => hasPassedChain && lastActivityAtMs > sinceMs,
    );
    const hasPassed = active.some(({ reservation }) =>
      reservation.stages.some((stage) => stage.endpointId === endpoint.id),
    );
    if (hasPassed) return false;
    const zone = endpoint.listed.availabilityZone;
    if ((this._zoneAnsweredAtMs.get(zone) ?? Number.NEGATIVE_INFINITY) >= sinceMs) return true;
    const { endpoints } = this._structure.context;
    return active.some(({ endpointId }) => endpoints.get(endpointId)?.listed.availabilityZone === zone);
  }
}
