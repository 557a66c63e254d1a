/** Creation of the gates that share what is admitted between client accounts. */
import { utils } from "@shedtiller/common";
import { AccountRates } from "./AccountRates.js";
import { AccountShares } from "./AccountShares.js";
import type { AdmissionGate } from "./AdmissionGate.js";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { LoadControlStructure } from "./LoadControls.js";
import type { PressureSource } from "./PressureSource.js";
import { ReturningCallers } from "./ReturningCallers.js";

/** Number of accounts from which there is something to share. */
const minAccounts = 2;

/** The gates that replace those of the urgency, and what operators see of them. */
export interface AccountGates {
  readonly gates: readonly AdmissionGate[];
  readonly pressureSources: readonly PressureSource[];
}

/** Puts the gates by account around `gates`, which decide by urgency; returns them unchanged if the setting is off. */
export function createAccountGates(
  { settings, activeConfiguration, figures, metrics, log }: LoadControlStructure,
  gates: readonly AdmissionGate[],
): AccountGates {
  if (settings.accountShares === "off") return { gates, pressureSources: [] };
  const nowMs = utils.monotonicMs;
  const rates = new AccountRates(figures, nowMs);
  const shares = new AccountShares({ activeConfiguration, rates, metrics, log, nowMs, random: Math.random });
  const returning = new ReturningCallers({
    gates: [shares, ...gates],
    rates,
    figures,
    metrics,
    isInEffect: () => countAccounts(activeConfiguration) >= minAccounts,
    nowMs,
  });
  logCondition(activeConfiguration, log);
  return { gates: [returning], pressureSources: [shares] };
}

/** Logs whether there are accounts to share between, at the first configuration and on each change. */
function logCondition(activeConfiguration: ActiveConfiguration, log: DecisionLog): void {
  let wasInEffect: boolean | undefined;
  activeConfiguration.onChanged(() => {
    const accounts = countAccounts(activeConfiguration);
    const isInEffect = accounts >= minAccounts;
    if (isInEffect !== wasInEffect) log.info("account-returns", { isInEffect, accounts });
    wasInEffect = isInEffect;
  });
}

function countAccounts(activeConfiguration: ActiveConfiguration): number {
  return activeConfiguration.table?.configuration.accounts?.length ?? 0;
}
