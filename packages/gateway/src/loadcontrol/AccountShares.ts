/** Fair shares of client accounts while a service rejects requests. */
import { getFairShares, type FairShares } from "@shedtiller/admission";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { AccountRates } from "./AccountRates.js";
import { AdmissionGate, type GateQuery, type GateRefusal } from "./AdmissionGate.js";
import type { PressureEntry } from "./PressureSource.js";

/** Shares are computed again after this time, in which new figures arrive. */
const refreshMs = 200;

/** Dependencies of {@link AccountShares}. */
export interface AccountSharesStructure {
  readonly activeConfiguration: Pick<ActiveConfiguration, "table">;
  readonly rates: AccountRates;
  readonly metrics: Pick<GatewayMetrics, "accountRefusals">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs: () => number;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random: () => number;
}

interface ServiceShares extends FairShares {
  readonly atMs: number;
  readonly accounts: number;
  readonly admitted: number;
}

/**
 * Rejects the requests of an account beyond its max-min fair share of what a service admits, while the service rejects requests by urgency.
 * Each instance rejects the same share of an account's requests, so that the account has its share over all instances together.
 */
export class AccountShares extends AdmissionGate {
  private readonly _shares = new Map<string, ServiceShares>();

  constructor(private readonly _structure: AccountSharesStructure) {
    super();
  }

  override getRefusal(query: GateQuery): GateRefusal | undefined {
    const { service, accountName, targetLatencyMs } = query;
    if (accountName === undefined || !this._structure.rates.isRejecting(service)) {
      this._end(service);
      return undefined;
    }
    const shares = this._getShares(service);
    const admittedShare = shares.limited.get(accountName);
    if (admittedShare === undefined || this._structure.random() < admittedShare) return undefined;
    this._structure.metrics.accountRefusals.inc({ service });
    const inputs = { admittedShare, fairRequests: shares.fairDemand, admittedRequests: shares.admitted };
    return { reason: "account-share", retryAfterMs: targetLatencyMs, inputs };
  }

  /** Returns the accounts that are limited now. */
  getPressure(): PressureEntry[] {
    const { rates } = this._structure;
    return [...this._shares].flatMap(([service, { limited, fairDemand, accounts }]) => {
      if (!rates.isRejecting(service)) return [];
      const reason = `asks for more than ${Math.round(fairDemand)} requests, the fair part of ${accounts} accounts`;
      return [...limited].map(([subject, value]) => ({
        decision: "accountShares",
        service,
        subject,
        value,
        reason,
        ageMs: rates.ageMs,
      }));
    });
  }

  private _getShares(service: string): ServiceShares {
    const { rates, nowMs, activeConfiguration } = this._structure;
    const known = this._shares.get(service);
    if (known !== undefined && nowMs() - known.atMs < refreshMs) return known;
    const accounts = activeConfiguration.table?.configuration.accounts ?? [];
    const demands = rates.getDemands(
      service,
      accounts.map(({ name }) => name),
    );
    const shares = {
      ...getFairShares(demands),
      atMs: nowMs(),
      accounts: demands.byAccount.size,
      admitted: demands.admitted,
    };
    this._shares.set(service, shares);
    this._logChanges(service, known, shares);
    return shares;
  }

  /** Logs the accounts that begin or cease to be limited. */
  private _logChanges(service: string, before: ServiceShares | undefined, after: ServiceShares): void {
    const wereLimited = new Set(before?.limited.keys());
    const began = [...after.limited].filter(([name]) => !wereLimited.has(name));
    const ended = [...wereLimited].filter((name) => !after.limited.has(name));
    if (began.length === 0 && ended.length === 0) return;
    this._structure.log.info("account-shares", {
      service,
      began: began.map(([name, share]) => `${name} ${share.toFixed(2)}`),
      ended,
      fairRequests: Math.round(after.fairDemand),
      accounts: after.accounts,
      admittedRequests: after.admitted,
      ageMs: Math.round(this._structure.rates.ageMs),
    });
  }

  /** Drops the shares of a service that rejects nothing any more. */
  private _end(service: string): void {
    const known = this._shares.get(service);
    if (known === undefined || this._structure.rates.isRejecting(service)) return;
    this._shares.delete(service);
    if (known.limited.size === 0) return;
    const ended = [...known.limited.keys()];
    this._structure.log.info("account-shares", { service, began: [], ended, cause: "nothing is rejected" });
  }
}
