/** Guards against an overloaded instance that closes connections on which whole requests have arrived, and answers nothing. */
import * as http from "node:http";
import test from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";
import { createRoute } from "../testData.js";
import { GatewayFixture } from "./GatewayFixture.js";

const targets = [{ service: "engines", weight: 1 }];
const routes: readonly Route[] = [
  createRoute({ targets, kind: "safe" }),
  createRoute({ targets, kind: "unsafe" }),
  createRoute({ targets, kind: "streaming" }),
];

for (const route of routes) {
  // Guards against callers that get neither an answer nor a refusal, and whose requests no log names.
  test(`a whole request beyond the limit on new connections is refused, and its id is logged (${route.kind})`, async (t) => {
    const fixture = new GatewayFixture();
    t.teardown(() => fixture.close());
    const output = new RecordingLogOutput();
    fixture.logOutput = output;
    await fixture.start(route);
    const agent = new http.Agent({ keepAlive: true });
    t.teardown(() => agent.destroy());
    await fixture.request("GET", { "x-id": "r0", "x-key": "k1" }, "/a/x", agent);
    const before = fixture.forwarded.begun;
    fixture.setAcceptLimit(0);
    const method = route.kind === "safe" ? "GET" : "POST";
    const answer = await fixture.request(method, { "x-id": "r1", "x-key": "k1" });
    t.is(answer.status, 503);
    t.true(answer.isWhole);
    t.is(answer.headers.connection, "close");
    t.true(Number(answer.headers["x-retry-after-ms"]) > 0);
    t.is(fixture.forwarded.begun, before);
    t.true(output.fields.some(({ requestId, reason }) => requestId === "r1" && reason === "overloaded"));
  });
}
