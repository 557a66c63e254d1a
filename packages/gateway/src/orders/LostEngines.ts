/**
 * Tells which engines are lost though the list still has them: their entries lapse only after several heartbeats, and a zone
 * whose chains are broken can't wait for that.
 */
import { utils } from "@shedtiller/common";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "./EngineOrders.js";

/** Engines answer questions for their report at once; links take a few milliseconds. */
const reportTimeoutMs = 150;
const askAgainMs = 100;
/** An engine that is lost is asked this often whether it answers again. */
const askLostMs = 500;
/** One question may be lost on its way. */
const failuresOfLost = 2;
/** Where more of a zone than this share does not answer, the link to the zone is at fault and not its engines. */
const mostLostShare = 0.5;

interface Probe {
  failures: number;
  isUnderWay: boolean;
  /** Monotonic time of the next question. */
  nextAtMs: number;
}

/** One for an instance; asks while the instance gives orders. */
export class LostEngines {
  private readonly _probes = new Map<string, Probe>();

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private readonly _orders: EngineOrders,
    private readonly _log: DecisionLog,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Asks those of a zone's engines that are under suspicion or were lost, and gives the ones that are not lost. */
  sift(members: readonly Endpoint[]): Endpoint[] {
    const nowMs = this._nowMs();
    for (const member of members) {
      if (member.isSuspect(nowMs) || this._probes.has(member.id)) void this.check(member);
    }
    const kept = members.filter((member) => !this._isLost(member.id));
    const isZoneReached = kept.length >= members.length * (1 - mostLostShare);
    return isZoneReached ? kept : [...members];
  }

  forget(id: string): void {
    this._probes.delete(id);
  }

  private _isLost(id: string): boolean {
    return (this._probes.get(id)?.failures ?? 0) >= failuresOfLost;
  }

  /** Asks an engine until it answers or counts as lost. */
  async check(member: Endpoint): Promise<void> {
    const probe = this._probes.get(member.id) ?? { failures: 0, isUnderWay: false, nextAtMs: 0 };
    this._probes.set(member.id, probe);
    if (probe.isUnderWay || this._nowMs() < probe.nextAtMs) return;
    probe.isUnderWay = true;
    while (!(await this._answers(member))) {
      probe.failures += 1;
      if (probe.failures === failuresOfLost) this._note(member, "engine-lost");
      if (probe.failures >= failuresOfLost) break;
      await utils.sleep(askAgainMs);
    }
    probe.isUnderWay = false;
    probe.nextAtMs = this._nowMs() + askLostMs;
  }

  /** Asks an engine once; what was held against it is forgotten if it answers. */
  private async _answers(member: Endpoint): Promise<boolean> {
    const target = member.orderTarget;
    const report = await this._orders.getReport(target, reportTimeoutMs);
    if (report.err) return false;
    if (this._isLost(member.id)) this._note(member, "engine-answers-again");
    this.forget(member.id);
    return true;
  }

  private _note(member: Endpoint, message: string): void {
    this._log.warn(message, { endpointId: member.id, address: member.listed.address });
  }
}
