/** Paths of one instance to endpoints, whose network a test cuts; all connections are simulated. */
import * as net from "node:net";
import { errors, results, utils } from "@shedtiller/common";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { Connection, ConnectFailure } from "../../http/Connector.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import type { FailedConnect } from "../../paths/connectDirectly.js";
import { EndpointPaths } from "../../paths/EndpointPaths.js";
import { PathConnector, type Tunnels } from "../../paths/PathConnector.js";
import { PathReview } from "../../paths/PathReview.js";
import type { TunnelFailure } from "../../paths/TunnelClient.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { createListed } from "../testData.js";

type Connected = results.Result<net.Socket, FailedConnect>;

/** One instance with its peers, which share one network path to the endpoints. */
export class PathFixture {
  readonly clock = { nowMs: 100_000 };
  readonly endpoints = new EndpointTable(() => this.clock.nowMs);
  readonly output = new RecordingLogOutput();
  readonly log = new DecisionLog(this.output, () => 0);
  readonly paths = new EndpointPaths({
    endpoints: this.endpoints,
    log: this.log,
    nowMs: () => this.clock.nowMs,
  });
  /** How direct connections of this instance fail, by address. */
  readonly failures = new Map<string, ConnectFailure>();
  /** Whether peers reply to requests for connections. */
  arePeersSilent = false;
  /** Addresses that the peers do not reach. */
  readonly unreachedByPeers = new Set<string>();
  /** Addresses of the direct connections and of the tunnels that were tried. */
  readonly direct: string[] = [];
  readonly tunnels: string[] = [];
  readonly connector: PathConnector;
  readonly review: PathReview;

  constructor(addresses: readonly string[]) {
    this.list(addresses);
    this.connector = new PathConnector({
      endpoints: this.endpoints,
      paths: this.paths,
      tunnels: this._createTunnels(),
      log: this.log,
      connect: (address) => this._connect(address),
      nowMs: () => this.clock.nowMs,
    });
    this.review = new PathReview({
      paths: this.paths,
      connector: this.connector,
      log: this.log,
      nowMs: () => this.clock.nowMs,
      random: () => 0,
    });
  }

  /** Replaces the list of endpoints. */
  list(addresses: readonly string[]): void {
    this.endpoints.setAll(new Map(addresses.map((address) => [address, createListed(address, { address })])));
  }

  /** Returns how a connection was established: `direct`, the name of the peer, or `failed`. */
  async connect(address: string): Promise<string> {
    const connected = await this.connector.connect(address);
    // The direct attempt may end after the tunnel was opened.
    await utils.yieldToEvents();
    return connected.ok ? (connected.val.path?.peer ?? "direct") : "failed";
  }

  /** Reviews the paths for `durationMs` of the simulated time. */
  async reviewFor(durationMs: number): Promise<void> {
    const endMs = this.clock.nowMs + durationMs;
    while (this.clock.nowMs < endMs) {
      this.clock.nowMs += 200;
      await this.review.review();
    }
  }

  private async _connect(address: string): Promise<Connected> {
    this.direct.push(address);
    const failure = this.failures.get(address);
    if (failure === undefined) return results.Ok(new net.Socket());
    return results.Err({ failure, error: new errors.NotReachedError(address) });
  }

  private _createTunnels(): Tunnels {
    return {
      open: async (address): Promise<results.Result<Connection, TunnelFailure>> => {
        this.tunnels.push(address);
        if (this.arePeersSilent) return new Promise(() => undefined);
        if (this.unreachedByPeers.has(address)) return results.Err(["refused"]);
        return results.Ok({ socket: new net.Socket(), path: { peer: "front-2", tunnelId: "t1" } });
      },
      wasClosedByServer: () => Promise.resolve(false),
      isLeaving: () => false,
      onPeerLeaving: () => undefined,
    };
  }
}
