/** Child process that runs `shedtillerd`, for tests that kill, suspend and stop a daemon. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import { errors, utils } from "@shedtiller/common";
import { formatTokenHash } from "@shedtiller/entry";
import got from "got";
import type { Fleet } from "../fleet/Fleet.js";

const binary = url.fileURLToPath(new URL("../../../entry/bin/shedtillerd.js", import.meta.url));
const startTimeoutMs = 60_000;

/** Starts a daemon in a child process, and sends signals to it. */
export class DaemonProcess {
  /** Standard error output of the daemon. */
  output = "";
  /** Resolves to the exit code of the daemon, or null if a signal ended it. */
  readonly exitCode: Promise<number | null>;
  private _ports: number[] = [];

  private constructor(
    readonly name: string,
    private readonly _child: childProcess.ChildProcess,
  ) {
    _child.stderr?.on("data", (data) => {
      this.output += String(data);
    });
    this.exitCode = new Promise((resolve) => _child.once("exit", resolve));
  }

  /** Starts a daemon with the log and the instance list of a fleet, and waits until the daemon is ready. */
  static async start(fleet: Fleet, name: string, availabilityZone: string): Promise<DaemonProcess> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "shedtiller-"));
    const file = path.join(folder, `${name}.ini`);
    fs.writeFileSync(file, createSettings(fleet, name, availabilityZone));
    const child = childProcess.spawn(process.execPath, [binary, "--settings", file], {
      stdio: ["ignore", "ignore", "pipe"],
      env: {
        ...process.env,
        SHEDTILLER_PEER_SECRET: fleet.peerSecret,
        SHEDTILLER_OPERATOR_TOKEN_HASH: formatTokenHash(fleet.operatorToken.stored),
      },
    });
    const daemon = new DaemonProcess(name, child);
    const isListening = await utils.waitUntil(() => daemon._readPorts(), startTimeoutMs, 20);
    fs.rmSync(folder, { recursive: true });
    if (!isListening) throw new errors.DeadlineError(`The start of ${name}`, startTimeoutMs);
    fleet.addExternalInstance(name, availabilityZone, daemon._ports[2] ?? 0);
    await daemon._waitUntilReady();
    return daemon;
  }

  get address(): string {
    return `127.0.0.1:${this._ports[0] ?? 0}`;
  }

  get operatorAddress(): string {
    return `127.0.0.1:${this._ports[1] ?? 0}`;
  }

  signal(name: NodeJS.Signals): void {
    this._child.kill(name);
  }

  /** Kills the daemon, even if it is suspended. */
  async kill(): Promise<void> {
    this._child.kill("SIGCONT");
    this._child.kill("SIGKILL");
    await this.exitCode;
  }

  private _readPorts(): boolean {
    const match = /callers on port (\d+), operators on port (\d+), peers on port (\d+)/.exec(this.output);
    this._ports = match === null ? [] : match.slice(1, 4).map(Number);
    return match !== null;
  }

  private async _waitUntilReady(): Promise<void> {
    for (;;) {
      const ready = await got.get(`http://${this.address}/readyz`, {
        throwHttpErrors: false,
        retry: { limit: 0 },
      });
      if (ready.statusCode === 200) return;
      await utils.sleep(20);
    }
  }
}

function createSettings(fleet: Fleet, name: string, availabilityZone: string): string {
  return [
    "[instance]",
    `name = ${name}`,
    `availabilityZone = ${availabilityZone}`,
    "callerAddress = 127.0.0.1:0",
    "operatorAddress = 127.0.0.1:0",
    "peerAddress = 127.0.0.1:0",
    "[platform]",
    `logAddress = ${fleet.log.address}`,
    `instanceListAddress = ${fleet.instanceList.address}`,
  ].join("\n");
}
