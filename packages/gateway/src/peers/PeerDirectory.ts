/** Finds the other instances: by the registry in the store, and by what peers know. */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { PeerRegistry, RegisteredInstance } from "./PeerRegistry.js";

/** While no peer is linked the registry is read this often; it costs one call to the store. */
const lonelyIntervalMs = 1_000;
/** Otherwise newcomers make themselves known, and the registry is read only now and then. */
const companyIntervalMs = 15_000;

/** What a directory works with. */
export interface PeerDirectoryStructure {
  readonly self: RegisteredInstance;
  readonly membership: Membership;
  readonly registry: PeerRegistry;
  readonly log: DecisionLog;
  /** Told the number of instances known, this one included. */
  readonly onSize: (size: number) => void;
}

/** One directory an instance. A newer address of a name replaces the older one. */
export class PeerDirectory {
  private readonly _instances = new Map<string, RegisteredInstance>();
  private _isRegistered = false;

  constructor(private readonly _structure: PeerDirectoryStructure) {
    this._instances.set(_structure.self.name, _structure.self);
  }

  getInstances(): RegisteredInstance[] {
    return [...this._instances.values()];
  }

  /** Takes instances that the registry or a peer knows. */
  take(instances: readonly RegisteredInstance[]): void {
    for (const instance of instances) {
      if (instance.name !== this._structure.self.name) this._instances.set(instance.name, instance);
    }
    const listed = this.getInstances().map((instance) => ({
      ...instance,
      role: "entry" as const,
      state: "live" as const,
    }));
    this._structure.membership.setListed(listed);
    this._structure.onSize(this._instances.size);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this._isRegistered) await this._register();
      await this._read();
      const hasPeers = this._structure.membership.getLinked().length > 0;
      const pauseMs = this._isRegistered && hasPeers ? companyIntervalMs : lonelyIntervalMs;
      await utils.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  private async _register(): Promise<void> {
    const done = await this._structure.registry.register(this._structure.self);
    this._isRegistered = done.ok;
    if (done.err) this._structure.log.warn("registration-failed", { cause: done.val.message });
  }

  private async _read(): Promise<void> {
    const instances = await this._structure.registry.getInstances();
    if (instances.ok) this.take(instances.val);
    else this._structure.log.warn("registry-unreadable", { cause: instances.val.message });
  }
}
