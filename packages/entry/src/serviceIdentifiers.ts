/** Service identifiers of parts that are no classes, for composition. */

/** Service identifiers of parts that are no classes. */
export const serviceIdentifiers = {
  settings: Symbol.for("shedtiller.settings"),
  secrets: Symbol.for("shedtiller.secrets"),
  logs: Symbol.for("shedtiller.logs"),
  shutdown: Symbol.for("shedtiller.shutdown"),
  random: Symbol.for("shedtiller.random"),
  leaseFollower: Symbol.for("shedtiller.leaseFollower"),
  claimFollower: Symbol.for("shedtiller.claimFollower"),
  configurationFollower: Symbol.for("shedtiller.configurationFollower"),
} as const;
