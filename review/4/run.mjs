/** A key is revoked while one of three gateways is cut off from the store and from its peers. */
import * as http from "node:http";
import { fileURLToPath } from "node:url";
import { utils } from "@shedtiller/common";
import * as harness from "../lib-2/harness.mjs";

const { nowMs, sleep } = harness;
const cutForMs = 7_200;
const revokeAfterMs = 2_000;
const watchAfterHealMs = 3_000;
const sendIntervalMs = 10;

function createConfiguration(version, keys) {
  return {
    version,
    routes: [harness.createRoute("status", "safe")],
    services: [harness.plainService],
    limits: harness.limits,
    tenants: [
      { name: "crews", "api-keys": keys },
      { name: "dispatch", "api-keys": ["dispatch-key"] },
    ],
  };
}

await harness.main(fileURLToPath(new URL(".", import.meta.url)), async (run) => {
  const store = await harness.startStore(run);
  store.write("keyed.op", "config", createConfiguration(3, ["revoked-key", "crews-key"]));
  const endpoints = [];
  for (const id of ["s-1", "s-2", "s-3"]) {
    const endpoint = new harness.PlainEndpoint(run, store, id);
    await endpoint.listen();
    endpoints.push(endpoint);
  }
  const names = ["front-1", "front-2", "front-3"];
  // The last gateway that does not read the store for its zone.
  const reader = utils.pickOwner("store-reader", names);
  const cutName = names.filter((name) => name !== reader).at(-1);
  const relay = new harness.RelayProcess(run);
  const gateways = await harness.startGateways(run, store, names, { relay, cutName });
  await sleep(4_000);
  const { port } = gateways.get(cutName);
  const agent = new http.Agent({ keepAlive: true });
  const sent = new Map();
  const outcomes = [];
  let isSending = true;
  let count = 0;
  const sendOne = (key) => {
    const id = `r${++count}`;
    const headers = {
      Host: harness.hostName,
      "Request-Id": id,
      "Deadline-Ms": "1500",
      Authorization: `Bearer ${key}`,
    };
    sent.set(id, { key, atMs: nowMs() });
    void harness
      .send({ port, path: "/status/x", headers, agent, timeoutMs: 2_500 })
      .then((outcome) => outcomes.push({ id, key, ...outcome }));
  };
  const sending = (async () => {
    while (isSending) {
      sendOne("revoked-key");
      if (count % 5 === 0) sendOne("crews-key");
      await sleep(sendIntervalMs);
    }
  })();
  await sleep(1_000);
  if (harness.isTrouble) relay.cut();
  run.note(`${cutName} is cut off from the store and its peers; ${reader} reads the store for the zone`);
  await sleep(revokeAfterMs);
  store.write("keyed.op", "config", createConfiguration(7, ["crews-key"]));
  const acknowledgedAtMs = nowMs();
  run.note("the store acknowledges version 7, without revoked-key");
  await sleep(cutForMs - revokeAfterMs);
  if (harness.isTrouble) relay.heal();
  const healedAtMs = nowMs();
  run.note("the cut ends");
  await sleep(watchAfterHealMs);
  isSending = false;
  await sending;
  await sleep(1_500);
  const boundMs = acknowledgedAtMs + harness.bounds["revoke-ms"];
  const runs = endpoints.flatMap((endpoint) => endpoint.runs);
  const late = runs.filter(({ id }) => sent.get(id)?.key === "revoked-key" && sent.get(id).atMs > boundMs);
  for (const { id, endpoint, atMs } of late)
    run.note(`${id} sent at ${sent.get(id).atMs} ms with revoked-key was run by ${endpoint} at ${atMs} ms`);
  const served = (key, fromMs, toMs) =>
    outcomes.filter((one) => one.key === key && one.sentAtMs >= fromMs && one.sentAtMs < toMs);
  const describe = (list) => {
    const byStatus = {};
    for (const { status = "no answer" } of list) byStatus[status] = (byStatus[status] ?? 0) + 1;
    return JSON.stringify(byStatus);
  };
  await run.finish(late.length > 0 ? "broken" : "held", [
    `requests sent: ${sent.size}, run: ${runs.length}`,
    `revoked-key before its revocation: ${describe(served("revoked-key", 0, acknowledgedAtMs))}`,
    `revoked-key within the bound: ${describe(served("revoked-key", acknowledgedAtMs, boundMs))}`,
    `revoked-key after the bound: ${describe(served("revoked-key", boundMs, Infinity))}`,
    `crews-key after the cut: ${describe(served("crews-key", healedAtMs, Infinity))}`,
    `requests with revoked-key sent more than 5,000 ms after the acknowledgement and run: ${late.length}` +
      (late.length > 0
        ? `, sent ${sent.get(late[0].id).atMs - acknowledgedAtMs} to ${sent.get(late.at(-1).id).atMs - acknowledgedAtMs} ms after it`
        : ""),
  ]);
});
