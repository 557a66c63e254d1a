import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import type { CallerFields } from "../http/MessageCodec.js";
import {
  admitCaller,
  isDenial,
  staleConfigurationRefusal,
  type AdmittedRequest,
  type Refusal,
} from "./admitCaller.js";
import type { CallerListenerStructure } from "./CallerListener.js";
import { getHeadBytes } from "./getHeadBytes.js";
import { headTooLarge, stopping } from "./listenerRefusals.js";
import { invalidRequest } from "./toReadFault.js";

/**
 * Maximum time that a request waits for the first configuration. When 195 instances start at once, half of them have a configuration
 * 0.9 s after they begin to listen and 90 % after 1.4 s. A rejected caller retries once, and the request fails if the retry reaches
 * another instance without a configuration, which is likely. Callers abandon a stream that is silent for 2 s.
 */
const maxStartupWaitMs = 1_200;
/** Share of its deadline that a request may spend on waiting for the configuration; the remainder is left for its execution. */
const startupDeadlineShare = 0.5;

/** Admits the requests of callers by the configuration in force, and waits for it if that may change the decision. */
export class CallerAdmission {
  private _stopAtMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly _structure: Pick<
      CallerListenerStructure,
      "activeConfiguration" | "areKeysFresh" | "denialFreshness" | "startupTimeoutMs"
    >,
  ) {}

  /**
   * Rejects new requests whose deadline lies after the stop of the process.
   * @param endsAtMs - Monotonic time at which the process stops.
   */
  setStopDeadline(endsAtMs: number): void {
    this._stopAtMs = endsAtMs;
  }

  /** Returns the decision on a request; undefined if `isOver` holds after a wait. */
  async admit(
    message: http.IncomingMessage,
    fields: CallerFields,
    isOver: () => boolean,
  ): Promise<AdmittedRequest | Refusal | undefined> {
    await this._structure.activeConfiguration.waitUntilLoaded(this._getMaxWaitMs(fields));
    if (isOver()) return undefined;
    const decision = await this._admitWhenFresh(message, fields);
    return isOver() ? undefined : decision;
  }

  private _getMaxWaitMs({ deadlineMs }: CallerFields): number {
    const maxWaitMs = this._structure.startupTimeoutMs ?? maxStartupWaitMs;
    return Math.min(maxWaitMs, (deadlineMs ?? Number.POSITIVE_INFINITY) * startupDeadlineShare);
  }

  /**
   * Admits the request, or rejects it permanently only if the configuration is known to be current. Otherwise the rejection is
   * retryable, since another instance may have a newer configuration.
   */
  private async _admitWhenFresh(
    message: http.IncomingMessage,
    fields: CallerFields,
  ): Promise<AdmittedRequest | Refusal> {
    const { denialFreshness } = this._structure;
    const admitted = this._admit(message, fields);
    if (!isDenial(admitted) || denialFreshness.isFresh()) return admitted;
    const isFresh = await denialFreshness.waitUntilFresh(this._getMaxWaitMs(fields));
    const decision = this._admit(message, fields);
    return isDenial(decision) && !isFresh ? staleConfigurationRefusal : decision;
  }

  private _admit(message: http.IncomingMessage, fields: CallerFields): AdmittedRequest | Refusal {
    const { activeConfiguration, areKeysFresh } = this._structure;
    const { table } = activeConfiguration;
    if (table !== undefined && getHeadBytes(message) > table.configuration.limits.maxHeaderBytes)
      return headTooLarge;
    if (message.headers.host === undefined && message.httpVersion === "1.1") return invalidRequest;
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const input = { host, path: message.url ?? "/", apiKey: fields.apiKey };
    const admitted = admitCaller(input, table, areKeysFresh);
    if ("reason" in admitted) return admitted;
    const timeoutMs = Math.min(fields.deadlineMs ?? Number.POSITIVE_INFINITY, admitted.route.timeoutMs);
    return utils.monotonicMs() + timeoutMs <= this._stopAtMs ? admitted : stopping;
  }
}
