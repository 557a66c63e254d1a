/** Moves of streams at the first sign of a lost engine. */
import test from "ava";
import { EarlyMoveFixture, usualPauseMs } from "./EarlyMoveFixture.js";

test("pattern joined-engine-crash: four engines are lost at once, and all their streams continue without waiting for silence", async (t) => {
  const fixture = new EarlyMoveFixture();
  const streams = ["r1", "r2", "r3"].map((id) => fixture.start(id));
  const other = fixture.start("r4", "b");
  for (const id of ["a1", "a2", "a4", "c4"]) fixture.endpoints.suspect(id, "lost");
  // All orders have been answered once the pending tasks of this turn have run.
  await new Promise((resolve) => setImmediate(resolve));
  for (const stream of streams) {
    const engines = fixture.getEngines(stream);
    t.is(engines[0], "a0");
    t.is(engines[3], "a3", "engines that remain keep their layers, since they have read the tokens");
    t.is(engines[4], "b4", "no detour passes a lost engine");
    t.false(engines.some((id) => ["a1", "a2", "a4", "c4"].includes(id)));
    t.is(stream.progress.moves > 0, true);
  }
  t.is(other.progress.moves, 0);
});

// Guards against engines that get work for a caller that has left, since its stream is moved while that is in doubt.
test("a stream whose caller may have left is not moved until it is known to be there", async (t) => {
  const fixture = new EarlyMoveFixture();
  const stream = fixture.start("r1");
  fixture.presence.isCallerInDoubt = true;
  fixture.endpoints.suspect("a2", "lost");
  await new Promise((resolve) => setImmediate(resolve));
  t.is(fixture.getEngines(stream)[2], "a2");
  fixture.presence.isCallerInDoubt = false;
  fixture.pass(usualPauseMs * 10);
  await fixture.monitor.check();
  t.not(fixture.getEngines(stream)[2], "a2");
});

test("a stream may have a successor at once when its first engine is lost, and a stream that may run only once is left alone", (t) => {
  const fixture = new EarlyMoveFixture();
  const resumable = fixture.start("r1");
  const other = fixture.start("r2", "a", false);
  fixture.endpoints.suspect("a0", "lost");
  t.is(resumable.doubt, "engine-suspected");
  t.is(other.doubt, undefined);
  t.false([resumable, other].some(({ abort }) => abort.signal.aborted));
});

test("when an engine did not answer, only the streams that are silent for longer than usual are moved", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  const silent = fixture.start("r1");
  const running = fixture.start("r2");
  fixture.pass(usualPauseMs * 3, [running]);
  fixture.endpoints.suspect("a2", "unanswered");
  await new Promise((resolve) => setImmediate(resolve));
  t.not(fixture.getEngines(silent)[2], "a2");
  t.is(fixture.getEngines(running)[2], "a2");
  fixture.pass(usualPauseMs * 3);
  await fixture.monitor.check();
  t.not(fixture.getEngines(running)[2], "a2", "it has been silent since");
});

test("a first engine that did not answer costs its streams a second attempt only after a longer silence", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  const stream = fixture.start("r1");
  fixture.pass(usualPauseMs * 3);
  fixture.endpoints.suspect("a0", "unanswered");
  t.is(stream.doubt, undefined);
  fixture.pass(usualPauseMs * 3);
  await fixture.monitor.check();
  t.is(stream.doubt, "engine-suspected");
  t.false(stream.abort.signal.aborted);
});

test("a silence that is unusual leads to questions, and a refused connection moves all streams of the engine, at once at all instances", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.orders.refusing.add("a3");
  const silent = fixture.start("r1");
  fixture.pass(usualPauseMs / 2);
  const later = fixture.start("r2");
  fixture.pass(usualPauseMs * 1.5 + 1);
  await fixture.askAll();
  t.true(fixture.broadcasts.includes("a3 lost"));
  for (const stream of [silent, later]) {
    t.not(fixture.getEngines(stream)[3], "a3");
    t.is(fixture.getEngines(stream).filter((id) => id.startsWith("a")).length, 5);
  }
});

