export * from "./engineFrames.js";
export * from "./frameCodec.js";
export * from "./EngineLink.js";
export * from "./WsEngineLink.js";
export * from "./WsEngineConnector.js";
export * from "./SilenceDetector.js";
