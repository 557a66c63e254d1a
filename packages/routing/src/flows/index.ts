export * from "./DecayingSum.js";
