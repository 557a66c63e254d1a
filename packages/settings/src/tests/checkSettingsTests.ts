import test from "ava";
import * as fc from "fast-check";
import { checkSettings } from "../checkSettings.js";
import { readIni } from "../readIni.js";

const validText = `[instance]
name = e1
availabilityZone = east-plant
callerAddress = 127.0.0.1:8080
operatorAddress = 127.0.0.1:9080
peerAddress = 127.0.0.1:7080
[platform]
logAddress = 127.0.0.1:7001
instanceListAddress = 127.0.0.1:7002
[security]
`;

test("a valid file is accepted, with defaults for absent keys", (t) => {
  const settings = checkSettings(validText, "a.ini").unwrap();
  t.is(settings.instance.availabilityZone, "east-plant");
  t.is(settings.platform.appendsPerSecond, 100);
  t.is(settings.limits.bodySizeBytes, 1_048_576);
});

test("every error is listed with its line, and an unknown key with the closest known one", (t) => {
  const text = validText.replace("name = e1", "name = e 1").replace("logAddress", "logAdress");
  const checked = checkSettings(text, "a.ini");
  t.true(checked.err);
  if (!checked.err) return;
  const faults = checked.val.faults.map((fault) => fault.message);
  t.true(faults.some((fault) => fault.includes("a.ini:2: [instance] name")));
  t.true(
    faults.some((fault) => fault.includes("a.ini:8: [platform] logAdress") && fault.includes("logAddress")),
  );
  t.true(faults.some((fault) => fault.includes("[platform] logAddress: ")));
});

test("a duplicate key is an error", (t) => {
  const checked = readIni("[a]\nb = 1\nb = 2\n", "a.ini");
  t.true(checked.err && checked.val.message.includes("a.ini:3"));
});

test("any text is parsed or rejected with a typed error", (t) => {
  fc.assert(
    fc.property(fc.string(), (text) => {
      const read = readIni(text, "fuzz.ini");
      return read.ok || read.val.code === "invalid_input";
    }),
    { seed: 7, numRuns: 500 },
  );
  t.pass();
});
