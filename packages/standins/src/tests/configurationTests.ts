/** Tests of plans, concurrent confirmations, partitioned zones, new instances, rollouts and orders, over real sockets. */
import { utils } from "@shedtiller/common";
import { configurationRecordSchema, configurationStream } from "@shedtiller/intent";
import test, { type ExecutionContext } from "ava";
import { createPrompt, sendModelRequest, type CallerReport } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import type { FleetOptions, FleetStructure } from "../fleet/FleetStructure.js";
import { OperatorClient } from "./OperatorClient.js";
import { createEngine, createStructure, layerCount, model } from "./structures.js";

const waitMs = 30_000;
/** Events of an instance that the message of a failure contains. */
const eventsPerInstance = 40;

async function startFleet(
  t: ExecutionContext,
  structure: FleetStructure,
  options: FleetOptions = {},
): Promise<Fleet> {
  const fleet = new Fleet(structure, { hasRelays: true, seed: 1, ...options });
  await fleet.start();
  t.teardown(() => fleet.close());
  return fleet;
}

function createClass(name: string, rank: number): object {
  return { kind: "class", name, rank, floorShare: 0 };
}

/** Describes a request that was not answered, with what every instance recorded about it and about engines and orders. */
function describeUnanswered(fleet: Fleet, { outcome, status, requestId, detail }: CallerReport): string {
  const events = [...fleet.instances.values()].flatMap((instance) =>
    instance.timeline
      .getEvents()
      .filter((event) => event.requestId === requestId || event.requestId === undefined)
      .slice(-eventsPerInstance),
  );
  const lines = events.map((event) => JSON.stringify(event));
  return [`${outcome}, status ${status}, request ${requestId}: ${detail}`, ...lines].join("\n");
}

function getOffset(fleet: Fleet, name: string): number {
  return fleet.requireInstance(name).configuration.offset;
}

test("nothing changes before a plan is confirmed; then it is in force on every instance", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2@b", "e3@c"], []));
  const operator = new OperatorClient(fleet, "e1");
  const before = getOffset(fleet, "e2");
  const plan = await operator.plan({ operator: "anna", objects: [createClass("night", 4)] });
  t.is(fleet.requireInstance("e1").configuration.getObject("class", "night"), undefined);
  // Behind a load balancer, the confirmation may reach another instance than the plan.
  const confirmed = await new OperatorClient(fleet, "e3").confirm(plan.planId);
  t.is(confirmed.status, 200);
  t.true(confirmed.isInForce);
  t.deepEqual(confirmed.missing, []);
  for (const instance of fleet.instances.values())
    t.is(instance.configuration.getObject("class", "night")?.rank, 4);
  // Each zone may write a snapshot meanwhile, which changes nothing. Exactly one other record is expected.
  const written = fleet.log.getRecords(configurationStream).filter((record) => record.offset > before);
  const isChange = (record: { readonly payload: unknown }): boolean =>
    configurationRecordSchema.parse(record.payload).type !== "snapshot";
  const changes = written.filter(isChange);
  t.is(changes.length, 1);
  t.true(getOffset(fleet, "e2") >= (changes[0]?.offset ?? Number.POSITIVE_INFINITY));
});

// Guards against a fixed timeout of one second for the answers of peers. Under load, a peer that had not answered in time was treated as a
// peer without the plan: a confirmation then got 404 although an instance had the plan, and instances were reported as missing although
// the plan was in force there a moment later.
test("the lookup of a plan and the check of where it is in force wait for an instance that answers slowly", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2"], []));
  const plan = await new OperatorClient(fleet, "e1").plan({
    operator: "anna",
    objects: [createClass("night", 4)],
  });
  const slow = fleet.requireInstance("e1").membership;
  const slowMs = 2_000;
  let requestCount = 0;
  for (const topic of ["plan", "status"]) {
    const answer = slow.getRequestHandler(topic);
    slow.onRequest(topic, async (body, from) => {
      requestCount += 1;
      await utils.sleep(slowMs);
      return answer?.(body, from);
    });
  }
  const confirmed = await new OperatorClient(fleet, "e2").confirm(plan.planId);
  t.true(requestCount > 1);
  t.is(confirmed.status, 200);
  t.true(confirmed.isInForce);
  t.deepEqual(confirmed.missing, []);
});

