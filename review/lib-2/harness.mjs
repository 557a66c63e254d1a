/** What the scripts share: gateways as processes, the store, relays that can be cut, plain endpoints, and clients. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { StoreStandIn } from "../../platform/dist/tests/standins/StoreStandIn.js";

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
export const isTrouble = process.env.TROUBLE !== "0";
export const loopback = "127.0.0.1";
export const hostName = "desk.example";
const relayProgram = fileURLToPath(new URL("relay.mjs", import.meta.url));
const exitByResult = { held: 0, broken: 1, "not run": 2 };

export const sleep = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs));
export const nowMs = () => Math.round(performance.now());

/** Returns a free port below the range of outgoing connections. */
async function allocatePort() {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, loopback, () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** The bounds of a small deployment, as the pages print them. */
export const bounds = {
  "grace-s": 8,
  "config-deadline-ms": 2_000,
  "strict-revocation": true,
  "revoke-ms": 5_000,
  "retry-budget-ratio": 0.2,
  "retry-budget-slack": 200,
  "budget-window-s": 10,
  "drain-timeout-ms": 2_000,
};

/** Fills the settings template of the deploy file, as the platform does. */
function renderSettings(fields) {
  const template = fs.readFileSync(path.join(root, "platform/settings.ini"), "utf8");
  return template.replace(/\{\{([^}]+)\}\}/g, (_gap, name) =>
    String(name.split(".").reduce((value, key) => value?.[key], fields) ?? ""),
  );
}

/** Returns the words of the run line of the deploy file. */
function getRunCommand() {
  const deploy = fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(deploy)[1].split(" ");
}

/** The lines of the record, and what has to be ended at the end of a run. */
export class Run {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  lines = [];
  closers = [];
  _isFinished = false;

  constructor(caseFolder) {
    this.caseFolder = caseFolder;
  }

  note(text) {
    this.lines.push(`${String(nowMs()).padStart(6)} ms  ${text}`);
  }

  /** Ends all processes, writes the record and exits with the status of the result. */
  async finish(result, summary) {
    if (this._isFinished) return;
    this._isFinished = true;
    this.lines.push("", `trouble: ${isTrouble ? "yes" : "no"}`, ...summary, `result: ${result}`);
    fs.writeFileSync(path.join(this.caseFolder, "record.txt"), this.lines.join("\n") + "\n");
    for (const line of [...summary, `result: ${result}`]) console.log(line);
    for (const close of this.closers.reverse()) await close();
    if (process.env.KEEP_LOGS !== undefined)
      fs.cpSync(this.folder, process.env.KEEP_LOGS, { recursive: true });
    fs.rmSync(this.folder, { recursive: true, force: true });
    process.exit(exitByResult[result]);
  }
}

/** Runs a script; an error counts as a case that couldn't run. */
export async function main(caseFolder, script) {
  const run = new Run(caseFolder);
  const stop = (reason) => void run.finish("not run", [reason]);
  setTimeout(() => stop("the run took too long"), 110_000);
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => stop(`ended by ${signal}`));
  process.on("uncaughtException", (error) => stop(String(error?.stack ?? error)));
  try {
    await script(run);
  } catch (error) {
    stop(String(error?.stack ?? error));
  }
}

/** A relay process with any number of ports. */
export class RelayProcess {
  _nextId = 1;
  _waiting = new Map();
  ports = [];
  _fillers = [];

  constructor(run) {
    this._child = childProcess.fork(relayProgram, { stdio: ["ignore", "ignore", "inherit", "ipc"] });
    this._child.on("message", ({ id, port }) => this._waiting.get(id)(port));
    run.closers.push(() => {
      this._child.kill("SIGCONT");
      this._child.kill("SIGKILL");
    });
  }

  /** Returns the address of a new port that leads to `target`. */
  async lead(target) {
    const id = this._nextId++;
    const port = await new Promise((resolve) => {
      this._waiting.set(id, resolve);
      this._child.send({ id, target });
    });
    this.ports.push(port);
    return `${loopback}:${port}`;
  }

  /** Cuts all links of the relay silently: what is sent is kept, and new connections hang. */
  cut() {
    this._child.kill("SIGSTOP");
    for (const port of this.ports)
      for (let count = 0; count < 4; count++) {
        const filler = net.connect({ host: loopback, port });
        filler.on("error", () => undefined);
        this._fillers.push(filler);
      }
  }

  /** The open connections go silent for good; new ones work. */
  silence() {
    this._child.send({});
  }

  heal() {
    for (const filler of this._fillers) filler.destroy();
    this._fillers = [];
    this._child.kill("SIGCONT");
  }
}

