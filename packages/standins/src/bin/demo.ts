/** `npm start`: runs three entry instances with embedded stand-ins in one process until Ctrl-C. */
import { utils } from "@shedtiller/common";
import { createDemoStructure } from "../fleet/demoStructure.js";
import { Fleet } from "../fleet/Fleet.js";

const firstCallerPort = 8080;
const firstOperatorPort = 9080;

function printReady(fleet: Fleet): void {
  const key = fleet.accountKeys.get("crews") ?? "";
  const lines = [
    "",
    "Three entry instances are ready: callers on 127.0.0.1:8080-8082, operators on 127.0.0.1:9080-9082.",
    "",
    "Request a streamed answer from a model that is split over engines:",
    `  curl -N http://127.0.0.1:${firstCallerPort}/v1/chat/completions -H 'Authorization: Bearer ${key}' \\`,
    `    -H 'Content-Type: application/json' \\`,
    `    -d '{"model":"assistant","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Which valves first?"}]}'`,
    "",
    "Use the operator interface:",
    `  export SHEDTILLER_OPERATOR_TOKEN=${fleet.operatorToken.text}`,
    `  curl http://127.0.0.1:${firstOperatorPort}/v1/status -H "Authorization: Bearer $SHEDTILLER_OPERATOR_TOKEN"`,
    "  npx shedtiller status",
    "  npx shedtiller plan examples/lakeshore-intent.json",
    "",
    "Press Ctrl-C to drain and exit.",
    "",
  ];
  process.stdout.write(`${lines.join("\n")}\n`);
}

/** Kills the engine g2 for ten seconds on SIGUSR2, which can be sent from another terminal. */
function listenForFaultSignal(fleet: Fleet): void {
  process.on("SIGUSR2", () => void restartEngine(fleet));
  process.stdout.write(`  kill -USR2 ${process.pid}      kills the engine g2 for ten seconds\n\n`);
}

async function restartEngine(fleet: Fleet): Promise<void> {
  const engine = fleet.requireEngine("g2");
  const downMs = 10_000;
  process.stdout.write("Engine g2 was killed.\n");
  await engine.kill();
  await utils.sleep(downMs);
  await engine.restart();
  process.stdout.write("Engine g2 was restarted.\n");
}

async function main(): Promise<void> {
  const fleet = new Fleet(createDemoStructure(), { isSilent: false, firstCallerPort, firstOperatorPort });
  await fleet.start();
  printReady(fleet);
  listenForFaultSignal(fleet);
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) for (const instance of fleet.instances.values()) instance.abortInFlightRequests();
    if (isStopping) return;
    isStopping = true;
    const drains = [...fleet.instances.values()].map((instance) => instance.drain());
    void Promise.all(drains)
      .then(() => fleet.close())
      .then(() => process.exit(0));
  };
  process.on("SIGINT", stop);
  process.on("SIGTERM", stop);
}

await main();