test("of two concurrent confirmations for one object the first in the log wins, the other is rejected and names the winner; disjoint plans pass", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2@b"], []));
  const [one, two] = [new OperatorClient(fleet, "e1"), new OperatorClient(fleet, "e2")];
  const plans = await Promise.all([
    one.plan({ operator: "anna", objects: [createClass("night", 4)] }),
    two.plan({ operator: "bo", objects: [createClass("night", 5)] }),
    two.plan({ operator: "bo", objects: [createClass("day", 2)] }),
  ]);
  const [first, second, disjoint] = plans.map((plan) => plan.planId) as [string, string, string];
  const answers = await Promise.all([one.confirm(first), two.confirm(second), two.confirm(disjoint)]);
  t.is(answers[2].status, 200);
  t.deepEqual(
    answers
      .slice(0, 2)
      .map((answer) => answer.status)
      .sort(),
    [200, 409],
  );
  const rejected = answers.find((answer) => answer.status === 409)?.outcome;
  const winner = answers[0].status === 200 ? "anna" : "bo";
  t.is(rejected?.overtakenKey, "class/night");
  t.is(rejected?.overtakenByOperator, winner);
  t.is(
    fleet.requireInstance("e2").configuration.getObject("class", "night")?.rank,
    winner === "anna" ? 4 : 5,
  );
});

test("a confirmation whose append reply is lost resolves to its real outcome and is applied once", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2@b"], []));
  const operator = new OperatorClient(fleet, "e1");
  const plan = await operator.plan({ operator: "anna", objects: [createClass("night", 4)] });
  fleet.log.loseNextReply();
  t.is((await operator.confirm(plan.planId)).status, 200);
  const stored = fleet.requireInstance("e2").configuration.getStoredObjects().get("class/night");
  t.is(stored?.setByPlan, plan.planId);
  t.is(
    fleet
      .requireInstance("e2")
      .configuration.state.outcomes.filter((outcome) => outcome.planId === plan.planId).length,
    1,
  );
});

test("with the log down nothing is confirmed, and the operator is told so", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1"], []));
  const operator = new OperatorClient(fleet, "e1");
  const plan = await operator.plan({ operator: "anna", objects: [createClass("night", 4)] });
  fleet.log.isDown = true;
  const answer = await operator.confirm(plan.planId);
  t.is(answer.status, 503);
  t.is(answer.error?.code, "not_confirmed");
  t.is(answer.error?.ran, "no");
  fleet.log.isDown = false;
  t.is((await operator.confirm(plan.planId)).status, 200);
});

test("an instance that starts while the log is down receives the newest configuration from its peers before it becomes ready", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2"], []));
  const operator = new OperatorClient(fleet, "e1");
  const plan = await operator.plan({ operator: "anna", objects: [createClass("night", 4)] });
  await operator.confirm(plan.planId);
  fleet.log.isDown = true;
  const fresh = await fleet.addInstance("e9", "a");
  t.false(fresh.isReady);
  await fresh.waitUntilReady();
  t.is(fresh.configuration.getObject("class", "night")?.rank, 4);
  t.is(fresh.configuration.offset, getOffset(fleet, "e1"));
});

test("an instance cut off from the log receives the configuration from its peers, and a cut-off zone reports since when it is cut off", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1", "e2@b"], []));
  const operator = new OperatorClient(fleet, "e1");
  fleet.network.cutZone("b");
  // A record that was delivered before the cut may still be unread in the socket of e2. No later record may arrive.
  const written = fleet.log.getRecords(configurationStream).at(-1)?.offset ?? -1;
  const plan = await operator.plan({ operator: "anna", objects: [createClass("night", 4)] });
  const confirmed = await operator.confirm(plan.planId);
  t.deepEqual(confirmed.missing, ["e2"]);
  t.true(getOffset(fleet, "e2") <= written);
  t.is(fleet.requireInstance("e2").configuration.getObject("class", "night"), undefined);
  t.true(
    await utils.waitUntil(
      () => fleet.requireInstance("e2").membership.getCutOffSinceMs() !== undefined,
      waitMs,
    ),
  );
  const status = await new OperatorClient(fleet, "e2").getStatus();
  t.true((status.instances[0]?.cutOffSinceMs ?? 0) > 0);
  t.deepEqual(
    status.unreached.map((instance) => instance.name),
    ["e1"],
  );
  // The link from e2 to the log stays cut; only the links to its peers are restored.
  fleet.network.cutPair("e2", "platform");
  fleet.network.healZone("b");
  t.true(await utils.waitUntil(() => getOffset(fleet, "e2") > written, waitMs));
  t.is(fleet.requireInstance("e2").configuration.getObject("class", "night")?.rank, 4);
});

