/** Real processes that are killed, paused and stopped. */
import { utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import got from "got";
import { createPrompt, sendModelRequest, sendServiceCall, type CallerReport } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import { DaemonProcess } from "./DaemonProcess.js";
import { createEngine, createStructure, layerCount, model } from "./structures.js";

const waitMs = 30_000;

interface World {
  readonly fleet: Fleet;
  readonly first: DaemonProcess;
  readonly second: DaemonProcess;
  readonly key: string;
}

/** Two daemons in two zones before two engines and a billing service. */
async function startWorld(t: ExecutionContext): Promise<World> {
  const engines = [createEngine("g1", [0, 16]), createEngine("g2", [16, 32])];
  const fleet = new Fleet(createStructure([], engines, ["b1"]), { seed: 1 });
  await fleet.start();
  const [first, second] = await Promise.all([
    DaemonProcess.start(fleet, "e1", "a"),
    DaemonProcess.start(fleet, "e2", "b"),
  ]);
  t.teardown(async () => {
    await Promise.all([first.end(), second.end()]);
    await fleet.close();
  });
  await waitForEngines(first);
  await waitForEngines(second);
  return { fleet, first, second, key: fleet.accountKeys.get("crews") ?? "" };
}

/** Waits until a daemon answers a model request, and so knows the engines. */
async function waitForEngines(daemon: DaemonProcess): Promise<void> {
  const probe = async (): Promise<number> =>
    (await got.get(`http://${daemon.address}/readyz`, { throwHttpErrors: false })).statusCode;
  while ((await probe()) !== 200) await utils.sleep(20);
}

function ask(
  { key }: World,
  daemon: DaemonProcess,
  name: string,
  outputTokens: number,
): Promise<CallerReport> {
  const prompt = createPrompt(name, 16);
  return sendModelRequest({ address: daemon.address, key, model, layerCount, prompt, outputTokens });
}

/** Asks until the daemon, which may not know the engines yet, no longer refuses. */
async function askUntilAnswered(world: World, daemon: DaemonProcess): Promise<CallerReport> {
  for (let attempt = 0; ; attempt++) {
    const report = await ask(world, daemon, `warm${daemon.name}${attempt}`, 2);
    if (report.outcome === "answered" || attempt > 200) return report;
    await utils.sleep(50);
  }
}

function bill({ key }: World, daemon: DaemonProcess, idempotencyKey: string): Promise<CallerReport> {
  return sendServiceCall({ address: daemon.address, key, service: "billing", idempotencyKey, body: {} });
}

test.serial(
  "one daemon killed in the middle of an answer; the other one's callers notice nothing",
  async (t) => {
    const world = await startWorld(t);
    t.is((await askUntilAnswered(world, world.first)).outcome, "answered");
    t.is((await askUntilAnswered(world, world.second)).outcome, "answered");
    const [cut, whole] = [ask(world, world.first, "cut", 300), ask(world, world.second, "whole", 300)];
    t.true(
      await utils.waitUntil(() => world.fleet.requireEngine("g1").simulator.activeStreams === 2, waitMs),
    );
    world.first.signal("SIGKILL");
    t.is((await cut).outcome, "cut");
    t.is((await whole).outcome, "answered");
  },
);

test.serial(
  "a holder paused after its call went out: no second run, and its answer once it wakes",
  async (t) => {
    const world = await startWorld(t);
    const service = world.fleet.services.get("b1");
    const idempotencyKey = utils.newId();
    service?.hang();
    const first = bill(world, world.first, idempotencyKey);
    t.true(await utils.waitUntil(() => world.fleet.log.getRecords("claims").length === 1, waitMs));
    world.first.signal("SIGSTOP");
    t.is((await bill(world, world.second, idempotencyKey)).outcome, "unknown");
    service?.resume();
    world.first.signal("SIGCONT");
    t.is((await first).outcome, "answered");
    // The peers find each other again; from then on the second one can ask the first for its answer.
    let later = await bill(world, world.second, idempotencyKey);
    for (let attempt = 0; attempt < 200 && later.outcome === "unknown"; attempt++) {
      await utils.sleep(50);
      later = await bill(world, world.second, idempotencyKey);
    }
    t.is(later.outcome, "answered");
    t.is(world.fleet.runs.byKey.get(idempotencyKey), 1);
  },
);

test.serial(
  "a holder paused between its claim and its call: it alone may run it, also when it wakes late",
  async (t) => {
    const world = await startWorld(t);
    const idempotencyKey = utils.newId();
    world.fleet.log.appendMs = 400;
    const first = bill(world, world.first, idempotencyKey);
    // The append is under way; its record comes while the holder stands still.
    await utils.sleep(150);
    world.first.signal("SIGSTOP");
    t.true(await utils.waitUntil(() => world.fleet.log.getRecords("claims").length === 1, waitMs));
    t.is((await bill(world, world.second, idempotencyKey)).outcome, "unknown");
    world.first.signal("SIGCONT");
    t.is((await first).outcome, "answered");
    t.is(world.fleet.runs.byKey.get(idempotencyKey), 1);
  },
);

test.serial("SIGTERM: no new work, what is under way completes, exit 0", async (t) => {
  const world = await startWorld(t);
  await askUntilAnswered(world, world.first);
  const running = ask(world, world.first, "running", 200);
  t.true(await utils.waitUntil(() => world.fleet.requireEngine("g1").simulator.activeStreams === 1, waitMs));
  world.first.signal("SIGTERM");
  t.true(await utils.waitUntil(() => world.first.output.includes("Draining"), waitMs));
  const late = await ask(world, world.first, "late", 2);
  t.is(late.outcome, "refused-not-run");
  const ready = await got.get(`http://${world.first.address}/readyz`, {
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
  t.is(ready.statusCode, 503);
  t.is((await running).outcome, "answered");
  t.is(await world.first.ended, 0);
});

test.serial("a second signal hurries the drain, and says what it cut", async (t) => {
  const world = await startWorld(t);
  await askUntilAnswered(world, world.first);
  const running = ask(world, world.first, "running", 5_000);
  t.true(await utils.waitUntil(() => world.fleet.requireEngine("g1").simulator.activeStreams === 1, waitMs));
  world.first.signal("SIGTERM");
  t.true(await utils.waitUntil(() => world.first.output.includes("Draining"), waitMs));
  world.first.signal("SIGTERM");
  t.is((await running).outcome, "unknown");
  t.is(await world.first.ended, 1);
  t.regex(world.first.output, /Cut the request .* short/);
});
