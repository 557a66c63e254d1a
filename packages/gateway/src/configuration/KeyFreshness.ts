/** Whether this instance may still accept keys, which a later configuration may have revoked. */
import type { GatewaySettings } from "../gatewaySettings.js";
import type { ActiveConfiguration } from "./ActiveConfiguration.js";

/** Margin before the revocation bound at which keys are rejected, for the time between the check and the sending of the request. */
const revocationMarginMs = 500;

/** Decides from the age of the configuration whether a revoked key could still be accepted after the revocation bound. */
export class KeyFreshness {
  /** @param _getSettings - Returns the settings in force, which a reload replaces. */
  constructor(
    private readonly _activeConfiguration: Pick<ActiveConfiguration, "getFreshnessAgeMs">,
    private readonly _getSettings: () => GatewaySettings["keys"],
  ) {}

  areKeysFresh(): boolean {
    const { isRevocationStrict, revocationBoundMs } = this._getSettings();
    const ageMs = this._activeConfiguration.getFreshnessAgeMs();
    return !isRevocationStrict || ageMs < revocationBoundMs - revocationMarginMs;
  }
}