/**
 * The store as one gateway sees it. The addresses of the other gateways that the gateway reads are replaced by those of `getPeerAddress`, so
 * that its links can lead through relays.
 */
export async function startStoreView(run, store, getPeerAddress) {
  const [host, port] = store.address.split(":");
  const server = http.createServer((request, response) => {
    const forwarded = http.request(
      { host, port, method: request.method, path: request.url, headers: request.headers },
      async (answer) => {
        const chunks = [];
        for await (const chunk of answer) chunks.push(chunk);
        let body = Buffer.concat(chunks);
        if (answer.statusCode === 200 && request.url.includes("/log-newest?topic=keyed.instances"))
          body = rewriteInstances(body, getPeerAddress);
        const headers = { ...answer.headers, "content-length": String(body.length) };
        delete headers["transfer-encoding"];
        response.writeHead(answer.statusCode, headers).end(body);
      },
    );
    forwarded.on("error", () => response.destroy());
    response.on("close", () => forwarded.destroy());
    request.pipe(forwarded);
  });
  await new Promise((resolve) => server.listen(0, loopback, resolve));
  run.closers.push(() => server.closeAllConnections());
  return `${loopback}:${server.address().port}`;
}

function rewriteInstances(body, getPeerAddress) {
  const page = JSON.parse(body.toString("utf8"));
  for (const item of page.items) {
    const instance = JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
    instance.address = getPeerAddress(instance.name) ?? instance.address;
    item.value = Buffer.from(JSON.stringify(instance)).toString("base64");
  }
  return Buffer.from(JSON.stringify(page));
}

/** A gateway in its own process, started with the command of the deploy file. */
export class Gateway {
  constructor(run, name, zone) {
    Object.assign(this, { run, name, zone });
    this.logFile = path.join(run.folder, `${name}.log`);
    run.closers.push(() => this.end());
  }

  async allocate() {
    const ports = await Promise.all([0, 1, 2, 3].map(() => allocatePort()));
    [this.port, this.readyPort, this.peerPort, this.metricsPort] = ports;
    this.peerAddress = `${loopback}:${this.peerPort}`;
  }

  start(storeAddress, ownBounds = bounds) {
    this.settingsFile = path.join(this.run.folder, `${this.name}.ini`);
    const fields = {
      "node-name": this.name,
      zone: this.zone,
      ip: loopback,
      listen: { front: `${loopback}:${this.port}`, ready: `${loopback}:${this.readyPort}` },
      "internal-ports": [this.peerPort, this.metricsPort],
      bounds: ownBounds,
      platform: { address: storeAddress, ttl_min_ms: 1_000 },
    };
    fs.writeFileSync(this.settingsFile, renderSettings(fields));
    this.launch();
  }

  /** Starts the process with the settings that were written before. */
  launch() {
    const [program, ...args] = getRunCommand();
    const log = fs.openSync(this.logFile, "a");
    const { PATH, HOME, LANG } = process.env;
    this.child = childProcess.spawn(program === "node" ? process.execPath : program, args, {
      cwd: root,
      stdio: ["ignore", log, log],
      env: { PATH, HOME, LANG, SHEDTILLER_CONFIG: this.settingsFile },
    });
    fs.closeSync(log);
    this.child.once("exit", (code, signal) =>
      this.run.note(`${this.name}: process ended, ${signal ?? `status ${code}`}`),
    );
  }

  signal(name) {
    this.run.note(`${this.name}: ${name}`);
    this.child.kill(name);
  }

  async isReady() {
    const outcome = await send({ port: this.readyPort, path: "/shedtiller/readyz", timeoutMs: 1_000 });
    return outcome.status === 200;
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const endMs = nowMs() + timeoutMs;
    while (!(await this.isReady())) {
      if (nowMs() > endMs) throw new Error(`${this.name} did not become ready`);
      await sleep(50);
    }
  }

  async end() {
    if (this.child === undefined || this.child.exitCode !== null || this.child.signalCode !== null) return;
    const exited = new Promise((resolve) => this.child.once("exit", resolve));
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await exited;
  }

  /** Name of the gateway that reads the store for the zone, as this one sees it. */
  getReader() {
    const changes = [
      ...this.readLog().matchAll(/"zone-duty-changed","duty":"store-reader".*?"holder":"([^"]+)"/g),
    ];
    return changes.at(-1)?.[1] ?? this.name;
  }

  readLog() {
    return fs.readFileSync(this.logFile, "utf8");
  }
}

