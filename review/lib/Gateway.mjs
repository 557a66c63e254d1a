/** A gateway instance: the deployed program in its own process, with the settings that the platform would fill in. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { getFreePort, host, waitUntil } from "./common.mjs";

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "..", "..");
const startTimeoutMs = 20_000;

/** Bounds of a small deployment. */
export const bounds = {
  "config-deadline-ms": 2_000,
  "strict-revocation": true,
  "revoke-ms": 5_000,
  "retry-budget-ratio": 0.2,
  "retry-budget-slack": 200,
  "budget-window-s": 10,
  "drain-timeout-ms": 2_000,
  "grace-s": 8,
  "contact-ms": 3_000,
  "loss-slack-ms": 200,
};

/** Returns the arguments of the deploy file's `run` line for the gateway. */
function getRunArguments() {
  const deploy = fs.readFileSync(path.join(root, "deploy", "system.toml"), "utf8");
  const line = /^run = "(.*)"$/m.exec(deploy)?.[1] ?? "";
  return line.split(" ");
}

/** Fills the template of the settings with the platform's fields, given by their dotted names. */
function fillTemplate(fields) {
  const template = fs.readFileSync(path.join(root, "platform", "settings.ini"), "utf8");
  return template.replace(/\{\{([^}]+)\}\}/g, (_, name) => String(fields[name] ?? ""));
}

export class Gateway {
  constructor(name, availabilityZone, store, folder, record) {
    this.name = name;
    this._availabilityZone = availabilityZone;
    this._store = store;
    this._folder = folder;
    this._record = record;
    this._hasExited = true;
  }

  get pid() {
    return this._child.pid;
  }

  get hasExited() {
    return this._hasExited;
  }

  async start() {
    this.storeAccess ??= await this._store.open();
    this.port = await getFreePort();
    this._readyPort = await getFreePort();
    const fields = {
      "node-name": this.name,
      zone: this._availabilityZone,
      ip: host,
      "listen.front": `${host}:${this.port}`,
      "listen.ready": `${host}:${this._readyPort}`,
      "internal-ports.0": await getFreePort(),
      "internal-ports.1": await getFreePort(),
      "platform.address": this.storeAccess.address,
      "platform.ttl_min_ms": 1_000,
    };
    for (const [bound, value] of Object.entries(bounds)) fields[`bounds.${bound}`] = value;
    const file = path.join(this._folder, `${this.name}.ini`);
    fs.writeFileSync(file, fillTemplate(fields));
    const [command, ...args] = getRunArguments();
    const log = fs.openSync(this.logFile, "a");
    this._child = childProcess.spawn(command === "node" ? process.execPath : command, args, {
      cwd: root,
      stdio: ["ignore", log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, SHEDTILLER_CONFIG: file },
    });
    fs.closeSync(log);
    this._hasExited = false;
    this._child.once("exit", (code, signal) => {
      this._hasExited = true;
      this._record.add(`${this.name}: the process ended, exit code ${code}, signal ${signal}`);
    });
    await waitUntil(`${this.name} is ready`, () => this.isReady(), startTimeoutMs);
    this._record.add(`${this.name}: ready, process ${this.pid}`);
  }

  get logFile() {
    return path.join(this._folder, `${this.name}.log`);
  }

  async isReady() {
    try {
      const answer = await fetch(`http://${host}:${this._readyPort}/shedtiller/readyz`);
      await answer.arrayBuffer();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  signal(name) {
    this._record.add(`${this.name}: gets ${name}`);
    this._child.kill(name);
  }

  /** Ends the process at once. */
  async end() {
    if (this._child === undefined) return;
    this._child.kill("SIGKILL");
    await waitUntil(`${this.name} has ended`, () => this._hasExited, 5_000);
  }
}
