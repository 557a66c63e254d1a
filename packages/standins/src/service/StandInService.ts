/** Stand-in for one endpoint of a service, which counts how often each idempotency key ran. */
import { utils } from "@shedtiller/common";
import type * as restify from "restify";
import { HttpStandIn } from "../HttpStandIn.js";
import type { RunCounts } from "./RunCounts.js";

/** Static properties of a service endpoint. */
export interface ServiceStructure {
  readonly name: string;
  readonly availabilityZone: string;
  readonly service: string;
  readonly serviceMs: number;
}

/** Serves a service whose calls are not idempotent, and injects faults into its replies. */
export class StandInService extends HttpStandIn {
  private _repliesToLose = 0;
  private readonly _replyDelaysMs: number[] = [];
  private _hang: utils.Deferred<void> | undefined;
  drainingSinceMs: number | undefined;
  /** Monotonic time in milliseconds at which each call began. */
  readonly callTimesMs: number[] = [];

  constructor(
    readonly structure: ServiceStructure,
    private readonly _runs: RunCounts,
  ) {
    super(structure.name);
    this.server.post("/*", async (request: restify.Request, response: restify.Response) => {
      await this._run(request, response);
    });
  }

  /** Delays the next reply by `delayMs`. */
  delayNextReply(delayMs: number): void {
    this._replyDelaysMs.push(delayMs);
  }

  /** Drops the next reply after the call has run. */
  loseNextReply(): void {
    this._repliesToLose += 1;
  }

  startDraining(): void {
    this.drainingSinceMs = utils.monotonicMs();
  }

  hang(): void {
    this._hang ??= new utils.Deferred<void>();
  }

  resume(): void {
    this._hang?.resolve();
    this._hang = undefined;
  }

  private async _run(request: restify.Request, response: restify.Response): Promise<void> {
    await this._hang?.promise;
    this.callTimesMs.push(utils.monotonicMs());
    const requestId = String(request.header("shedtiller-request-id") ?? "none");
    const key = String(request.header("idempotency-key") ?? requestId);
    const runs = this._runs.add(key, requestId);
    const delayMs = this._replyDelaysMs.shift() ?? 0;
    await utils.sleep(this.structure.serviceMs + delayMs);
    if (this._repliesToLose > 0) {
      this._repliesToLose -= 1;
      response.socket?.destroy();
      return;
    }
    const bodyBytes = Number(request.header("content-length") ?? 0);
    response.send({ service: this.structure.service, key, runs, bodyBytes });
  }
}
