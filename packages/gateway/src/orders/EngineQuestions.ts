/**
 * Asks engines whether they live. An engine that is gone resets a connection at once, or says nothing; how long an answer may take follows
 * from the answers of late.
 */
import { utils } from "@shedtiller/common";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EngineOrders, EngineReport } from "./EngineOrders.js";

/** What a question came to; `unclear` where this process itself stood still meanwhile. */
export type EngineAnswer =
  | { readonly kind: "alive"; readonly report: EngineReport }
  | { readonly kind: "silent" }
  | { readonly kind: "unclear" };

const usualShare = 0.99;
/**
 * An answer may take this many times the usual longest time, between these bounds; before the first answers the shorter one holds, since
 * links take a few milliseconds, and small instances some more to handle what comes.
 */
const patienceFactor = 3;
const shortestPatienceMs = 30;
const longestPatienceMs = 150;
/** Where this process woke up later than it meant to by this share of its patience, answers may lie unread. */
const unclearShare = 0.4;
/** A question itself runs on for longer, so that a slow answer is measured. */
const questionTimeoutMs = 400;

type WaitEnd = EngineReport | "failed" | "waiting";

/** One for an instance. */
export class EngineQuestions {
  private readonly _answerTimes = new utils.SampleWindow({ share: usualShare });

  /**
   * @param _pause - Waits, replaced in tests.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    private readonly _orders: EngineOrders,
    private readonly _pause: (durationMs: number) => Promise<void> = utils.sleep,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** How long an engine may take to answer before it counts as silent. */
  getPatienceMs(): number {
    const usualMs = this._answerTimes.quantile;
    if (usualMs === undefined) return shortestPatienceMs;
    return Math.min(longestPatienceMs, Math.max(shortestPatienceMs, usualMs * patienceFactor));
  }

  /** Asks an engine, and once more where the first question fails or is not answered soon: one of them may be lost on its way. */
  async ask(engine: Endpoint): Promise<EngineAnswer> {
    const patienceMs = this.getPatienceMs();
    const startedAtMs = this._nowMs();
    const first = this._question(engine);
    const soon = await this._wait(first, patienceMs / 2);
    if (typeof soon === "object") return { kind: "alive", report: soon };
    const second = this._question(engine);
    const leftMs = patienceMs - (this._nowMs() - startedAtMs);
    const end = await this._wait(getFirstReport([first, second]), Math.max(leftMs, patienceMs / 2));
    if (typeof end === "object") return { kind: "alive", report: end };
    const lateMs = this._nowMs() - startedAtMs - patienceMs;
    return { kind: lateMs > patienceMs * unclearShare ? "unclear" : "silent" };
  }

  private async _question(engine: Endpoint): Promise<EngineReport | "failed"> {
    const askedAtMs = this._nowMs();
    const target = { id: engine.id, address: engine.listed.address };
    const report = await this._orders.getReport(target, questionTimeoutMs);
    if (report.err) return "failed";
    this._answerTimes.add(this._nowMs() - askedAtMs);
    return report.val;
  }

  /** Timers go before what has arrived, so what lies there is read once more before time is up. */
  private async _wait(work: Promise<EngineReport | "failed">, durationMs: number): Promise<WaitEnd> {
    const isOver = this._pause(durationMs)
      .then(utils.yieldToEvents)
      .then(utils.yieldToEvents)
      .then(() => "waiting" as const);
    return Promise.race([work, isOver]);
  }
}

/** The first report of several questions; `failed` once all have failed. */
async function getFirstReport(
  questions: readonly Promise<EngineReport | "failed">[],
): Promise<EngineReport | "failed"> {
  const reports = questions.map(async (question) => {
    const end = await question;
    if (end === "failed") throw new Error("failed");
    return end;
  });
  return Promise.any(reports).catch(() => "failed" as const);
}
