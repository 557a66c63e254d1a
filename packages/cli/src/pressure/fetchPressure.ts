/** Reading of the report on the decisions under load from one gateway. */
import { errors, results } from "@shedtiller/common";
import { pressurePath, pressureReportSchema, type PressureReport } from "@shedtiller/gateway";
import got from "got";

/** An operator who looks waits for no instance longer than this; the others are shown without it. */
const requestTimeoutMs = 3_000;
const successStatus = 200;

/** A gateway answered with something other than a report, for example since it runs an earlier version. */
export class PressureUnreadableError extends errors.ShedtillerError {
  readonly code = "pressure_unreadable";

  constructor(
    readonly address: string,
    readonly reason: string,
  ) {
    super(`${address} sent no readable report: ${reason}.`);
  }
}

export type PressureError = errors.NotReachedError | PressureUnreadableError;

/**
 * Fetches the report of a gateway.
 * @param address - IP address and port of its listener for metrics.
 */
export async function fetchPressure(
  address: string,
  timeoutMs: number = requestTimeoutMs,
): Promise<results.Result<PressureReport, PressureError>> {
  try {
    const response = await got(`http://${address}${pressurePath}`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: timeoutMs },
    });
    if (response.statusCode === successStatus) return parseReport(address, response.body);
    return results.Err(new PressureUnreadableError(address, `status ${response.statusCode}`));
  } catch (error) {
    return results.Err(new errors.NotReachedError(address, error));
  }
}

function parseReport(address: string, text: string): results.Result<PressureReport, PressureUnreadableError> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return results.Err(new PressureUnreadableError(address, "it is not JSON"));
  }
  const checked = pressureReportSchema.safeParse(body);
  if (checked.success) return results.Ok(checked.data);
  const { path, message } = checked.error.issues[0] ?? { path: [], message: "" };
  return results.Err(new PressureUnreadableError(address, `${path.join(".")}: ${message}`));
}
