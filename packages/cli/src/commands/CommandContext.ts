/** Output, exit codes and access to the operators' interface, shared by all commands. */
import { errors, results } from "@shedtiller/common";
import got from "got";

/** Exit codes of all commands. */
export const exitCodes = {
  ok: 0,
  /** The command ran with a negative result: a trace did not hold, a plan was rejected, a file has faults. */
  negativeResult: 1,
  /** The command could not run: invalid arguments, unreadable input, no instance reached. */
  error: 2,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Options that several commands have in common. */
export interface CommonOptions {
  readonly json?: boolean;
  /** IP address and port of any instance's operator listener. */
  readonly operator?: string;
}

export const defaultOperatorAddress = "127.0.0.1:9080";
const tokenVariable = "SHEDTILLER_OPERATOR_TOKEN";
const requestTimeoutMs = 30_000;

/** Writes a line to the standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Writes a line to the standard error. */
export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** An instance answered a call of the operators' interface with an error. */
export class OperatorError extends errors.ShedtillerError {
  readonly code = "operator_error";

  constructor(
    readonly address: string,
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** Response of the operators' interface. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

type OperatorResult = results.Result<OperatorAnswer, errors.ShedtillerError>;

/** Calls the operators' interface of one instance. Responses with a status below 300 or of 409 are results, all others are errors. */
export async function callOperator(
  options: CommonOptions,
  method: "GET" | "POST" | "PUT",
  path: string,
  json?: unknown,
): Promise<OperatorResult> {
  const address = options.operator ?? process.env["SHEDTILLER_OPERATOR_ADDRESS"] ?? defaultOperatorAddress;
  const token = process.env[tokenVariable];
  if (token === undefined || token === "") {
    return results.Err(
      new errors.InvalidInputError(tokenVariable, "is not set; it must contain the operators' token"),
    );
  }
  try {
    const response = await got(`http://${address}${path}`, {
      method,
      json: json as Record<string, unknown> | undefined,
      headers: { authorization: `Bearer ${token}` },
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: requestTimeoutMs },
    });
    return parseAnswer(address, response.statusCode, response.body);
  } catch (error) {
    return results.Err(new errors.NotReachedError(address, error));
  }
}

const conflictStatus = 409;
const firstErrorStatus = 300;

function parseAnswer(address: string, status: number, text: string): OperatorResult {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return results.Err(new OperatorError(address, status, `${address} answered ${status} without JSON.`));
  }
  if (status < firstErrorStatus || status === conflictStatus) return results.Ok({ status, body });
  const message = (body as { error?: { message?: string } }).error?.message;
  return results.Err(new OperatorError(address, status, message ?? `${address} answered ${status}.`));
}

/** Prints an error that kept the command from running, and returns its exit code. */
export function failWithError(error: errors.ShedtillerError): ExitCode {
  printError(error.message);
  return exitCodes.error;
}
