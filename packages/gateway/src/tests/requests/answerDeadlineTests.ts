/** Answers that stall after their headers, against the timeout of their route. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { callerHeaders, setUp } from "./endpointHandlers.js";
import type { EndpointHandler } from "./GatewayFixture.js";

const timeoutMs = 1_000;
/** Time of an endpoint until its headers, most of the route's timeout. */
const headAfterMs = 800;
/** Time after the first request at which the second is sent, so that its timeout ends between once and twice the first one's. */
const secondAfterMs = 400;

for (const kind of ["safe", "unsafe"] as const) {
  // Guards against an answer that is waited for by the timeout of its route once for its headers, and once more for its body.
  test(`a request (${kind}) whose answer stalls ends by its own timeout, before that of a later request`, async (t) => {
    const fixture = await setUp(t, { kind, timeoutMs, maxAttempts: 1 });
    const secondIsDue = new utils.Deferred<void>();
    const stall: EndpointHandler = (request, response) => {
      if (request.url === "/a/second") return;
      setTimeout(() => secondIsDue.resolve(), secondAfterMs);
      setTimeout(() => {
        response.writeHead(200, { "x-id": String(request.headers["x-id"]) });
        response.write("a part of the bo");
      }, headAfterMs);
    };
    await fixture.list([stall], {});
    const ended: string[] = [];
    const send = async (path: string): Promise<void> => {
      const received = await fixture.request("POST", callerHeaders, path);
      ended.push(path);
      t.true(received.isWhole);
      t.true(received.status > 500);
    };
    const first = send("/a/first");
    await secondIsDue.promise;
    await Promise.all([first, send("/a/second")]);
    t.deepEqual(ended, ["/a/first", "/a/second"]);
  });
}
