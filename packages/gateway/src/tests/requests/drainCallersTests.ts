/** The end of a planned stop, while requests arrive, over real sockets. */
import test, { type ExecutionContext } from "ava";
import { utils } from "@shedtiller/common";
import { drainCallers, type DrainDeadline } from "../../requests/drainCallers.js";
import { generousMs, setUp } from "./endpointHandlers.js";
import { createRoute } from "../testData.js";
import { GatewayFixture } from "./GatewayFixture.js";
import { HeldEndpoint } from "./HeldEndpoint.js";
import { formatRequest, RawCaller } from "./RawCaller.js";

const pauseMs = 1;

/** A deadline whose pauses are short, and which a test lets pass. */
class FakeDeadline implements DrainDeadline {
  isReached = false;
  readonly endsAtMs = utils.monotonicMs() + 2 * generousMs;
  /** Number of pauses that have begun. */
  pauses = 0;
  /** Called in each pause, once its timer has been set. */
  onPause: () => void = () => undefined;

  async pause(): Promise<void> {
    const slept = utils.sleep(pauseMs);
    this.pauses += 1;
    this.onPause();
    await slept;
  }
}

class Stop {
  readonly deadline = new FakeDeadline();

  constructor(
    readonly fixture: GatewayFixture,
    readonly endpoint: HeldEndpoint,
  ) {}

  /** Stops the gateway as an instance does. */
  async run(): Promise<void> {
    this.fixture.listener.drain();
    await drainCallers({
      listener: this.fixture.listener,
      deadline: this.deadline,
      hasOtherWork: () => false,
    });
    await this.fixture.listener.refuseInFlight();
    this.fixture.listener.close();
  }
}

async function setUpStop(t: ExecutionContext): Promise<Stop> {
  const fixture = await setUp(t, { kind: "unsafe" });
  const endpoint = new HeldEndpoint();
  await fixture.list([endpoint.handler], {});
  return new Stop(fixture, endpoint);
}

function connect(t: ExecutionContext, { fixture }: Stop): RawCaller {
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  return caller;
}

/** Sends a request and receives its answer, so that the connection is idle. */
async function rest(stop: Stop, caller: RawCaller, id: string): Promise<void> {
  await caller.send(formatRequest(id, "/a/x"));
  await stop.endpoint.waitFor(id);
  stop.endpoint.release(id);
  await caller.waitForAnswers(1);
  await utils.waitUntil(() => stop.fixture.listener.inFlight === 0, generousMs);
}

// Guards against the close of an idle connection whose next request has arrived but has not been read.
test("a request that has arrived unread at an idle connection is answered during a planned stop", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  await rest(stop, caller, "r1");
  // The kernel gets the bytes within this call.
  caller.socket.write(formatRequest("r2", "/a/x"));
  const closed = stop.fixture.listener.closeIdle();
  await stop.endpoint.waitFor("r2");
  stop.endpoint.release("r2");
  await caller.waitForAnswers(2);
  await closed;
  t.deepEqual(caller.statuses, [200, 200]);
});

// Guards against a stop that ends as soon as nothing is in flight, although a request is half read.
test("a request that is half read when nothing is in flight is answered during a planned stop", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  await rest(stop, caller, "r1");
  const request = formatRequest("r2", "/a/x");
  await caller.send(request.slice(0, -2));
  // The gateway has read the bytes above once a later request has been answered.
  await rest(stop, connect(t, stop), "r3");
  const stopped = stop.run();
  const idle = connect(t, stop);
  await rest(stop, idle, "r4");
  await caller.send(request.slice(-2));
  await stop.endpoint.waitFor("r2");
  stop.endpoint.release("r2");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200, 200]);
  await stopped;
});

// Guards against taking the beginning of a request for a part of the request in front of it.
test("a request that is half read while another one is in progress is answered during a planned stop", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  const request = formatRequest("r2", "/a/x");
  await caller.send(formatRequest("r1", "/a/x"));
  await stop.endpoint.waitFor("r1");
  await caller.send(request.slice(0, -2));
  // The gateway has read the bytes above once a later request has been answered.
  const other = connect(t, stop);
  await other.send(formatRequest("r3", "/a/x"));
  await stop.endpoint.waitFor("r3");
  stop.endpoint.release("r3");
  await other.waitForAnswers(1);
  stop.endpoint.release("r1");
  await caller.waitForAnswers(1);
  const stopped = stop.run();
  await stop.fixture.listener.closeIdle();
  await caller.send(request.slice(-2));
  await stop.endpoint.waitFor("r2");
  stop.endpoint.release("r2");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200, 200]);
  await stopped;
});