test("an engine that answers is not moved off, and is not asked again in the same silence", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.start("r1");
  fixture.pass(usualPauseMs * 2 + 1);
  for (let looks = 0; looks < 10; looks++) {
    await fixture.monitor.check();
    fixture.pass(15);
  }
  t.deepEqual([...fixture.orders.asked].sort(), ["a0", "a1", "a2", "a3", "a4", "a5"]);
  t.deepEqual(fixture.orders.chains, []);
  t.deepEqual(fixture.broadcasts, []);
});

test("an engine that answers the second question is not moved off", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.orders.silent.add("a3");
  fixture.orders.onAsked = (id) => {
    if (fixture.orders.asked.filter((other) => other === id).length > 1) fixture.orders.silent.delete(id);
  };
  fixture.start("r1");
  fixture.pass(usualPauseMs * 2 + 1);
  await fixture.askAll();
  t.true(fixture.orders.asked.filter((id) => id === "a3").length > 1);
  t.deepEqual(fixture.broadcasts, []);
  t.deepEqual(fixture.orders.chains, []);
});

test("the word of another engine alone moves nothing", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.start("r1");
  fixture.pass(usualPauseMs * 3);
  fixture.endpoints.suspect("a3", "reported");
  await new Promise((resolve) => setImmediate(resolve));
  t.deepEqual(fixture.orders.chains, []);
});

test("engines that another stream has passed since are not asked", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.start("r1");
  const running = fixture.start("r2");
  fixture.pass(usualPauseMs * 2 + 1, [running]);
  await fixture.monitor.check();
  t.deepEqual(fixture.orders.asked, []);
});

test("an instance that hears nothing from a zone suspects none of its engines", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  for (let index = 0; index < 6; index++) fixture.orders.silent.add(`a${index}`);
  fixture.start("r1");
  fixture.pass(usualPauseMs * 2 + 1);
  await fixture.monitor.check();
  t.is(fixture.orders.asked.length, 2);
  t.deepEqual(fixture.broadcasts, []);
  t.deepEqual(fixture.orders.chains, []);
});

test("an instance that most engines don't answer blames itself", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  const running = fixture.start("r1", "b");
  for (let index = 0; index < 6; index++) fixture.orders.silent.add(`a${index}`);
  fixture.orders.onAsked = () => fixture.pass(1, [running]);
  fixture.start("r2");
  fixture.pass(usualPauseMs * 2 + 1, [running]);
  await fixture.monitor.check();
  t.is(fixture.orders.asked.length, 2);
  t.deepEqual(fixture.broadcasts, []);
});

test("an engine that stays silent while others of its zone answer is suspected, and its silent streams are moved", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.orders.silent.add("a3");
  const stream = fixture.start("r1");
  fixture.pass(usualPauseMs * 2 + 1);
  await fixture.askAll();
  t.deepEqual(fixture.broadcasts, ["a3 unanswered"]);
  t.is(fixture.orders.asked.filter((id) => id === "a3").length, 2, "a second question decides");
  t.not(fixture.getEngines(stream)[3], "a3");
});

test("if the engine of a detour refuses, the next one is tried at once, and without any the stream stays", async (t) => {
  const fixture = new EarlyMoveFixture();
  const stream = fixture.start("r1");
  fixture.orders.full.add("b3");
  fixture.orders.full.add("c3");
  fixture.endpoints.suspect("a3", "lost");
  await new Promise((resolve) => setImmediate(resolve));
  t.is(fixture.orders.chains.length, 2);
  t.is(fixture.getEngines(stream)[3], "a3");
  fixture.orders.full.delete("c3");
  fixture.pass(700);
  await fixture.monitor.check();
  t.is(fixture.getEngines(stream)[3], "c3");
});

test("if an engine that was to keep its layers refuses, it is replaced as well", async (t) => {
  const fixture = new EarlyMoveFixture();
  const stream = fixture.start("r1");
  fixture.orders.full.add("a4");
  fixture.endpoints.suspect("a3", "lost");
  await new Promise((resolve) => setImmediate(resolve));
  t.is(fixture.orders.chains.length, 2);
  t.not(fixture.getEngines(stream)[4], "a4");
  t.true(fixture.orders.asked.includes("a4"), "it has probably been lost as well");
  t.is(fixture.getEngines(stream)[5], "a5");
});

