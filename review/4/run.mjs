/** Keys are revoked while one of three gateways is cut off from the store and from its peers. */
import * as http from "node:http";
import { fileURLToPath } from "node:url";
import * as harness from "../lib-2/harness.mjs";

const { nowMs, sleep } = harness;
const isTrouble = process.env.TROUBLE !== "0";
/** Cuts, one after the other; each takes another key away. */
const rounds = 3;
const cutForMs = 7_200;
const revokeAfterMs = 2_000;
const watchAfterHealMs = 2_000;
const pauseMs = 3_000;
const sendIntervalMs = 10;
const sendsPerInterval = 3;
const lastKey = "crews-key";

function createConfiguration(version, keys) {
  return {
    version,
    routes: [harness.createRoute("status", "safe")],
    services: [harness.plainService],
    limits: harness.limits,
    tenants: [{ name: "crews", "api-keys": keys }],
  };
}

function describe(outcomes) {
  const byStatus = {};
  for (const { status = "no answer" } of outcomes) byStatus[status] = (byStatus[status] ?? 0) + 1;
  return JSON.stringify(byStatus);
}

/** Returns a gateway that reads the store for its zone neither in its own view nor in that of another one. */
function pickMember(gateways) {
  const readers = new Set([...gateways.values()].map((gateway) => gateway.getReader()));
  const member = [...gateways.values()].find(({ name }) => !readers.has(name));
  return { member, readers: [...readers].join(", ") };
}

/** Sends requests to one gateway at a time until it is stopped, with the key that is in turn and now and then with the one that stays. */
class Caller {
  sent = new Map();
  outcomes = [];
  key = "key-1";
  _agent = new http.Agent({ keepAlive: true });
  _isSending = true;

  constructor(port) {
    this.port = port;
    this._sending = this._send();
  }

  async stop() {
    this._isSending = false;
    await this._sending;
  }

  async _send() {
    for (let tick = 0; this._isSending; tick++) {
      for (let count = 0; count < sendsPerInterval; count++) this._sendOne(this.key);
      if (tick % 5 === 0) this._sendOne(lastKey);
      await sleep(sendIntervalMs);
    }
  }

  _sendOne(key) {
    const id = `r${this.sent.size + 1}`;
    const headers = {
      Host: harness.hostName,
      "Request-Id": id,
      "Deadline-Ms": "1500",
      Authorization: `Bearer ${key}`,
    };
    this.sent.set(id, { key, atMs: nowMs() });
    void harness
      .send({ port: this.port, path: "/status/x", headers, agent: this._agent, timeoutMs: 2_500 })
      .then((outcome) => this.outcomes.push({ id, key, ...outcome }));
  }
}

await harness.main(fileURLToPath(new URL(".", import.meta.url)), async (run) => {
  const store = await harness.startStore(run);
  const keys = [...Array.from({ length: rounds }, (_, index) => `key-${index + 1}`), lastKey];
  store.write("keyed.op", "config", createConfiguration(3, keys));
  const endpoints = [];
  for (const id of ["s-1", "s-2", "s-3"]) {
    const endpoint = new harness.PlainEndpoint(run, store, id);
    await endpoint.listen();
    endpoints.push(endpoint);
  }
  const gateways = await harness.startGateways(run, store, ["front-1", "front-2", "front-3"], {
    isRelayed: true,
  });
  await sleep(4_000);
  const caller = new Caller([...gateways.values()][0].port);
  const acknowledgedAtMs = new Map();
  for (let round = 1; round <= rounds; round++) {
    caller.key = `key-${round}`;
    await sleep(pauseMs);
    const { member, readers } = pickMember(gateways);
    if (member === undefined) {
      run.note(`round ${round}: each gateway reads the store in some view (${readers}); no cut`);
      continue;
    }
    caller.port = member.port;
    await sleep(200);
    if (isTrouble) member.relay.cut();
    const what = isTrouble ? `${member.name} is cut off` : `no cut of ${member.name}`;
    run.note(`round ${round}: ${what}; ${readers} reads the store for the zone`);
    await sleep(revokeAfterMs);
    store.write("keyed.op", "config", createConfiguration(3 + 4 * round, keys.slice(round)));
    acknowledgedAtMs.set(caller.key, nowMs());
    run.note(`the store acknowledges version ${3 + 4 * round}, without ${caller.key}`);
    await sleep(cutForMs - revokeAfterMs);
    if (isTrouble) member.relay.heal();
    run.note("the cut ends");
    await sleep(watchAfterHealMs);
  }
  await caller.stop();
  if (acknowledgedAtMs.size === 0) throw new Error("no gateway could be cut off");
  await sleep(1_500);

  const runs = endpoints.flatMap((endpoint) => endpoint.runs);
  const lateBy = ({ id }) => {
    const { key, atMs } = caller.sent.get(id);
    return atMs - (acknowledgedAtMs.get(key) ?? Infinity) - harness.bounds["revoke-ms"];
  };
  const late = runs.filter((entry) => lateBy(entry) > 0);
  for (const entry of late) {
    const { key, atMs } = caller.sent.get(entry.id);
    run.note(`${entry.id}, sent at ${atMs} ms with ${key}, was run by ${entry.endpoint} at ${entry.atMs} ms`);
  }
  const perKey = [...acknowledgedAtMs].flatMap(([key, atMs]) => {
    const own = caller.outcomes.filter((outcome) => outcome.key === key);
    const boundMs = atMs + harness.bounds["revoke-ms"];
    const ownLate = late.filter(({ id }) => caller.sent.get(id).key === key).map(lateBy);
    const span =
      ownLate.length === 0
        ? ""
        : `, sent ${Math.min(...ownLate) + harness.bounds["revoke-ms"]} to ${Math.max(...ownLate) + harness.bounds["revoke-ms"]} ms after the acknowledgement`;
    return [
      `${key} within the bound: ${describe(own.filter(({ sentAtMs }) => sentAtMs > atMs && sentAtMs <= boundMs))}`,
      `${key} after the bound: ${describe(own.filter(({ sentAtMs }) => sentAtMs > boundMs))}`,
      `${key}, run although sent more than 5,000 ms after the acknowledgement: ${ownLate.length}${span}`,
    ];
  });
  const served = caller.outcomes.filter(({ key, status }) => key === lastKey && status === 200).length;
  if (served === 0) throw new Error("no request with the key that stays was served");
  await run.finish(late.length > 0 ? "broken" : "held", [
    `requests sent: ${caller.sent.size}, run: ${runs.length}`,
    ...perKey,
  ]);
});
