import type * as net from "node:net";
import { errors, results, utils } from "@shedtiller/common";
import type { ProbeResult } from "@shedtiller/crashes";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import { Connector, type Connection, type ConnectionPath, type PathListener } from "../http/Connector.js";
import { connectDirectly, type FailedConnect } from "./connectDirectly.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EndpointPaths } from "./EndpointPaths.js";
import type { TunnelClient } from "./TunnelClient.js";

/** Maximum time to establish a direct connection; a lost SYN packet is retransmitted only after 1 s. */
const directTimeoutMs = 400;
/**
 * Time for which a direct connection is tried alone. Round trips take less than 2 ms, and a plain request with a target latency of 300 ms
 * has 120 ms to connect.
 */
const directHeadStartMs = 50;
/** Time for which peers are not asked again for an endpoint that they did not reach. */
const unreachedMs = 500;
/** Minimum time between two checks of the direct path to an endpoint that gives no answers. */
const silenceCheckIntervalMs = 1_000;
const maxSilenceChecks = 4;
/** The direct path to an endpoint is not checked within this time after the endpoint was heard. */
const heardMs = 200;
/** Maximum number of addresses that are remembered; more than a fleet has endpoints. */
const maxAddresses = 4_096;

/** Opens connections through peers. */
export type Tunnels = Pick<TunnelClient, "open" | "wasClosedByServer" | "isLeaving" | "onPeerLeaving">;

/** An open connection to an endpoint. */
interface EndpointConnection {
  readonly address: string;
  /** Undefined for a direct connection. */
  readonly path: ConnectionPath | undefined;
}

/** Dependencies of {@link PathConnector}. */
export interface PathConnectorStructure {
  readonly endpoints: Pick<EndpointTable, "getByAddress">;
  readonly paths: EndpointPaths;
  readonly tunnels: Tunnels;
  readonly log: DecisionLog;
  readonly connect?: typeof connectDirectly;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Connects to endpoints directly, and through a peer if the direct connection fails or takes long (compare RFC 8305). Connections to other
 * servers are always direct.
 */
export class PathConnector extends Connector {
  private readonly _connections = new WeakMap<object, EndpointConnection>();
  /** By address: monotonic time until which peers are not asked. */
  private readonly _unreachedUntilMs = new utils.BoundedMap<number>(maxAddresses);
  /** By address: monotonic time of the last check. */
  private readonly _checkedAtMs = new utils.BoundedMap<number>(maxAddresses);
  private readonly _connectDirectly: typeof connectDirectly;
  private readonly _nowMs: () => number;
  private _silenceChecks = 0;

