/** Tests that the expected outcomes and the guarantees hold in every trace of the repository. Times are not checked. */
import * as fs from "node:fs";
import * as url from "node:url";
import test from "ava";
import { checkTrace, parseTrace, readTrace, runTrace } from "../replay/index.js";

const folder = url.fileURLToPath(new URL("../../../../traces/", import.meta.url));

for (const name of fs.readdirSync(folder).sort()) {
  test.serial(`the trace ${name} holds`, async (t) => {
    const record = await runTrace(readTrace(`${folder}${name}`).unwrap());
    try {
      const verdict = await checkTrace(record, { areTimesChecked: false });
      t.deepEqual(verdict.failed, []);
      t.true(verdict.held);
    } finally {
      await record.fleet.close();
    }
  });
}

const setup = JSON.stringify({
  kind: "setup",
  availabilityZones: ["a"],
  instances: [{ name: "e1", availabilityZone: "a" }],
  endpoints: [],
  services: [{ name: "billing", endpoints: ["b1"], availabilityZone: "a", repeatable: false, serviceMs: 1 }],
  clientAccounts: [{ name: "office", priority: 1 }],
});

test("the error of an invalid trace states file, line, field and reason", (t) => {
  const message = (text: string): string => {
    const parsed = parseTrace(text, "t.jsonl");
    return parsed.err ? parsed.val.message : "read";
  };
  t.regex(message(`${setup}\n{"atMs":0,"kind":"fault","what":"earthquake"}`), /t\.jsonl:2: what/);
  t.regex(message(`${setup}\n{"atMs":0,"kind":"fault","what":"zone-cut","target":"a"}`), /t\.jsonl:2: forMs/);
  t.regex(
    message(`${setup}\n{"atMs":0,"kind":"fault","what":"reply-lost","target":"b9"}`),
    /t\.jsonl:2: target/,
  );
  t.regex(message(`${setup}\nnot json`), /t\.jsonl:2: is not JSON/);
  t.regex(message(""), /has no setup line/);
});

test("a trace with an unexpected outcome fails, and the message names the request and both outcomes", async (t) => {
  const call = {
    atMs: 0,
    kind: "call",
    id: "c1",
    key: "k1",
    service: "billing",
    clientAccount: "office",
    instance: "e1",
  };
  const expected = { kind: "expect", id: "c1", outcome: "refused-not-run" };
  const trace = parseTrace(
    [setup, JSON.stringify(call), JSON.stringify(expected)].join("\n"),
    "t.jsonl",
  ).unwrap();
  const record = await runTrace(trace);
  const verdict = await checkTrace(record);
  await record.fleet.close();
  t.false(verdict.held);
  t.regex(verdict.failed.join(), /c1: outcome answered instead of refused-not-run/);
});
