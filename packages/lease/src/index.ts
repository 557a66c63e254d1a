export * from "./orders.js";
export * from "./LeaseProjection.js";
export * from "./LeaseHolder.js";
