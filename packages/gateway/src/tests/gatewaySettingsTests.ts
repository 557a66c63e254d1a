/** Tests that a settings file is validated as a whole, and that every error names its line. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import test from "ava";
import { loadGatewaySettings } from "../gatewaySettings.js";

const validText = `
[instance]
name = front-1
availabilityZone = east
[callers]
listen = 10.0.0.1:80
readiness = 10.0.0.1:81
stopGraceS = 8
[peers]
host = 10.0.0.1
port = 7340
secret = sixteen-or-more-signs
[metrics]
host = 10.0.0.1
port = 7341
[configuration]
deadlineMs = 3000
[keys]
isRevocationStrict = true
revocationBoundMs = 5000
[retries]
budgetRatio = 0.2
budgetSlack = 200
budgetWindowS = 10
[store]
address = 10.0.0.9:82
leaseMinimumMs = 1000
`;

function load(text: string) {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "settings-"));
  const file = path.join(folder, "s.ini");
  fs.writeFileSync(file, text);
  const loaded = loadGatewaySettings(file);
  fs.rmSync(folder, { recursive: true });
  return loaded;
}

test("a valid file is parsed to typed values", (t) => {
  const loaded = load(validText);
  t.is(loaded.ok ? loaded.val.callers.listen.port : loaded.val.message, 80);
  t.is(loaded.ok ? loaded.val.keys.isRevocationStrict : undefined, true);
});

test("all errors are reported together, each with its line, and unknown names with the nearest known one", (t) => {
  const loaded = load(
    validText.replace("stopGraceS = 8", "stopGraceSeconds = 8").replace("port = 7341", "port = 0"),
  );
  if (loaded.ok) return t.fail();
  t.regex(loaded.val.message, /s\.ini:8.*stopGraceSeconds.*did you mean stopGraceS/);
  t.regex(loaded.val.message, /s\.ini:15.*port/);
});

test("a missing file results in a typed error", (t) => {
  const loaded = loadGatewaySettings("/nowhere/s.ini");
  t.is(loaded.err ? loaded.val.code : "", "invalid_settings");
});
