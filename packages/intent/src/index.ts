export * from "./configurationObjects.js";
export * from "./configurationRecords.js";
export * from "./ConfigurationProjection.js";
export * from "./intents.js";
export * from "./Confirmer.js";
export * from "./accountKeys.js";
