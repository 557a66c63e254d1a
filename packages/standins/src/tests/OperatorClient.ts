/** Client of the operator interface of one instance, for tests. */
import got from "got";
import type { Plan, PlanOutcome } from "@shedtiller/intent";
import type { Fleet } from "../fleet/Fleet.js";

/** Response to a confirmation. */
export interface ConfirmResponse {
  readonly status: number;
  readonly outcome?: PlanOutcome;
  readonly isInForce?: boolean;
  readonly missing?: readonly string[];
  readonly error?: { readonly code: string; readonly ran: string };
}

/** Sends requests to the operator interface of one instance, authorized by the operator token of the fleet. */
export class OperatorClient {
  constructor(
    private readonly _fleet: Fleet,
    private readonly _instance: string,
  ) {}

  async plan(intent: object): Promise<Plan> {
    const answer = await this._call("POST", "/v1/plans", intent);
    return (answer.body as { plan: Plan }).plan;
  }

  async confirm(planId: string): Promise<ConfirmResponse> {
    const answer = await this._call("POST", `/v1/plans/${planId}/confirm`, {});
    return { status: answer.status, ...(answer.body as object) };
  }

  async getStatus(): Promise<{
    instances: { name: string; offset: number; cutOffSinceMs?: number }[];
    unreached: { name: string }[];
  }> {
    return (await this._call("GET", "/v1/status")).body as Awaited<ReturnType<OperatorClient["getStatus"]>>;
  }

  async getMetrics(): Promise<string> {
    const response = await got.get(this._getUrl("/metrics"), { headers: this._headers });
    return response.body;
  }

  async getTimeline(
    requestId: string,
  ): Promise<{ events: { kind: string; subject?: string }[]; gaps: string[] }> {
    return (await this._call("GET", `/v1/timeline?request=${requestId}`)).body as Awaited<
      ReturnType<OperatorClient["getTimeline"]>
    >;
  }

  private get _headers(): Record<string, string> {
    return { authorization: `Bearer ${this._fleet.operatorToken.text}` };
  }

  private _getUrl(path: string): string {
    return `http://127.0.0.1:${this._fleet.requireInstance(this._instance).operatorPort}${path}`;
  }

  private async _call(
    method: "GET" | "POST",
    path: string,
    json?: object,
  ): Promise<{ status: number; body: unknown }> {
    const options = { method, headers: this._headers, throwHttpErrors: false, retry: { limit: 0 } };
    const response = await got(this._getUrl(path), json === undefined ? options : { ...options, json });
    return { status: response.statusCode, body: JSON.parse(response.body) };
  }
}
