/** The links of a fleet: who is reached by whom through which relay, and which links are cut, held or slow. */
import { Relay, type LinkState } from "./Relay.js";

/** A place on the network. */
export interface NetworkNode {
  readonly name: string;
  /** Undefined for the platform, which is in no zone of its own and is lost by any zone that is cut off. */
  readonly availabilityZone: string | undefined;
}

/** Who is outside of all zones and never cut off: the callers. */
export const callerNode: NetworkNode = { name: "caller", availabilityZone: undefined };

/** Makes one relay for each pair of nodes on demand. */
export class StandInNetwork {
  private readonly _relays = new Map<
    string,
    { relay: Relay; port: Promise<number>; from: string; to: string }
  >();
  private readonly _cutZones = new Set<string>();
  private readonly _heldNodes = new Set<string>();
  private readonly _cutPairs = new Set<string>();
  private readonly _delaysMs = new Map<string, number>();

  /** Gives the address under which `from` reaches `to`. */
  async getAddress(from: NetworkNode, to: NetworkNode, targetPort: number): Promise<string> {
    const key = `${from.name}>${to.name}:${targetPort}`;
    const known = this._relays.get(key);
    if (known !== undefined) return `127.0.0.1:${await known.port}`;
    const relay = new Relay(targetPort, () => this._getState(from, to));
    const port = relay.start();
    this._relays.set(key, { relay, port, from: from.name, to: to.name });
    return `127.0.0.1:${await port}`;
  }

  /** Cuts a zone off from the other zones and the platform. */
  cutZone(availabilityZone: string): void {
    this._cutZones.add(availabilityZone);
  }

  mendZone(availabilityZone: string): void {
    this._cutZones.delete(availabilityZone);
  }

  /** Lets nothing pass from one node to another in one direction of connecting; the other direction stands. */
  cutPair(from: string, to: string): void {
    this._cutPairs.add(`${from}>${to}`);
  }

  mendPair(from: string, to: string): void {
    this._cutPairs.delete(`${from}>${to}`);
  }

  /** Holds everything that a node sends and receives, as when its process stands still. */
  holdNode(name: string): void {
    this._heldNodes.add(name);
  }

  releaseNode(name: string): void {
    this._heldNodes.delete(name);
  }

  /** Adds a delay each way on all links of a node. */
  setDelay(name: string, delayMs: number): void {
    if (delayMs > 0) this._delaysMs.set(name, delayMs);
    else this._delaysMs.delete(name);
  }

  /** Resets every connection of a node, and refuses new ones, as when its process is gone. */
  dropNode(name: string): void {
    for (const { relay, from, to } of this._relays.values()) if (from === name || to === name) relay.refuse();
  }

  /** Lets a dropped node's connections stand again. */
  async restoreNode(name: string): Promise<void> {
    const relays = [...this._relays.values()].filter(({ from, to }) => from === name || to === name);
    await Promise.all(relays.map(({ relay }) => relay.admit()));
  }

  close(): void {
    for (const { relay } of this._relays.values()) relay.refuse();
  }

  private _getState(from: NetworkNode, to: NetworkNode): LinkState {
    const isHeld = this._heldNodes.has(from.name) || this._heldNodes.has(to.name);
    const isCut = isHeld || this._isApart(from, to) || this._cutPairs.has(`${from.name}>${to.name}`);
    const delayMs = (this._delaysMs.get(from.name) ?? 0) + (this._delaysMs.get(to.name) ?? 0);
    return { isCut, delayMs };
  }

  private _isApart(from: NetworkNode, to: NetworkNode): boolean {
    if (from === callerNode || to === callerNode) return false;
    if (from.availabilityZone === to.availabilityZone) return false;
    return [from, to].some((n) => n.availabilityZone !== undefined && this._cutZones.has(n.availabilityZone));
  }
}
