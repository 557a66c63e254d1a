/** Which endpoints of a plain service are called, and which are left alone. */
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

// Guards against calls that go on reaching an endpoint in the time of rest that it asked for.
test("an endpoint that asks for rest gets no call until it is over, and where all rest a call is refused at once", async (t) => {
  const resting = await serve(t, "a", 503, { "Retry-After": "60" });
  const other = await serve(t, "b", 200, {});
  const caller = createCaller([resting, other]);
  for (let call = 0; call < callCount; call++) t.true((await caller.call(createCall())).ok);
  t.is(resting.calls, 1);
  t.is(other.calls, callCount - 1);
  const alone = createCaller([resting]);
  await alone.call(createCall());
  const refused = await alone.call(createCall());
  t.is(refused.err ? refused.val.ran : undefined, "no");
  t.is(resting.calls, 2);
});
