export * from "./peerFrames.js";
export * from "./PeerLink.js";
export * from "./peerHandshake.js";
export * from "./Member.js";
export * from "./Membership.js";
export * from "./TrafficCounter.js";
export * from "./controlBudget.js";
export * from "./pickContacts.js";
