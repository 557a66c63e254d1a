export * from "./orders.js";
export * from "./LeaseFold.js";
export * from "./LeaseHolder.js";
