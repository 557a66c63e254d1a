/** The load that a request reserves at the engines of its chain. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { EndpointTrial } from "../discovery/EndpointTrial.js";
import type { SendPermit } from "../discovery/SendPermit.js";
import type { ChainStage } from "../http/MessageCodec.js";

/** The load reserved at one engine. */
interface ReservedLoad {
  /** References the endpoint itself rather than its id: an endpoint that leaves the list and returns is a new object with its own load. */
  readonly endpoint: Endpoint;
  readonly tokenLayers: number;
  readonly promptTokens: number;
}

/** Adds the load of a request to each engine of its chain until it is released. */
export class ChainReservation {
  private _stages: readonly ChainStage[] = [];
  private _loads: readonly ReservedLoad[] = [];
  private _isReleased = false;
  private _hasMoved = false;
  /** Tests of engines of the first chain that were in doubt. */
  private readonly _trials: readonly EndpointTrial[];

  constructor(
    private readonly _endpoints: EndpointTable,
    stages: readonly ChainStage[],
    private readonly _tokens: number,
    /** Tokens of the prompt that the engines have yet to read; they are among `_tokens`. */
    private _unreadTokens = 0,
    /** The permit for the send to the first engine. */
    readonly permit?: SendPermit,
    /** Called with the first event if the chain is still the first one. */
    private readonly _onPromptRead?: () => void,
  ) {
    this.move(stages);
    this._hasMoved = false;
    this._trials = _endpoints.beginTrials(stages.map((stage) => stage.endpointId));
  }

  get stages(): readonly ChainStage[] {
    return this._stages;
  }

  /** Whether the request tests an engine that was in doubt. */
  get isTrial(): boolean {
    return this._trials.length > 0;
  }

  /** Moves the reservation to another chain. Does nothing after the release, since a request may end while it is being moved. */
  move(stages: readonly ChainStage[]): void {
    if (this._isReleased) return;
    this._removeLoads();
    this._hasMoved = true;
    this._stages = stages;
    this._loads = stages.flatMap((stage) => this._addLoad(stage) ?? []);
  }

  /** Records that the engines of the chain have read the prompt, since the first event has arrived. */
  notePromptRead(): void {
    this._unreadTokens = 0;
    this._loads = this._loads.map((load) => {
      load.endpoint.addOwnLoad(0, 0, -load.promptTokens);
      return { ...load, promptTokens: 0 };
    });
    for (const trial of this._trials) {
      if (this._hasMoved) trial.end();
      else trial.pass();
    }
    if (!this._hasMoved) this._onPromptRead?.();
  }

  /** Calls `action` without the load of this reservation, so that it does not count against the chain that is to replace it. */
  callWithoutLoad<T>(action: () => T): T {
    for (const load of this._loads) addLoad(load, -1);
    try {
      return action();
    } finally {
      for (const load of this._loads) addLoad(load, 1);
    }
  }

  release(): void {
    this._removeLoads();
    for (const trial of this._trials) trial.end();
    this._isReleased = true;
  }

  private _addLoad(stage: ChainStage): ReservedLoad | undefined {
    const endpoint = this._endpoints.get(stage.endpointId);
    if (endpoint === undefined) return undefined;
    const tokenLayers = (stage.end - stage.start) * this._tokens;
    const promptTokens = this._unreadTokens;
    endpoint.addOwnLoad(1, tokenLayers, promptTokens);
    return { endpoint, tokenLayers, promptTokens };
  }

  private _removeLoads(): void {
    for (const load of this._loads) addLoad(load, -1);
    this._loads = [];
  }
}

/** Adds a load to its endpoint, or removes it. */
function addLoad({ endpoint, tokenLayers, promptTokens }: ReservedLoad, sign: 1 | -1): void {
  endpoint.addOwnLoad(sign, sign * tokenLayers, sign * promptTokens);
}
