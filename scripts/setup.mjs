// Installs the declared packages if they are missing or older than the lock file.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

const lockFile = "package-lock.json";
const installedMarker = "node_modules/.package-lock.json";

function isInstalled() {
  if (!fs.existsSync(installedMarker)) return false;
  return fs.statSync(installedMarker).mtimeMs >= fs.statSync(lockFile).mtimeMs;
}

if (!isInstalled()) {
  console.log("Setup: installing the declared packages.");
  childProcess.execSync("npm ci --no-audit --no-fund", { stdio: "inherit" });
  fs.utimesSync(installedMarker, new Date(), new Date());
}
