/** Simulated network of a fleet: one relay for each link, and the faults that are injected into links. */
import { Relay, type LinkState } from "./Relay.js";

/** A node of the simulated network. */
export interface NetworkNode {
  readonly name: string;
  /** Undefined for the platform, which is in no zone and is unreachable from each zone that is cut off. */
  readonly availabilityZone: string | undefined;
}

/** Node of all callers, which are outside of all zones and never cut off. */
export const callerNode: NetworkNode = { name: "caller", availabilityZone: undefined };

/** Creates one relay for each pair of nodes and port on demand, and injects faults into links. */
export class StandInNetwork {
  private readonly _relays = new Map<
    string,
    { relay: Relay; port: Promise<number>; from: string; to: string }
  >();
  private readonly _cutZones = new Set<string>();
  private readonly _suspendedNodes = new Set<string>();
  private readonly _cutPairs = new Set<string>();
  private readonly _delaysMs = new Map<string, number>();

  /** Returns the address of the relay through which `from` reaches a port of `to`. */
  async getAddress(from: NetworkNode, to: NetworkNode, targetPort: number): Promise<string> {
    const key = `${from.name}>${to.name}:${targetPort}`;
    const existing = this._relays.get(key);
    if (existing !== undefined) return `127.0.0.1:${await existing.port}`;
    const relay = new Relay(targetPort, () => this._getLinkState(from, to));
    const port = relay.start();
    this._relays.set(key, { relay, port, from: from.name, to: to.name });
    return `127.0.0.1:${await port}`;
  }

  /** Cuts a zone off from the other zones and the platform. */
  cutZone(availabilityZone: string): void {
    this._cutZones.add(availabilityZone);
  }

  healZone(availabilityZone: string): void {
    this._cutZones.delete(availabilityZone);
  }

  /** Cuts the connections that `from` opens to `to`. Connections that `to` opens to `from` are not affected. */
  cutPair(from: string, to: string): void {
    this._cutPairs.add(`${from}>${to}`);
  }

  healPair(from: string, to: string): void {
    this._cutPairs.delete(`${from}>${to}`);
  }

  /** Queues everything that a node sends and receives, as if its process was suspended. */
  suspendNode(name: string): void {
    this._suspendedNodes.add(name);
  }

  resumeNode(name: string): void {
    this._suspendedNodes.delete(name);
  }

  /** Sets the delay that is added in each direction on all links of a node; 0 removes the delay. */
  setDelay(name: string, delayMs: number): void {
    if (delayMs > 0) this._delaysMs.set(name, delayMs);
    else this._delaysMs.delete(name);
  }

  /** Resets all connections of a node and refuses new ones, as if its process had ended. */
  disconnectNode(name: string): void {
    for (const { relay, from, to } of this._relays.values())
      if (from === name || to === name) relay.refuseConnections();
  }

  /** Accepts connections of a disconnected node again. */
  async reconnectNode(name: string): Promise<void> {
    const relays = [...this._relays.values()].filter(({ from, to }) => from === name || to === name);
    await Promise.all(relays.map(({ relay }) => relay.acceptConnections()));
  }

  close(): void {
    for (const { relay } of this._relays.values()) relay.close();
  }

  private _getLinkState(from: NetworkNode, to: NetworkNode): LinkState {
    const isSuspended = this._suspendedNodes.has(from.name) || this._suspendedNodes.has(to.name);
    const isCut =
      isSuspended || this._isPartitioned(from, to) || this._cutPairs.has(`${from.name}>${to.name}`);
    const delayMs = (this._delaysMs.get(from.name) ?? 0) + (this._delaysMs.get(to.name) ?? 0);
    return { isCut, delayMs };
  }

  private _isPartitioned(from: NetworkNode, to: NetworkNode): boolean {
    if (from === callerNode || to === callerNode) return false;
    if (from.availabilityZone === to.availabilityZone) return false;
    return [from, to].some((n) => n.availabilityZone !== undefined && this._cutZones.has(n.availabilityZone));
  }
}
