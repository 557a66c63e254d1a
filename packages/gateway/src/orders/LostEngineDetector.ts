import { utils } from "@shedtiller/common";
import type { Endpoint } from "../discovery/Endpoint.js";
import { EndpointQuestions } from "../discovery/EndpointQuestions.js";
import { HeldUpError } from "../discovery/HeldUpError.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "./EngineOrders.js";

/** Timeout of report requests: engines answer them at once, and links take a few milliseconds. */
const reportTimeoutMs = 150;
const retryMs = 100;
/** Interval at which a lost engine is probed. */
const lostProbeIntervalMs = 500;
/** Failed probes after which an engine counts as lost, since a single probe may be lost in transit. */
const failuresUntilLost = 2;
/** If more than this share of a zone's engines does not answer, the link to the zone has failed rather than its engines. */
const maxLostShare = 0.5;
/**
 * An engine that has ended leaves the list after three missed heartbeats, about 4 s. One that neither answers nor leaves the list for twice
 * as long is no longer waited for, whatever its share of the zone.
 */
const longLostMs = 8_000;

interface Probe {
  failures: number;
  isRunning: boolean;
  /** Monotonic time of the next probe. */
  nextAtMs: number;
  /** Monotonic time from which the engine has counted as lost. */
  lostSinceMs: number;
}

/**
 * Detects engines that are lost although the list still contains them: entries expire only after several missed heartbeats, which is too
 * late for a zone with broken chains. Probes engines while this instance sends orders. Each instance has one detector.
 */
export class LostEngineDetector {
  private readonly _probes = new Map<string, Probe>();
  private readonly _questions: EndpointQuestions;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private readonly _orders: EngineOrders,
    private readonly _log: DecisionLog,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    this._questions = new EndpointQuestions({ nowMs: _nowMs });
  }

  /**
   * Probes the engines of a zone that are under suspicion or were lost, and returns the engines that are not lost. If the zone is not reached,
   * lost engines that have loaded layers remain for a while, since requests may reach them.
   */
  withoutLost(members: readonly Endpoint[]): Endpoint[] {
    const nowMs = this._nowMs();
    for (const member of members) {
      if (member.isSuspect(nowMs) || this._probes.has(member.id)) void this.check(member);
    }
    const isReached = this.isZoneReached(members);
    return members.filter(
      (member) => !this._isLost(member.id) || (!isReached && this._mayServe(member, nowMs)),
    );
  }

  /** Returns whether enough engines of a zone answer to assume that the others have failed, and not the link to the zone. */
  isZoneReached(members: readonly Endpoint[]): boolean {
    const lost = members.filter((member) => this._isLost(member.id));
    return lost.length <= members.length * maxLostShare;
  }

  /** Forgets all probes, since this instance reached no engine while they ran. */
  reset(): void {
    this._probes.clear();
  }

  removeProbe(id: string): void {
    this._probes.delete(id);
  }

  private _isLost(id: string): boolean {
    return (this._probes.get(id)?.failures ?? 0) >= failuresUntilLost;
  }

  /** Returns whether requests may pass through a lost engine by paths that this instance does not have. */
  private _mayServe({ id, listed }: Endpoint, nowMs: number): boolean {
    const lostSinceMs = this._probes.get(id)?.lostSinceMs ?? nowMs;
    return listed.layers.length > 0 && nowMs - lostSinceMs < longLostMs;
  }

  /** Probes an engine until it answers or counts as lost. */
  async check(member: Endpoint): Promise<void> {
    const probe = this._probes.get(member.id) ?? {
      failures: 0,
      isRunning: false,
      nextAtMs: 0,
      lostSinceMs: 0,
    };
    this._probes.set(member.id, probe);
    if (probe.isRunning || this._nowMs() < probe.nextAtMs) return;
    probe.isRunning = true;
    while ((await this._probeOnce(member)) === "unanswered") {
      probe.failures += 1;
      if (probe.failures === failuresUntilLost) this._noteLost(member, probe);
      if (probe.failures >= failuresUntilLost) break;
      await utils.sleep(retryMs);
    }
    probe.isRunning = false;
    probe.nextAtMs = this._nowMs() + lostProbeIntervalMs;
  }

  private _noteLost(member: Endpoint, probe: Probe): void {
    probe.lostSinceMs = this._nowMs();
    this._logWarning(member, "engine-lost");
  }

  /** Probes an engine once; an answer resets its failures. The result is unknown if this process was held up meanwhile. */
  private async _probeOnce(member: Endpoint): Promise<"answered" | "unanswered" | "unknown"> {
    const target = member.orderTarget;
    const report = await this._questions.ask(reportTimeoutMs, (limitMs) =>
      this._orders.getReport(target, limitMs),
    );
    if (report.err) return report.val instanceof HeldUpError ? "unknown" : "unanswered";
    if (this._isLost(member.id)) this._logWarning(member, "engine-answers-again");
    this.removeProbe(member.id);
    return "answered";
  }

  private _logWarning(member: Endpoint, message: string): void {
    this._log.warn(message, { endpointId: member.id, address: member.listed.address });
  }
}