  constructor(private readonly _structure: PathConnectorStructure) {
    super();
    this._connectDirectly = _structure.connect ?? connectDirectly;
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  override async connect(
    address: string,
    options: Partial<net.TcpNetConnectOpts> = {},
  ): Promise<results.Result<Connection, errors.NotReachedError>> {
    const isEndpoint = this._structure.endpoints.getByAddress(address) !== undefined;
    if (!isEndpoint) return toConnection(await this._dial(address, options));
    const connected = await this._connectToEndpoint(address, options);
    if (connected.ok) this._connections.set(connected.val.socket, { address, path: connected.val.path });
    return connected;
  }

  private async _connectToEndpoint(
    address: string,
    options: Partial<net.TcpNetConnectOpts>,
  ): Promise<results.Result<Connection, errors.NotReachedError>> {
    const { paths } = this._structure;
    const usesPeer = paths.shouldUsePeer(address);
    const opened = usesPeer ? await this._openTunnel(address) : undefined;
    if (opened !== undefined) return results.Ok(opened);
    const direct = this._connectAndNote(address, options);
    if (!usesPeer && !(await isConnectedWithin(direct, directHeadStartMs)))
      return this._race(address, direct);
    return this._finish(address, direct);
  }

  override getPath(socket: object): ConnectionPath | undefined {
    return this._connections.get(socket)?.path;
  }

  override mayReuse(socket: object): boolean {
    const connection = this._connections.get(socket);
    if (connection === undefined) return true;
    const { address, path } = connection;
    const { paths, tunnels } = this._structure;
    // Connections that were open before new ones are refused go on, or are reset.
    if (path === undefined) return paths.getFailure(address) !== "unanswered";
    return paths.shouldUsePeer(address) && !tunnels.isLeaving(path.peer);
  }

  override onPathChanged(listener: PathListener): void {
    this._structure.paths.onChanged(listener);
    this._structure.tunnels.onPeerLeaving(() => {
      for (const address of this._structure.paths.listedAddresses) listener(address, undefined);
    });
  }

  /** Checks the direct path to an endpoint, unless that was done or the endpoint was heard a short time ago. */
  override noteSilence(address: string): boolean {
    const { endpoints, paths } = this._structure;
    if (paths.isLost(address)) return paths.getFailure(address) === "unanswered";
    const endpoint = endpoints.getByAddress(address);
    if (endpoint !== undefined) this._checkPath(address, endpoint.heardAtMs);
    return false;
  }

  private _checkPath(address: string, heardAtMs: number): void {
    const nowMs = this._nowMs();
    const checkedMsAgo = nowMs - (this._checkedAtMs.get(address) ?? Number.NEGATIVE_INFINITY);
    if (checkedMsAgo < silenceCheckIntervalMs || this._silenceChecks >= maxSilenceChecks) return;
    if (nowMs - heardAtMs < heardMs) return;
    this._checkedAtMs.set(address, nowMs);
    this._silenceChecks += 1;
    void this.connect(address).then((connected) => {
      this._silenceChecks -= 1;
      if (connected.ok) connected.val.socket.destroy();
    });
  }

  override wasClosedByServer(socket: object): Promise<boolean> {
    const path = this.getPath(socket);
    return path === undefined ? Promise.resolve(true) : this._structure.tunnels.wasClosedByServer(path);
  }

  /**
   * Checks whether a process listens at an address, as seen by this instance or by a peer. An endpoint that only refuses this instance has
   * not crashed. A refusal counts even if peers don't reply in time, unless the own path is in doubt.
   */
  readonly probe = async (address: string, timeoutMs: number): Promise<ProbeResult> => {
    const { paths, tunnels } = this._structure;
    const refusals = new Set<"own" | "peer">();
    const direct = this._connectAndNote(address, {}).then((connected) => {
      if (connected.err && connected.val.failure === "refused") refusals.add("own");
      return closeProbe(connected.ok ? connected.val : undefined);
    });
    const tunnel = tunnels.open(address).then((opened) => {
      if (opened.err && opened.val.includes("refused")) refusals.add("peer");
      return closeProbe(opened.ok ? opened.val.socket : undefined);
    });
    const expired = utils.sleep(timeoutMs).then(utils.readArrived);
    const isOpen = await Promise.race([getFirstTrue([direct, tunnel]), expired.then(() => false)]);
    if (isOpen) return "open";
    const isOwnPathDoubtful = paths.shouldUsePeer(address) || paths.mayBeIsolated;
    return refusals.has("peer") || (refusals.has("own") && !isOwnPathDoubtful) ? "refused" : "nothing";
  };

  /** Tries the direct path to an endpoint, and returns whether it works. */
  async tryDirectPath(address: string): Promise<boolean> {
    const connected = await this._connectAndNote(address, {});
    if (connected.ok) connected.val.destroy();
    return connected.ok;
  }

  private _dial(
    address: string,
    options: Partial<net.TcpNetConnectOpts>,
  ): Promise<results.Result<net.Socket, FailedConnect>> {
    return this._connectDirectly(address, directTimeoutMs, options);
  }

  private async _connectAndNote(
    address: string,
    options: Partial<net.TcpNetConnectOpts>,
  ): Promise<results.Result<net.Socket, FailedConnect>> {
    const connected = await this._dial(address, options);
    if (connected.ok) this._structure.paths.noteDirect(address);
    return connected;
  }

  /** Returns the first connection that is established, directly or through a peer, and closes the other one. */
  private async _race(
    address: string,
    direct: Promise<results.Result<net.Socket, FailedConnect>>,
  ): Promise<results.Result<Connection, errors.NotReachedError>> {
    const tunnel = this._openTunnel(address);
    const first = await Promise.race([direct, tunnel]);
    if (first !== undefined && "ok" in first && first.ok) {
      void tunnel.then((opened) => opened?.socket.destroy());
      return toConnection(first);
    }
    const opened = await tunnel;
    if (opened !== undefined) {
      void this._judge(address, direct, opened.path?.peer ?? "");
      return results.Ok(opened);
    }
    return this._finish(address, direct);
  }

  /** Waits for a direct connection that no tunnel can replace. */
  private async _finish(
    address: string,
    direct: Promise<results.Result<net.Socket, FailedConnect>>,
  ): Promise<results.Result<Connection, errors.NotReachedError>> {
    const connected = await direct;
    if (connected.err) this._structure.paths.noteUnreachable(address);
    return toConnection(connected);
  }

  /** Records the path as lost if the direct connection fails although a peer has reached the endpoint. */
  private async _judge(
    address: string,
    direct: Promise<results.Result<net.Socket, FailedConnect>>,
    peer: string,
  ): Promise<void> {
    const connected = await direct;
    if (connected.ok) connected.val.destroy();
    else this._structure.paths.noteLost(address, connected.val.failure, peer);
  }

  private async _openTunnel(address: string): Promise<Connection | undefined> {
    if (this._nowMs() < (this._unreachedUntilMs.get(address) ?? 0)) return undefined;
    const opened = await this._structure.tunnels.open(address);
    if (opened.err) {
      this._unreachedUntilMs.set(address, this._nowMs() + unreachedMs);
      this._structure.log.info("endpoint-not-reached-by-peers", { address, outcomes: opened.val });
      return undefined;
    }
    this._unreachedUntilMs.remove(address);
    this._structure.paths.noteReached();
    return opened.val;
  }
}

async function isConnectedWithin(
  direct: Promise<results.Result<net.Socket, FailedConnect>>,
  durationMs: number,
): Promise<boolean> {
  const late = new utils.Deferred<boolean>();
  const timeout = new utils.IoTimeout(durationMs, () => late.resolve(false));
  const isConnected = await Promise.race([direct.then(({ ok }) => ok), late.promise]);
  timeout.clear();
  return isConnected;
}

function toConnection(
  connected: results.Result<net.Socket, FailedConnect>,
): results.Result<Connection, errors.NotReachedError> {
  if (connected.err) return results.Err(connected.val.error);
  return results.Ok({ socket: connected.val, path: undefined });
}

/** Closes a connection that was established to show that it can be, and returns whether there is one. */
function closeProbe(socket: net.Socket | undefined): boolean {
  socket?.destroy();
  return socket !== undefined;
}

/** Resolves with true as soon as one of the promises does, and with false once none has. */
function getFirstTrue(promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const promise of promises) void promise.then((isTrue) => isTrue && resolve(true));
    void Promise.all(promises).then(() => resolve(false));
  });
}