/** Starts gateways in one zone. With `isRelayed`, each has a relay process through which its links to the store and to its peers lead. */
export async function startGateways(run, store, names, { zone = "east", isRelayed = false } = {}) {
  const gateways = names.map((name) => new Gateway(run, name, zone));
  for (const gateway of gateways) {
    await gateway.allocate();
    if (isRelayed) gateway.relay = new RelayProcess(run);
  }
  const inbound = new Map();
  for (const { name, relay, peerAddress } of gateways)
    inbound.set(name, isRelayed ? await relay.lead(peerAddress) : peerAddress);
  for (const gateway of gateways) {
    const { relay } = gateway;
    if (!isRelayed) {
      gateway.start(store.address);
      continue;
    }
    // A link leads through the relays of both sides.
    const seen = new Map();
    for (const name of names) if (name !== gateway.name) seen.set(name, await relay.lead(inbound.get(name)));
    gateway.start(await relay.lead(await startStoreView(run, store, (name) => seen.get(name))));
  }
  for (const gateway of gateways) await gateway.waitUntilReady();
  return new Map(gateways.map((gateway) => [gateway.name, gateway]));
}

export async function startStore(run) {
  const store = new StoreStandIn();
  await store.listen();
  run.closers.push(() => store.close());
  return store;
}

/** A plain endpoint that runs each request for `workMs` and keeps a list of what it ran. */
export class PlainEndpoint {
  runs = [];
  arrivals = [];
  /** Replaced by scripts: called with each request; returns true if it has handled the request itself. */
  handle = () => false;

  constructor(run, store, id, { service = "records", zone = "east", workMs = 20, slots = 16 } = {}) {
    Object.assign(this, { run, store, id, service, zone, workMs, slots });
    this.server = http.createServer((request, response) => void this._answer(request, response));
    this.server.keepAliveTimeout = 5_000;
    run.closers.push(() => this.server.closeAllConnections());
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, loopback, resolve));
    this.address = `${loopback}:${this.server.address().port}`;
    this.publish();
  }

  publish(state = "ready") {
    this.store.write("keyed.servers", this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      "cold-remaining-ms": 0,
      sequence: 1,
      born: 1_700_000_000_000,
    });
  }

  withdraw() {
    this.store.write("keyed.servers", this.id, undefined);
  }

  async _answer(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const requestId = request.headers["request-id"];
    if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id)
      return void response.writeHead(421, { "Request-Id": requestId, "Not-Executed": "1" }).end();
    if (requestId === undefined) return void response.writeHead(200, { "Instance-Id": this.id }).end();
    const body = Buffer.concat(chunks);
    this.arrivals.push({ id: requestId, atMs: nowMs() });
    const entry = { id: requestId, endpoint: this.id, atMs: nowMs(), account: request.headers["tenant-id"] };
    this.runs.push(entry);
    const head = { "Request-Id": requestId, "Response-Stamp": `${this.id}.${requestId}` };
    if (this.handle({ request, response, body, head, entry })) return;
    await sleep(this.workMs);
    response.writeHead(200, head).end(`answer to ${requestId}`);
  }
}

/** Sends one request and resolves with its outcome; `status` is undefined if there was no whole answer. */
export function send({ port, path: target, method = "GET", headers = {}, body, agent, timeoutMs = 5_000 }) {
  return new Promise((resolve) => {
    const sentAtMs = nowMs();
    const end = (outcome) => {
      clearTimeout(timer);
      resolve({ sentAtMs, endedAtMs: nowMs(), ...outcome });
    };
    const request = http.request({ host: loopback, port, path: target, method, headers, agent }, (answer) => {
      const chunks = [];
      answer.on("data", (chunk) => chunks.push(chunk));
      answer.on("error", (error) => end({ error: error.code ?? String(error) }));
      answer.on("end", () =>
        end({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks).toString() }),
      );
    });
    const timer = setTimeout(() => request.destroy(new Error("client gave up")), timeoutMs);
    request.on("error", (error) => end({ error: error.code ?? error.message }));
    request.end(body);
  });
}

export const limits = {
  "max-header-bytes": 16_384,
  "max-body-bytes": 1_000_000,
  "header-timeout-ms": 3_000,
  "idle-timeout-ms": 15_000,
};

/** Returns a route of the service `records`. */
export function createRoute(name, kind, fields = {}) {
  return {
    name,
    host: hostName,
    "path-prefix": `/${name}/`,
    kind,
    "timeout-ms": 4_000,
    "target-latency-ms": 400,
    priority: 1,
    service: "records",
    "max-attempts": 2,
    ...fields,
  };
}

export const plainService = { name: "records", "health-path": "/healthz", "max-conns": 110 };
