/** A stand-in for one endpoint of a plain service, which counts how often each key ran. */
import { utils } from "@shedtiller/common";
import type * as restify from "restify";
import { HttpStandIn } from "../HttpStandIn.js";

/** Runs of all endpoints of a fleet's services. */
export class RunCounts {
  /** By idempotency key, or request id where there is none. */
  readonly byKey = new Map<string, number>();
  readonly byRequestId = new Map<string, number>();

  add(key: string, requestId: string): number {
    const runs = (this.byKey.get(key) ?? 0) + 1;
    this.byKey.set(key, runs);
    this.byRequestId.set(requestId, (this.byRequestId.get(requestId) ?? 0) + 1);
    return runs;
  }
}

/** What a service endpoint is made of. */
export interface ServiceStructure {
  readonly name: string;
  readonly availabilityZone: string;
  readonly service: string;
  readonly serviceMs: number;
}

/** A plain service that would bill twice if it were called twice. */
export class StandInService extends HttpStandIn {
  private _repliesToLose = 0;
  private readonly _lateReplies: number[] = [];
  private _hang: utils.Deferred<void> | undefined;
  leavingSinceMs: number | undefined;
  /** Monotonic milliseconds at which each call began. */
  readonly callsAtMs: number[] = [];

  constructor(
    readonly structure: ServiceStructure,
    private readonly _runs: RunCounts,
  ) {
    super(structure.name);
    this.server.post("/*", async (request: restify.Request, response: restify.Response) => {
      await this._run(request, response);
    });
  }

  /** The next reply comes late. */
  delayNextReply(lateMs: number): void {
    this._lateReplies.push(lateMs);
  }

  /** The next reply is lost after the call ran. */
  loseNextReply(): void {
    this._repliesToLose += 1;
  }

  leave(): void {
    this.leavingSinceMs = utils.monotonicMs();
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
    this.callsAtMs.push(utils.monotonicMs());
    const requestId = String(request.header("shedtiller-request-id") ?? "none");
    const key = String(request.header("idempotency-key") ?? requestId);
    const runs = this._runs.add(key, requestId);
    const lateMs = this._lateReplies.shift() ?? 0;
    await utils.sleep(this.structure.serviceMs + lateMs);
    if (this._repliesToLose > 0) {
      this._repliesToLose -= 1;
      response.socket?.destroy();
      return;
    }
    const bodyBytes = Number(request.header("content-length") ?? 0);
    response.send({ service: this.structure.service, key, runs, bodyBytes });
  }
}
