/** Versions in use according to the requests in flight at this instance and the reports of the others. */
import { EndpointDirectory, type EngineReport } from "@shedtiller/routing";
import test from "ava";
import { VersionsInUse } from "../../feeds/VersionsInUse.js";
import { createPipeline } from "../createPipeline.js";

const pipeline = createPipeline();

/** Creates a directory with one engine per version, which has loaded all layers. */
function createDirectory(versions: readonly string[]): EndpointDirectory {
  const directory = new EndpointDirectory();
  const engines = versions.map((version) => ({ name: `g${version}`, version }));
  directory.setListed(
    engines.map(({ name }) => ({
      name,
      role: "engine",
      state: "live",
      availabilityZone: "a",
      address: `127.0.0.1:1`,
    })),
  );
  for (const { name, version } of engines) directory.setReport(createReport(name, version), true);
  return directory;
}

function createReport(name: string, version: string): EngineReport {
  return {
    name,
    accelerator: "medium",
    memoryLayers: 8,
    model: pipeline.name,
    version,
    layers: [0, 8],
    stepMs: 1,
    prefillMsPerToken: 0.1,
    slots: 4,
    activeStreams: 0,
    checksOrders: true,
    fencingToken: 0,
    state: "live",
  };
}

const noDeadline = { deadlineMs: Number.POSITIVE_INFINITY, signal: new AbortController().signal };

function createUses(versions: readonly string[]): VersionsInUse {
  return new VersionsInUse(createDirectory(versions), () => [pipeline]);
}

test("a version is in use until each other instance has reported that it is not", (t) => {
  const uses = createUses(["1", "2"]);
  t.true(uses.mayBeUsed(pipeline, "1", ["e2"]));
  uses.setOther("e2", [["assistant", ["1"]]]);
  t.true(uses.mayBeUsed(pipeline, "1", ["e2"]));
  uses.setOther("e2", [["assistant", ["2"]]]);
  t.false(uses.mayBeUsed(pipeline, "1", ["e2"]));
  t.true(uses.mayBeUsed(pipeline, "1", ["e2", "zone:b"]));
});

test("an instance that no longer reports on a pipeline may use any version of it", (t) => {
  const uses = createUses(["1", "2"]);
  uses.setOther("e2", [["assistant", ["2"]]]);
  uses.setOther("e2", []);
  t.true(uses.mayBeUsed(pipeline, "1", ["e2"]));
});

test("a request in flight keeps its version in use until it ends", (t) => {
  const uses = createUses(["1", "2"]);
  const release = uses.addRequest("assistant", "1");
  const releaseOther = uses.addRequest("assistant", "1");
  release();
  t.true(uses.mayBeUsed(pipeline, "1", []));
  t.deepEqual(uses.getOwn(), [["assistant", ["2", "1"]]]);
  releaseOther();
  t.false(uses.mayBeUsed(pipeline, "1", []));
});

// Guards against requests that are refused during a rollout, since an instance without a chain agreed to give up the only one left.
test("an instance that knows no complete chain of another version does not close the one that is left", (t) => {
  const uses = new VersionsInUse(createDirectory([]), () => [pipeline]);
  t.false(uses.hasChain(pipeline));
  t.false(uses.tryClose(pipeline, "1", false));
  t.true(uses.tryClose(pipeline, "1", true), "a gap can't be avoided");
});

// Guards against a closed version that stays closed although no other version has got a chain, so that requests wait in vain.
test("a version is not closed once more while it is the only one with a complete chain", (t) => {
  const directory = createDirectory(["1", "2"]);
  const uses = new VersionsInUse(directory, () => [pipeline]);
  t.true(uses.tryClose(pipeline, "1", false));
  directory.setReport({ ...createReport("g2", "2"), state: "loading" }, true);
  t.false(uses.tryClose(pipeline, "1", false));
});

test("nothing is reported on a pipeline whose engines have loaded a single version", (t) => {
  t.deepEqual(createUses(["2"]).getOwn(), []);
});

test("a zone reports the union of its instances, and nothing while one of them has not reported", (t) => {
  const uses = createUses(["1", "2"]);
  uses.setOther("e2", [["assistant", ["1"]]]);
  t.deepEqual(uses.getZone(["e2"]), [["assistant", ["2", "1"]]]);
  t.is(uses.getZone(["e2", "e3"]), undefined);
  uses.setOther("e3", []);
  t.deepEqual(uses.getZone(["e2", "e3"]), []);
});

test("a closed version is not served even while the new version has no complete chain", async (t) => {
  const directory = createDirectory(["1", "2"]);
  const uses = new VersionsInUse(directory, () => [pipeline]);
  t.true(uses.tryClose(pipeline, "1", false));
  directory.setReport({ ...createReport("g2", "2"), state: "loading" }, true);
  let hasStarted = false;
  const started = uses.acquire(pipeline, noDeadline).then((entry) => {
    hasStarted = true;
    return entry;
  });
  await Promise.resolve();
  t.false(hasStarted);
  directory.setReport(createReport("g2", "2"), true);
  t.is((await started).version, "2");
});

test("a version that is served or has a request in flight can't be closed", (t) => {
  t.false(createUses(["1"]).tryClose(pipeline, "1", false));
  const uses = createUses(["1", "2"]);
  const release = uses.addRequest("assistant", "1");
  t.false(uses.tryClose(pipeline, "1", false));
  t.false(uses.tryClose(pipeline, "1", true));
  release();
  t.true(uses.tryClose(pipeline, "1", false));
});

test("the served version can be closed if the rollout needs a gap without a complete chain", (t) => {
  t.true(createUses(["1"]).tryClose(pipeline, "1", true));
});

test("a request whose caller has disconnected does not wait for a version", async (t) => {
  const uses = createUses(["1"]);
  t.true(uses.tryClose(pipeline, "1", true));
  const signal = AbortSignal.abort();
  t.is((await uses.acquire(pipeline, { deadlineMs: Number.POSITIVE_INFINITY, signal })).version, "2");
});
