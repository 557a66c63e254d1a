/** The load that a request reserves at the engines of its chain. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { SendPermit } from "../discovery/SendPermit.js";
import type { ChainStage } from "../http/MessageCodec.js";

/** The load reserved at one engine. */
interface ReservedLoad {
  /** References the endpoint itself rather than its id: an endpoint that leaves the list and returns is a new object with its own load. */
  readonly endpoint: Endpoint;
  readonly tokenLayers: number;
}

/** Adds the load of a request to each engine of its chain until it is released. */
export class ChainReservation {
  private _stages: readonly ChainStage[] = [];
  private _loads: readonly ReservedLoad[] = [];
  private _isReleased = false;

  constructor(
    private readonly _endpoints: EndpointTable,
    stages: readonly ChainStage[],
    private readonly _tokens: number,
    /** The permit for the send to the first engine. */
    readonly permit?: SendPermit,
  ) {
    this.move(stages);
  }

  get stages(): readonly ChainStage[] {
    return this._stages;
  }

  /** Moves the reservation to another chain. Does nothing after the release, since a request may end while it is being moved. */
  move(stages: readonly ChainStage[]): void {
    if (this._isReleased) return;
    this._removeLoads();
    this._stages = stages;
    this._loads = stages.flatMap((stage) => this._addLoad(stage) ?? []);
  }

  release(): void {
    this._removeLoads();
    this._isReleased = true;
  }

  private _addLoad(stage: ChainStage): ReservedLoad | undefined {
    const endpoint = this._endpoints.get(stage.endpointId);
    if (endpoint === undefined) return undefined;
    const tokenLayers = (stage.end - stage.start) * this._tokens;
    endpoint.addOwnLoad(1, tokenLayers);
    return { endpoint, tokenLayers };
  }

  private _removeLoads(): void {
    for (const { endpoint, tokenLayers } of this._loads) endpoint.addOwnLoad(-1, -tokenLayers);
    this._loads = [];
  }
}
