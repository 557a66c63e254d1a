#!/usr/bin/env node
// A dependency of restify still reads process.binding; the warning says nothing to a user.
process.noDeprecation = true;
await import("../dist/main.js");
