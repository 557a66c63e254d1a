/** Tests which endpoints of a plain service receive calls. */
import * as http from "node:http";
import type * as net from "node:net";
import { RetryBudget, type EndpointDirectory } from "@shedtiller/routing";
import test, { type ExecutionContext } from "ava";
import { ServiceCaller, type ServiceCall } from "../service/ServiceCaller.js";

const callCount = 12;

interface CountedEndpoint {
  readonly name: string;
  readonly address: string;
  calls: number;
}

async function serve(
  t: ExecutionContext,
  name: string,
  status: number,
  headers: Record<string, string>,
): Promise<CountedEndpoint> {
  const server = http.createServer((_request, response) => {
    endpoint.calls += 1;
    response.writeHead(status, headers).end();
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const endpoint = { name, address: `127.0.0.1:${port}`, calls: 0 };
  return endpoint;
}

function createCall(): ServiceCall {
  return {
    service: "records",
    requestId: "r1",
    method: "GET",
    path: "/",
    contentType: undefined,
    body: new Uint8Array(),
    idempotencyKey: undefined,
    isRepeatable: true,
    timeoutMs: 30_000,
    signal: new AbortController().signal,
  };
}

function createCaller(endpoints: readonly CountedEndpoint[]): ServiceCaller {
  const directory = {
    getServiceEndpoints: () => [...endpoints],
    outliers: { recordFailure: () => undefined },
    markUnreachable: () => undefined,
  } as unknown as EndpointDirectory;
  return new ServiceCaller(directory, new RetryBudget());
}

// Guards against calls to an endpoint during the back-off that it has requested.
test("an endpoint that requests a back-off receives no calls until it ends, and if all endpoints back off, calls fail at once", async (t) => {
  const backingOff = await serve(t, "a", 503, { "Retry-After": "60" });
  const other = await serve(t, "b", 200, {});
  const caller = createCaller([backingOff, other]);
  for (let call = 0; call < callCount; call++) t.true((await caller.call(createCall())).ok);
  t.is(backingOff.calls, 1);
  t.is(other.calls, callCount - 1);
  const callerOfOne = createCaller([backingOff]);
  await callerOfOne.call(createCall());
  const failed = await callerOfOne.call(createCall());
  t.is(failed.err ? failed.val.ran : undefined, "no");
  t.is(backingOff.calls, 2);
});
