export * from "./readIni.js";
export * from "./instanceSettings.js";
export * from "./checkSettings.js";
export * from "./getNearest.js";
