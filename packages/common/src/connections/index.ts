/** The connections of an HTTP server: who may close one, and when. */
export * from "./FaultWriter.js";
export * from "./formatLastHead.js";
export * from "./ServerConnection.js";
export * from "./ServerConnections.js";
export * from "./toReadFault.js";
