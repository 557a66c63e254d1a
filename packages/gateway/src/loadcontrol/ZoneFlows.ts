/** Decision which part of a zone's requests runs in which zone. */

/** Distributes the requests of the own zone over the zones that can run them. */
export abstract class ZoneFlows {
  /** Records a request that arrived from a caller. */
  abstract noteArrival(service: string, tokens: number): void;

  /**
   * Returns the cost that is added to a chain in a zone, or undefined if the usual costs apply.
   * @param random - A random number from 0 to 1, which is the same for all zones of one choice.
   */
  abstract getZoneMs(service: string, availabilityZone: string, random: number): number | undefined;
}
