/** Decision which part of a zone's requests runs in which zone. */

/** Distributes the requests of the own zone over the zones that can run them. */
export abstract class ZoneFlows {
  /**
   * Returns the cost that is added to a chain in a zone.
   * @param random - A random number from 0 to 1, which is the same for all zones of one choice.
   */
  abstract getZoneMs(service: string, availabilityZone: string, random: number): number;
}
