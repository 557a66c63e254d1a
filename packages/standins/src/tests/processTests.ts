/** Tests with daemons in processes of their own, which are killed, suspended and stopped. */
import { utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import got from "got";
import { createPrompt, sendModelRequest, sendServiceCall, type CallerReport } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import { DaemonProcess } from "./DaemonProcess.js";
import { createEngine, createStructure, layerCount, model } from "./structures.js";

const waitMs = 30_000;

interface Fixture {
  readonly fleet: Fleet;
  readonly first: DaemonProcess;
  readonly second: DaemonProcess;
  readonly key: string;
}

/** Starts two daemons in two zones with two engines and a billing service. */
async function startFixture(t: ExecutionContext): Promise<Fixture> {
  const engines = [createEngine("g1", [0, 16]), createEngine("g2", [16, 32])];
  const fleet = new Fleet(createStructure([], engines, ["b1"]), { seed: 1 });
  await fleet.start();
  const [first, second] = await Promise.all([
    DaemonProcess.start(fleet, "e1", "a"),
    DaemonProcess.start(fleet, "e2", "b"),
  ]);
  t.teardown(async () => {
    await Promise.all([first.kill(), second.kill()]);
    await fleet.close();
  });
  await waitUntilReady(first);
  await waitUntilReady(second);
  return { fleet, first, second, key: fleet.accountKeys.get("crews") ?? "" };
}

/** Waits until the readiness check of a daemon succeeds. */
async function waitUntilReady(daemon: DaemonProcess): Promise<void> {
  const probe = async (): Promise<number> =>
    (await got.get(`http://${daemon.address}/readyz`, { throwHttpErrors: false })).statusCode;
  while ((await probe()) !== 200) await utils.sleep(20);
}

function sendRequest(
  { key }: Fixture,
  daemon: DaemonProcess,
  name: string,
  outputTokens: number,
): Promise<CallerReport> {
  const prompt = createPrompt(name, 16);
  return sendModelRequest({ address: daemon.address, key, model, layerCount, prompt, outputTokens });
}

/** Sends requests until one is answered, because a daemon that is ready may not have received the reports of the engines yet. */
async function sendUntilAnswered(fixture: Fixture, daemon: DaemonProcess): Promise<CallerReport> {
  for (let attempt = 0; ; attempt++) {
    const report = await sendRequest(fixture, daemon, `warm${daemon.name}${attempt}`, 2);
    if (report.outcome === "answered" || attempt > 200) return report;
    await utils.sleep(50);
  }
}

function sendBillingCall(
  { key }: Fixture,
  daemon: DaemonProcess,
  idempotencyKey: string,
): Promise<CallerReport> {
  return sendServiceCall({ address: daemon.address, key, service: "billing", idempotencyKey, body: {} });
}

test.serial("a daemon killed during an answer does not affect the callers of the other daemon", async (t) => {
  const fixture = await startFixture(t);
  t.is((await sendUntilAnswered(fixture, fixture.first)).outcome, "answered");
  t.is((await sendUntilAnswered(fixture, fixture.second)).outcome, "answered");
  const [cut, complete] = [
    sendRequest(fixture, fixture.first, "cut", 300),
    sendRequest(fixture, fixture.second, "whole", 300),
  ];
  t.true(
    await utils.waitUntil(() => fixture.fleet.requireEngine("g1").simulator.activeStreams === 2, waitMs),
  );
  fixture.first.signal("SIGKILL");
  t.is((await cut).outcome, "cut");
  t.is((await complete).outcome, "answered");
});

test.serial(
  "the call of a claim holder that is suspended after sending the call runs once, and its answer is returned after the holder resumes",
  async (t) => {
    const fixture = await startFixture(t);
    const service = fixture.fleet.services.get("b1");
    const idempotencyKey = utils.newId();
    service?.hang();
    const first = sendBillingCall(fixture, fixture.first, idempotencyKey);
    t.true(await utils.waitUntil(() => fixture.fleet.log.getRecords("claims").length === 1, waitMs));
    fixture.first.signal("SIGSTOP");
    t.is((await sendBillingCall(fixture, fixture.second, idempotencyKey)).outcome, "unknown");
    service?.resume();
    fixture.first.signal("SIGCONT");
    t.is((await first).outcome, "answered");
    // Once the peers are linked again, the second daemon can request the answer from the first.
    let later = await sendBillingCall(fixture, fixture.second, idempotencyKey);
    for (let attempt = 0; attempt < 200 && later.outcome === "unknown"; attempt++) {
      await utils.sleep(50);
      later = await sendBillingCall(fixture, fixture.second, idempotencyKey);
    }
    t.is(later.outcome, "answered");
    t.is(fixture.fleet.runs.byKey.get(idempotencyKey), 1);
  },
);

test.serial(
  "a claim holder suspended between its claim and its call is the only one that may run the call, even after a late resume",
  async (t) => {
    const fixture = await startFixture(t);
    const idempotencyKey = utils.newId();
    fixture.fleet.log.appendMs = 400;
    const first = sendBillingCall(fixture, fixture.first, idempotencyKey);
    // The append is in progress. Its record is written while the holder is suspended.
    await utils.sleep(150);
    fixture.first.signal("SIGSTOP");
    t.true(await utils.waitUntil(() => fixture.fleet.log.getRecords("claims").length === 1, waitMs));
    t.is((await sendBillingCall(fixture, fixture.second, idempotencyKey)).outcome, "unknown");
    fixture.first.signal("SIGCONT");
    t.is((await first).outcome, "answered");
    t.is(fixture.fleet.runs.byKey.get(idempotencyKey), 1);
  },
);

test.serial("SIGTERM rejects new work, completes requests in flight and exits with 0", async (t) => {
  const fixture = await startFixture(t);
  await sendUntilAnswered(fixture, fixture.first);
  const running = sendRequest(fixture, fixture.first, "running", 200);
  t.true(
    await utils.waitUntil(() => fixture.fleet.requireEngine("g1").simulator.activeStreams === 1, waitMs),
  );
  fixture.first.signal("SIGTERM");
  t.true(await utils.waitUntil(() => fixture.first.output.includes("Draining"), waitMs));
  const late = await sendRequest(fixture, fixture.first, "late", 2);
  t.is(late.outcome, "refused-not-run");
  const ready = await got.get(`http://${fixture.first.address}/readyz`, {
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
  t.is(ready.statusCode, 503);
  t.is((await running).outcome, "answered");
  t.is(await fixture.first.exitCode, 0);
});

test.serial("a second signal aborts the requests in flight and logs them", async (t) => {
  const fixture = await startFixture(t);
  await sendUntilAnswered(fixture, fixture.first);
  const running = sendRequest(fixture, fixture.first, "running", 5_000);
  t.true(
    await utils.waitUntil(() => fixture.fleet.requireEngine("g1").simulator.activeStreams === 1, waitMs),
  );
  fixture.first.signal("SIGTERM");
  t.true(await utils.waitUntil(() => fixture.first.output.includes("Draining"), waitMs));
  fixture.first.signal("SIGTERM");
  t.is((await running).outcome, "unknown");
  t.is(await fixture.first.exitCode, 1);
  t.regex(fixture.first.output, /Cut the request .* short/);
});