test("a rollout of a new version sends orders to every engine under a lease, without interrupting service", async (t) => {
  const engines = ["g1", "g2"]
    .map((name) => createEngine(name, [0, 16]))
    .concat(["g3", "g4"].map((name) => createEngine(name, [16, 32])));
  const fleet = await startFleet(t, createStructure(["e1", "e2"], engines));
  const address = await fleet.getCallerAddress("e2");
  const key = fleet.accountKeys.get("crews") ?? "";
  const operator = new OperatorClient(fleet, "e1");
  const pipeline = { kind: "pipeline", name: model, version: "2", layerCount };
  const plan = await operator.plan({ operator: "anna", objects: [pipeline] });
  t.true(plan.placement.length >= 4);
  t.true((plan.capacity[0]?.afterTokensPerSecond ?? 0) > 0);
  t.is((await operator.confirm(plan.planId)).status, 200);
  const isDone = (): boolean =>
    [...fleet.engines.values()].every(
      (engine) => engine.getReport().version === "2" && engine.getReport().state === "live",
    );
  const unanswered: string[] = [];
  let answeredCount = 0;
  for (let index = 0; !isDone() && index < 5_000; index++) {
    const prompt = createPrompt(`rollout${index}`, 8);
    const sent = await sendModelRequest({ address, key, model, layerCount, prompt, outputTokens: 8 });
    answeredCount += Number(sent.outcome === "answered");
    if (sent.outcome !== "answered") unanswered.push(describeUnanswered(fleet, sent));
  }
  t.true(isDone());
  t.deepEqual(unanswered, []);
  t.true(answeredCount > 0);
  for (const engine of fleet.engines.values()) {
    const tokens = engine.acceptedOrders.map((order) => order.fencingToken);
    t.deepEqual(
      tokens,
      [...tokens].sort((a, b) => a - b),
    );
    t.true(tokens.length > 0);
  }
});

// Guards against a stream that ended "cut" during a rollout under load. The instance that sends the orders had seen a complete chain of the
// new version for a second and reconfigured the last chain of the old version. Another instance had not received the reports of the new
// version yet and started streams on the old chain, which no engine could continue. In this test, that instance receives the reports only
// after many more requests.
test("a rollout reconfigures the last chain of the old version only after every instance has stopped using it", async (t) => {
  const engines = ["g1", "g2"]
    .map((name) => createEngine(name, [0, 16]))
    .concat(["g3", "g4"].map((name) => createEngine(name, [16, 32])));
  const fleet = await startFleet(t, createStructure(["e1", "e2"], engines));
  const { directory } = fleet.requireInstance("e2");
  const setReport = directory.setReport.bind(directory);
  let isDelayed = true;
  directory.setReport = (report, isDirect) => {
    const isNewVersion = report.version === "2" && report.state === "live";
    setReport(isDelayed && isNewVersion ? { ...report, state: "loading" } : report, isDirect);
  };
  const operator = new OperatorClient(fleet, "e1");
  // The delayed instance must not be the one that sends the orders, which would otherwise never see a complete chain of the new version.
  const orderSender = fleet.requireInstance("e1").membership.ownsZoneRole("orders") ? "e1" : "e2";
  t.is(orderSender, "e1");
  const pipeline = { kind: "pipeline", name: model, version: "2", layerCount };
  const plan = await operator.plan({ operator: "anna", objects: [pipeline] });
  t.is((await operator.confirm(plan.planId)).status, 200);
  const countUpdatedEngines = (): number =>
    [...fleet.engines.values()].filter((engine) => engine.getReport().version === "2").length;
  const unanswered: string[] = [];
  let answeredCount = 0;
  const send = async (prefix: string, index: number): Promise<void> => {
    const address = await fleet.getCallerAddress("e2");
    const key = fleet.accountKeys.get("crews") ?? "";
    const prompt = createPrompt(`${prefix}${index}`, 8);
    const sent = await sendModelRequest({ address, key, model, layerCount, prompt, outputTokens: 8 });
    answeredCount += Number(sent.outcome === "answered");
    if (sent.outcome !== "answered") unanswered.push(describeUnanswered(fleet, sent));
  };
  t.true(await utils.waitUntil(() => countUpdatedEngines() >= 2, waitMs));
  const requestsWhileDelayed = 150;
  for (let index = 0; index < requestsWhileDelayed; index++) await send("before", index);
  t.deepEqual(unanswered, []);
  t.is(answeredCount, requestsWhileDelayed);
  t.is(countUpdatedEngines(), 2);
  isDelayed = false;
  for (let index = 0; countUpdatedEngines() < engines.length && index < 5_000; index++)
    await send("after", index);
  t.is(countUpdatedEngines(), engines.length);
  t.deepEqual(unanswered, []);
});

