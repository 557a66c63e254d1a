export * from "./chooseEndpoint.js";
export * from "./EndpointRating.js";
export * from "./SendPace.js";
export * from "./SmoothedLoad.js";
export * from "./TimeHistogram.js";
export * from "./WindowedSums.js";
