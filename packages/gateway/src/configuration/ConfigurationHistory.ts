/** The last configurations in force at this instance, and what changed since each of them. */
import { countParts, getDelta, type ConfigurationDelta } from "./configurationDelta.js";
import type { ActiveConfiguration } from "./ActiveConfiguration.js";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";

/**
 * Versions that are remembered. Their parts are mostly the same objects, so that one more takes 18 KB at 2,200 routes; while versions came
 * each 1.8 s, nothing but instances without any configuration was further behind.
 */
const longestHistory = 8;
/**
 * Changes with more parts than this are not told. A part takes some 300 bytes, so one that tells forty instances sends 0.4 MB at most: a
 * quarter of a second of a link of 14 Mbit/s, the smallest of the deployments at hand.
 */
const mostToldParts = 32;

/** One history an instance. */
export class ConfigurationHistory {
  /** The newest one is last. */
  private readonly _configurations: GatewayConfiguration[] = [];
  /** Changes to the newest one that were asked for, by version: many peers ask for the same at once, and one takes 4 ms of a small core. */
  private readonly _known = new Map<number, ConfigurationDelta | undefined>();

  constructor(keeper: ActiveConfiguration) {
    keeper.onChanged(({ configuration }) => this._add(configuration));
  }

  /** The one in force. */
  get newest(): GatewayConfiguration | undefined {
    return this._configurations[this._configurations.length - 1];
  }

  /** The one that was in force before. */
  get previous(): GatewayConfiguration | undefined {
    return this._configurations[this._configurations.length - 2];
  }

  /** What changed from a version to the one in force; undefined where the version isn't remembered, or where it is too much to tell. */
  getDeltaFrom(version: number): ConfigurationDelta | undefined {
    if (!this._known.has(version)) this._known.set(version, this._compareWith(version));
    return this._known.get(version);
  }

  private _add(configuration: GatewayConfiguration): void {
    this._configurations.push(configuration);
    if (this._configurations.length > longestHistory) this._configurations.shift();
    this._known.clear();
  }

  private _compareWith(version: number): ConfigurationDelta | undefined {
    const base = this._configurations.find((configuration) => configuration.version === version);
    if (base === undefined || this.newest === undefined) return undefined;
    const delta = getDelta(base, this.newest);
    return delta === undefined || countParts(delta) > mostToldParts ? undefined : delta;
  }
}
