#!/usr/bin/env node
import "../dist/bin/shedtillerd.js";
