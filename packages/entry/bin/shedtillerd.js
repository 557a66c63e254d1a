#!/usr/bin/env node
// Hides the deprecation warning about process.binding, which a dependency of restify causes and users can't resolve.
process.noDeprecation = true;
await import("../dist/bin/shedtillerd.js");