test("a stream before its first event or after a move asks about no engine, since its tokens may wait to be read", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.start("r1").firstEventMs = undefined;
  fixture.start("r2").awaitsRead = true;
  fixture.pass(500);
  await fixture.monitor.check();
  t.deepEqual(fixture.orders.asked, ["a0"], "only the first engine, for its report");
});

test("a route without a target pause causes no questions, and its streams are moved off unanswered engines as late as before", async (t) => {
  const fixture = new EarlyMoveFixture({ targetPauseMs: 0 });
  fixture.measurePauses();
  const stream = fixture.start("r1");
  fixture.endpoints.suspect("a3", "unanswered");
  fixture.pass(299);
  await fixture.monitor.check();
  t.deepEqual(fixture.orders.asked, []);
  t.is(stream.progress.moves, 0);
  fixture.pass(1);
  await fixture.monitor.check();
  t.is(stream.progress.moves, 1);
});

test("an engine that did not answer, but through which a stream has had an event since, is not suspected", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  const streams = ["r1", "r2"].map((id) => fixture.start(id));
  fixture.orders.silent.add("a3");
  fixture.pass(usualPauseMs * 2 + 1);
  fixture.orders.onAsked = () => fixture.pass(1, streams);
  await fixture.askAll();
  t.deepEqual(fixture.broadcasts, []);
});

test("a suspension of this process neither asks nor moves", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.start("r1");
  fixture.pass(6_000);
  fixture.monitor.noteSuspension(6_000);
  await fixture.monitor.check();
  t.deepEqual(fixture.orders.asked, []);
  t.deepEqual(fixture.orders.chains, []);
});

test("a question that this process was too busy to time shows nothing", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.orders.silent.add("a3");
  fixture.orders.onAsked = () => fixture.pass(500);
  fixture.start("r1");
  fixture.pass(usualPauseMs * 2 + 1);
  await fixture.monitor.check();
  t.deepEqual(fixture.broadcasts, []);
});

test("the loss of one engine of forty streams costs one order for each of its streams, and few questions", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  fixture.orders.refusing.add("a3");
  const lost = Array.from({ length: 20 }, (_, index) => fixture.start(`r${index}`, "a"));
  const running = Array.from({ length: 20 }, (_, index) => fixture.start(`s${index}`, "b"));
  for (let looks = 0; looks < 10; looks++) {
    fixture.pass(usualPauseMs, [...running, ...lost.filter((stream) => stream.progress.moves > 0)]);
    await fixture.monitor.check();
  }
  t.is(fixture.orders.chains.length, 20);
  t.true(fixture.orders.asked.length <= 6, `${fixture.orders.asked.length} questions`);
  t.false(fixture.orders.asked.some((id) => id.startsWith("b")));
});

test("streams that get their events in time cause no questions", async (t) => {
  const fixture = new EarlyMoveFixture();
  fixture.measurePauses();
  const running = ["r1", "r2"].map((id) => fixture.start(id));
  for (let looks = 0; looks < 20; looks++) {
    fixture.pass(usualPauseMs, running);
    await fixture.monitor.check();
  }
  t.deepEqual(fixture.orders.asked, []);
});

test("switched off, a stream is moved only once its first engine has named the engine at fault", async (t) => {
  const fixture = new EarlyMoveFixture({ isOn: false });
  const stream = fixture.start("r1");
  fixture.endpoints.suspect("a3", "lost");
  fixture.pass(usualPauseMs * 3);
  await fixture.monitor.check();
  t.deepEqual(fixture.orders.chains, []);
  t.deepEqual(fixture.orders.asked, []);
  fixture.orders.reports.set("a0", { stalled: [{ requestId: "r1", address: "a3:1" }] });
  fixture.pass(200);
  await fixture.monitor.check();
  t.is(stream.progress.moves, 1);
});

test("operators see how many streams were moved and why, as long as it lasts", (t) => {
  const fixture = new EarlyMoveFixture();
  t.deepEqual(fixture.earlyMoves.getPressure(), []);
  fixture.start("r1");
  fixture.endpoints.suspect("a0", "lost");
  const [entry] = fixture.earlyMoves.getPressure();
  t.like(entry, { decision: "earlyMoves", service: "engines", subject: "lost", value: 1, ageMs: 0 });
  fixture.pass(10_001);
  t.deepEqual(fixture.earlyMoves.getPressure(), []);
});
