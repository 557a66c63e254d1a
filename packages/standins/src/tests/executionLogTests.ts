import test from "ava";
import { ExecutionLog, type LayerExecution } from "../engine/ExecutionLog.js";

function createExecution(structure: Partial<LayerExecution>): LayerExecution {
  return {
    requestId: "r",
    attempt: 1,
    endpoint: "g1",
    firstLayer: 0,
    endLayer: 16,
    position: 0,
    count: 1,
    atMs: 0,
    streamStartedAtMs: 0,
    ...structure,
  };
}

test("repeated layer executions and uncovered layers are found", (t) => {
  const log = new ExecutionLog();
  log.add(createExecution({ count: 4 }));
  log.add(createExecution({ firstLayer: 16, endLayer: 32, endpoint: "g2", count: 4, attempt: 2 }));
  t.deepEqual(log.findViolations("r", 32, 4), []);
  log.add(createExecution({ position: 3 }));
  t.regex(log.findViolations("r", 32, 4).join(), /ran position 3 where 4 was expected/);
  t.regex(log.findViolations("r", 48, 4).join(), /no attempt ran all layers/);
});
