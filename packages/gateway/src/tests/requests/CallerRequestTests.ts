/** The signal of a request, which aborts when its caller leaves. */
import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import type { CallerFields, MessageCodec } from "../../http/MessageCodec.js";
import { CallerRequest } from "../../requests/CallerRequest.js";
import { createRoute } from "../testData.js";

function createRequest(response: http.ServerResponse): CallerRequest {
  return new CallerRequest({
    message: response.req,
    response,
    fields: {} as CallerFields,
    route: createRoute(),
    account: undefined,
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
    codec: {} as MessageCodec,
    endsConnection: () => false,
    presence: { isCallerInDoubt: false, whenCallerCertain: () => Promise.resolve() },
  });
}

function createResponse(): http.ServerResponse {
  return new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
}

// Guards against requests that are sent because their callers left before anything listened for it.
test("the signal of a request has aborted if its caller left before the request was passed on", (t) => {
  const response = createResponse();
  t.false(createRequest(response).signal.aborted);
  response.destroy();
  t.true(createRequest(response).signal.aborted);
});
