import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { HttpClient } from "../http/HttpClient.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { EndpointPaths } from "./EndpointPaths.js";
import { PathConnector } from "./PathConnector.js";
import { PathReview } from "./PathReview.js";
import { TunnelClient } from "./TunnelClient.js";
import { TunnelServer } from "./TunnelServer.js";

/** Interval at which connections of peers without an open link are looked for; a link that ends is redialled within a second. */
const orphanCheckMs = 2_000;

/** Dependencies of {@link Reachability}. */
export interface ReachabilityStructure {
  readonly membership: Membership;
  /** Where this instance listens for peers. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly endpoints: EndpointTable;
  readonly log: DecisionLog;
  /** The clients that connect to endpoints. */
  readonly httpClients: readonly HttpClient[];
}

/** Connects the parts that keep endpoints within reach while the network paths of single instances are cut. */
export class Reachability {
  readonly paths: EndpointPaths;
  readonly connector: PathConnector;
  readonly server: TunnelServer;
  private readonly _review: PathReview;

  constructor(private readonly _structure: ReachabilityStructure) {
    const { membership, listen, endpoints, log, httpClients } = _structure;
    this.paths = new EndpointPaths({ endpoints, log });
    const tunnels = new TunnelClient({ membership });
    this.connector = new PathConnector({ endpoints, paths: this.paths, tunnels, log });
    const peerAddress = `${listen.host}:${listen.port}`;
    this.server = new TunnelServer({ membership, peerAddress, endpoints, paths: this.paths, log });
    this._review = new PathReview({ paths: this.paths, connector: this.connector, log });
    for (const client of httpClients) client.useConnector(this.connector);
    // A connection to a process that has ended never responds, or resets the requests that are sent over it.
    endpoints.onChanged((endpoint, event) => {
      if (event !== "restarted") return;
      for (const client of httpClients) client.closeIdleConnections(endpoint.listed.address);
    });
  }

  /** Reviews the paths and the forwarded connections until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const logFailure = (error: unknown): void =>
      this._structure.log.error("tunnel-review-failed", { cause: String(error) });
    const orphans = utils.repeat(orphanCheckMs, signal, () => this.server.closeOrphans(), logFailure);
    await Promise.all([this._review.run(signal), orphans]);
  }
}
