/** Room that a request holds at the engines of its chain. */
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainStage } from "../http/MessageCodec.js";

/** Counts a request at each engine of its chain until it is released. */
export class ChainReservation {
  private _stages: readonly ChainStage[] = [];

  constructor(
    private readonly _endpoints: EndpointTable,
    stages: readonly ChainStage[],
    private readonly _tokens: number,
  ) {
    this.move(stages);
  }

  get stages(): readonly ChainStage[] {
    return this._stages;
  }

  /** Takes another chain in place of the one held. */
  move(stages: readonly ChainStage[]): void {
    this._count(-1);
    this._stages = stages;
    this._count(1);
  }

  release(): void {
    this.move([]);
  }

  private _count(sign: 1 | -1): void {
    for (const stage of this._stages) {
      const tokenLayers = sign * (stage.end - stage.start) * this._tokens;
      this._endpoints.get(stage.endpointId)?.addOwn(sign, tokenLayers);
    }
  }
}
