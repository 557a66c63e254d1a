/** Decisions that the settings and the configuration switch on. */
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import { gatewaySettingsSchema, type LoadControlSettings } from "../../gatewaySettings.js";
import { AdmissionGate, type GateQuery, type GateRefusal } from "../../loadcontrol/AdmissionGate.js";
import { createAccountGates } from "../../loadcontrol/createAccountGates.js";
import { LoadControls, type LoadControlStructure } from "../../loadcontrol/LoadControls.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { createConfiguration } from "../testData.js";

const query: GateQuery = {
  service: "engines",
  priority: 1,
  accountName: "farm",
  targetLatencyMs: 500,
  promptTokens: 10,
  digest: () => "abcdefghijkl",
};

class RejectingGate extends AdmissionGate {
  override getRefusal(): GateRefusal | undefined {
    return { reason: "less-urgent", retryAfterMs: 1, inputs: {} };
  }
}

function createStructure(changes: Partial<LoadControlSettings>): LoadControlStructure {
  return {
    settings: { ...gatewaySettingsSchema.shape.loadControl.parse({}), ...changes },
    availabilityZone: "east",
    activeConfiguration: new ActiveConfiguration(),
    endpoints: new EndpointTable(),
    figures: new SharedFigures(),
    metrics: new GatewayMetrics(),
    log: new DecisionLog(new RecordingLogOutput(), () => 0),
  };
}

test("a setting that is off leaves the gates as they are, and the choice of plain endpoints", (t) => {
  const structure = createStructure({ accountShares: "off", endpointConcurrency: "off" });
  const gates = [new RejectingGate()];
  t.is(createAccountGates(structure, gates).gates, gates);
  const controls = new LoadControls(structure);
  t.is(controls.concurrency, undefined);
  t.deepEqual(structure.figures.getOwn().size, 0);
});

test("a configuration with one account passes rejections unchanged, and one with two replaces their times to return", (t) => {
  const structure = createStructure({ accountShares: "auto" });
  const [gate] = createAccountGates(structure, [new RejectingGate()]).gates;
  const configuration = createConfiguration(1);
  structure.activeConfiguration.accept(configuration);
  t.is(gate?.getRefusal(query)?.retryAfterMs, 1);
  const accounts = ["farm", "dairy"].map((name) => ({ name, apiKeys: [] }));
  structure.activeConfiguration.accept({ ...configuration, version: 2, accounts });
  t.true((gate?.getRefusal(query)?.retryAfterMs ?? 0) > 200);
});