test("a plan that reduces capacity warns of the reduction and of zones that can't serve the model by themselves", async (t) => {
  const zones = ["a", "b"].map((availabilityZone) =>
    createEngine(`g${availabilityZone}`, [0, 32], { availabilityZone }),
  );
  const fleet = await startFleet(t, createStructure(["e1", "e2@b"], zones));
  const pipeline = { kind: "pipeline", name: model, version: "2", layerCount, tokensPerSecond: 10 };
  const plan = await new OperatorClient(fleet, "e1").plan({ operator: "anna", objects: [pipeline] });
  t.regex(plan.warnings.join(" "), /capacity of assistant falls from/);
  t.regex(plan.warnings.join(" "), /availability zone (a|b) can't serve assistant by itself/);
  t.is(plan.placement.filter((line) => line.after.startsWith("not needed")).length, 1);
});

test("an engine that checks orders rejects an older fencing token and an expired order", async (t) => {
  const fleet = await startFleet(t, createStructure(["e1"], [createEngine("g1", [0, 32])]));
  const { sendOrder } = await import("@shedtiller/lease");
  const engine = fleet.requireEngine("g1");
  const order = {
    expiresAtMs: utils.wallMs() + 60_000,
    model,
    version: "1",
    layers: [0, 32] as [number, number],
  };
  t.true((await sendOrder("g1", engine.address, { ...order, fencingToken: 7 })).ok);
  const stale = await sendOrder("g1", engine.address, { ...order, fencingToken: 6, version: "0" });
  t.true(stale.err && stale.val.code === "order_stale");
  const expired = await sendOrder("g1", engine.address, {
    ...order,
    fencingToken: 8,
    expiresAtMs: utils.wallMs() - 1,
    version: "0",
  });
  t.true(expired.err && expired.val.code === "order_stale");
  t.is(engine.getReport().version, "1");
});

test("the time line of a request with a lost stage shows the loss, the rebuilding and the answer; metrics count it", async (t) => {
  const engines = [createEngine("g1", [0, 16]), createEngine("g2", [16, 32]), createEngine("g3", [16, 32])];
  const fleet = await startFleet(t, createStructure(["e1", "e2@b"], engines), { hasRelays: false });
  const address = await fleet.getCallerAddress("e1");
  const key = fleet.accountKeys.get("crews") ?? "";
  const answer = sendModelRequest({
    address,
    key,
    model,
    layerCount,
    prompt: createPrompt("seen", 8),
    outputTokens: 200,
  });
  const hasStreams = (name: string): boolean => fleet.requireEngine(name).simulator.activeStreams > 0;
  t.true(await utils.waitUntil(() => hasStreams("g2") || hasStreams("g3"), waitMs));
  await fleet.requireEngine(hasStreams("g2") ? "g2" : "g3").kill();
  const report = await answer;
  t.is(report.outcome, "answered");
  // The timeline is requested from another instance, which collects it from its peers.
  const { events, gaps } = await new OperatorClient(fleet, "e2").getTimeline(report.requestId ?? "");
  t.deepEqual(gaps, []);
  const kinds = events.map((event) => event.kind).filter((kind) => kind !== "step");
  t.deepEqual(kinds, ["admitted", "chosen", "stage-lost", "rebuilt", "answered"]);
  const metrics = await new OperatorClient(fleet, "e1").getMetrics();
  t.regex(metrics, /shedtiller_stages_lost 1/);
  t.regex(metrics, /shedtiller_requests_total\{kind="model",outcome="answered"\} 1/);
});