// Guards against a stop that closes the listening socket while connections with requests wait to be accepted.
test("a request on a connection that has not been accepted is answered during a planned stop", async (t) => {
  const stop = await setUpStop(t);
  const callers = Array.from({ length: 20 }, () => connect(t, stop));
  for (const [index, caller] of callers.entries()) void caller.send(formatRequest(`r${index}`, "/a/x"));
  const stopped = stop.run();
  for (const index of callers.keys()) {
    await stop.endpoint.waitFor(`r${index}`);
    stop.endpoint.release(`r${index}`);
  }
  await Promise.all(callers.map((caller) => caller.waitForEnd()));
  t.deepEqual(
    callers.map(({ statuses }) => statuses),
    callers.map(() => [200]),
  );
  await stopped;
});

// Guards against the close without a status of connections whose requests are not completed before the stop.
test("a request whose rest does not arrive during a planned stop: 503", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  await caller.send(formatRequest("r1", "/a/x").slice(0, -2));
  await rest(stop, connect(t, stop), "r2");
  const stopped = stop.run();
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [503]);
  await stopped;
});

// Guards against the close without a status of connections whose requests still run at the end of the grace time.
test("a request that runs at the end of the grace time: 502", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  await caller.send(formatRequest("r1", "/a/x"));
  await stop.endpoint.waitFor("r1");
  const stopped = stop.run();
  stop.deadline.isReached = true;
  await stopped;
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [502]);
});

/** Holds up the event loop until the timers of all pauses are due. */
function blockEventLoop(): void {
  const endMs = utils.monotonicMs() + 10 * pauseMs;
  while (utils.monotonicMs() < endMs);
}

// Guards against a request that is passed on while the instance ends, and whose connection is then closed without a status.
test.serial("a request that arrives unread in the last pause of a planned stop is answered", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  // The gateway has accepted the connection above once a later one is served.
  await rest(stop, connect(t, stop), "r1");
  stop.deadline.onPause = () => {
    // The first pause is that for the load balancer, the second one that after the end of listening.
    if (stop.deadline.pauses !== 2) return;
    // The kernel gets the bytes within this call.
    caller.socket.write(formatRequest("r2", "/a/x"));
    blockEventLoop();
  };
  const stopped = stop.run();
  await utils.waitUntil(() => stop.endpoint.has("r2") || caller.isClosed, generousMs);
  if (stop.endpoint.has("r2")) stop.endpoint.release("r2");
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200]);
  await stopped;
});

// Guards against a request that is passed on after all requests in flight were refused, and whose connection is then closed without a status.
test.serial(
  "a request that arrives unread at the end of the grace time is refused and not passed on",
  async (t) => {
    const stop = await setUpStop(t);
    const caller = connect(t, stop);
    await rest(stop, connect(t, stop), "r1");
    // The kernel gets the bytes within this call.
    caller.socket.write(formatRequest("r2", "/a/x"));
    await stop.fixture.listener.refuseInFlight();
    stop.fixture.listener.close();
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [503]);
    t.false(stop.endpoint.has("r2"));
  },
);

// Guards against a request that still waits for the configuration at the end of the grace time, and whose connection is closed without a status.
test.serial("a request that has not been admitted at the end of the grace time is refused", async (t) => {
  const fixture = new GatewayFixture();
  t.teardown(() => fixture.close());
  await fixture.listen(createRoute({ targets: [{ service: "engines", weight: 1 }], kind: "unsafe" }));
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  await caller.send(formatRequest("r1", "/a/x"));
  await fixture.waitForRequest();
  fixture.listener.drain();
  await fixture.listener.refuseInFlight();
  fixture.listener.close();
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [503]);
});

// Guards against kept connections that stay open until the process exits, and take requests that nothing answers.
test("kept connections are closed with the last refusals", async (t) => {
  const stop = await setUpStop(t);
  const caller = connect(t, stop);
  await rest(stop, caller, "r1");
  stop.fixture.listener.drain();
  await stop.fixture.listener.refuseInFlight();
  // Were the connection still open, this request would be read.
  caller.socket.write(formatRequest("r2", "/a/x"));
  await caller.waitForEnd();
  t.deepEqual(caller.statuses, [200]);
});

/** More turns of the event loop than the last refusals of an instance without requests take. */
const laterTurns = 20;

// Guards against the first request of a connection that was accepted last, and is closed before it is read.
test.serial(
  "the first request of a new connection that arrives during the last refusals is refused",
  async (t) => {
    const stop = await setUpStop(t);
    const { listener } = stop.fixture;
    await rest(stop, connect(t, stop), "r1");
    listener.takeConnectionCounts();
    const caller = connect(t, stop);
    await utils.waitUntil(() => listener.takeConnectionCounts().accepted > 0, generousMs);
    listener.drain();
    const closed = listener.refuseInFlight().then(() => listener.close());
    for (let turn = 0; turn < laterTurns; turn++) await utils.yieldToEvents();
    caller.socket.write(formatRequest("r2", "/a/x"));
    await caller.waitForEnd();
    t.deepEqual(caller.statuses, [503]);
    await closed;
  },
);
