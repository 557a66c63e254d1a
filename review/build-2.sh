#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/8 start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent setup
npx tsc -b platform
