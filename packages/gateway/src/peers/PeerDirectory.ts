import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { InstanceCount, type SharingInstances } from "./InstanceCount.js";
import type { PeerRegistry, RegisteredInstance } from "./PeerRegistry.js";

/** Interval between reads of the registry while no peer is linked. A read is one call to the store. */
const unlinkedIntervalMs = 1_000;
/** Interval for the reader of a zone that has linked peers. New instances connect by themselves, so frequent reads are not needed. */
const readerIntervalMs = 15_000;
/** Interval for the other instances, which need the registry only for new addresses when a link breaks, and for the number of instances. */
const memberIntervalMs = 60_000;

/** Dependencies of {@link PeerDirectory}. */
export interface PeerDirectoryStructure {
  readonly self: RegisteredInstance;
  readonly membership: Membership;
  readonly registry: PeerRegistry;
  readonly log: DecisionLog;
  /** Returns whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  /** Called after each list of instances. */
  readonly onInstances: () => void;
}

/** Discovers the other instances through the registry in the store and through peers. A newer address of an instance replaces the older. */
export class PeerDirectory {
  private readonly _instances = new Map<string, RegisteredInstance>();
  private readonly _count: InstanceCount;
  private _isRegistered = false;
  private _isFormerListRead = false;
  private _isRegistryReached = false;
  private _isCountKnown = false;

  constructor(private readonly _structure: PeerDirectoryStructure) {
    this._instances.set(_structure.self.name, _structure.self);
    this._count = new InstanceCount(_structure);
  }

  /** Whether the last read of the registry succeeded. */
  get isRegistryReached(): boolean {
    return this._isRegistryReached;
  }

  /** Returns all known instances, including this one. */
  getInstances(): RegisteredInstance[] {
    return [...this._instances.values()];
  }

  /** Returns the number of instances, including this one, or undefined until the registry or a peer has reported it. */
  getCount(): number | undefined {
    return this._isCountKnown ? this._instances.size : undefined;
  }

  /** Returns the instances that divide allowances; undefined while there may be others that this instance does not know. */
  getSharing(): SharingInstances | undefined {
    return this._count.get();
  }

  /** Adds instances that the registry or a peer has reported. */
  addInstances(instances: readonly RegisteredInstance[]): void {
    for (const instance of instances) {
      if (instance.name !== this._structure.self.name) this._instances.set(instance.name, instance);
    }
    const listed = this.getInstances().map((instance) => ({
      ...instance,
      role: "entry" as const,
      state: "live" as const,
    }));
    this._isCountKnown = true;
    this._structure.membership.setListed(listed);
    this._structure.onInstances();
  }

  /** Registers this instance and reads the registry periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this._isRegistered) await this._register();
      await this._read();
      await utils.sleep(this._getIntervalMs(), signal).catch(() => undefined);
    }
  }

  private _getIntervalMs(): number {
    const { membership, isReader } = this._structure;
    const hasPeers = membership.getLinked().length > 0;
    if (!this._isRegistered || !this._isRegistryReached || !hasPeers) return unlinkedIntervalMs;
    const intervalMs = isReader() ? readerIntervalMs : memberIntervalMs;
    return Math.min(intervalMs, this._count.settlesInMs ?? intervalMs);
  }

  private async _register(): Promise<void> {
    if (!this._isFormerListRead) await this._readFormerList();
    // A registration that is not acknowledged may be in a list that is read later.
    if (!this._isFormerListRead) return;
    const done = await this._structure.registry.register(this._structure.self);
    this._isRegistered = done.ok;
    if (done.ok) this._count.noteRegistered();
    if (done.err) this._structure.log.warn("registration-failed", { cause: done.val.message });
  }

  private async _read(): Promise<void> {
    const instances = await this._structure.registry.getInstances();
    this._isRegistryReached = instances.ok;
    if (instances.ok) {
      this.addInstances(instances.val);
      this._count.noteList(getNames(instances.val));
    } else this._structure.log.warn("registry-unreadable", { cause: instances.val.message });
  }

  private async _readFormerList(): Promise<void> {
    const instances = await this._structure.registry.getInstances();
    this._isFormerListRead = instances.ok;
    if (instances.ok) this._count.noteFormerList(getNames(instances.val));
  }
}

function getNames(instances: readonly RegisteredInstance[]): string[] {
  return instances.map(({ name }) => name);
}
