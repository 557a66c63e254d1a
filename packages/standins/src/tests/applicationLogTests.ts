import test from "ava";
import { ApplicationLog, type Application } from "../engine/ApplicationLog.js";

function createApplication(structure: Partial<Application>): Application {
  return {
    requestId: "r",
    attempt: 1,
    endpoint: "g1",
    firstLayer: 0,
    endLayer: 16,
    position: 0,
    count: 1,
    atMs: 0,
    streamBeganAtMs: 0,
    ...structure,
  };
}

test("a doubled, a missing and an uncovered layer application are found", (t) => {
  const log = new ApplicationLog();
  log.add(createApplication({ count: 4 }));
  log.add(createApplication({ firstLayer: 16, endLayer: 32, endpoint: "g2", count: 4, attempt: 2 }));
  t.deepEqual(log.findFaults("r", 32, 4), []);
  log.add(createApplication({ position: 3 }));
  t.regex(log.findFaults("r", 32, 4).join(), /ran position 3 where 4 was due/);
  t.regex(log.findFaults("r", 48, 4).join(), /no attempt took all layers/);
});
