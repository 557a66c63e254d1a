/** When early moves are switched on, and what the log says about it. */
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import { LoadControls } from "../../loadcontrol/LoadControls.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LogOutput, type LogFields, type LogLevel } from "../../logs/LogOutput.js";
import type { SharedFigures } from "../../peers/SharedFigures.js";
import { createConfiguration, profile } from "../testData.js";

class Lines extends LogOutput {
  readonly reasons: unknown[] = [];

  override isBehind(): boolean {
    return false;
  }

  override write(_level: LogLevel, event: string, fields: LogFields): void {
    if (event === "early-moves") this.reasons.push(fields["reason"]);
  }
}

function create(earlyMoves: "auto" | "off") {
  const lines = new Lines();
  const activeConfiguration = new ActiveConfiguration();
  const controls = new LoadControls({
    settings: {
      firstEventForecast: "off",
      urgencyLevels: "off",
      zoneFlows: "off",
      firstEngineShare: "off",
      earlyMoves,
      accountShares: "off",
      endpointConcurrency: "off",
    },
    availabilityZone: "east",
    activeConfiguration,
    endpoints: new EndpointTable(),
    figures: {} as SharedFigures,
    metrics: new GatewayMetrics(),
    log: new DecisionLog(lines, () => 0),
  });
  return { lines, controls, activeConfiguration };
}

test("the log says once for each change whether early moves are on, and why", (t) => {
  const { lines, controls, activeConfiguration } = create("auto");
  const services = [{ name: "engines", healthPath: "/", maxConnections: 10, engine: profile }];
  activeConfiguration.accept({ ...createConfiguration(1), services });
  activeConfiguration.accept({ ...createConfiguration(2), services });
  t.deepEqual(lines.reasons, ["no service has an engine profile", "a service has an engine profile"]);
  t.not(controls.earlyMoves, undefined);
  t.true(controls.pressureSources.some((source) => source === controls.earlyMoves));
});

test("switched off by its setting, the decision does not exist", (t) => {
  const { lines, controls } = create("off");
  t.deepEqual(lines.reasons, ["the setting is off"]);
  t.is(controls.earlyMoves, undefined);
});
