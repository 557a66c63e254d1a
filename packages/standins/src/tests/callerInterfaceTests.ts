/** Tests of the caller interface over real sockets: answers, errors, limits and cancellation. */
import * as net from "node:net";
import { utils } from "@shedtiller/common";
import test from "ava";
import got, { type Response } from "got";
import { createPrompt, sendModelRequest } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import { createEngine, createStructure, layerCount, model } from "./structures.js";

const fleet = new Fleet(
  createStructure(["e1"], [createEngine("g1", [0, 16]), createEngine("g2", [16, 32])], ["b1"]),
  { seed: 1 },
);
let address = "";
let key = "";

test.before(async () => {
  await fleet.start();
  address = await fleet.getCallerAddress("e1");
  key = fleet.accountKeys.get("crews") ?? "";
});
test.after.always(() => fleet.close());

async function post(
  path: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response<string>> {
  return got.post(`http://${address}${path}`, {
    body: typeof body === "string" ? body : JSON.stringify(body),
    headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
}

interface ErrorBody {
  error: { type: string; code: string; message: string; ran: string };
}

function readError(response: Response<string>): ErrorBody["error"] {
  return (JSON.parse(response.body) as ErrorBody).error;
}

test("a streamed answer runs through both engines, with each layer once for each token", async (t) => {
  const prompt = createPrompt("streamed", 20);
  const report = await sendModelRequest({ address, key, model, layerCount, prompt, outputTokens: 12 });
  t.is(report.outcome, "answered");
  const requestId = report.requestId ?? "";
  t.deepEqual(fleet.executionLog.findViolations(requestId, layerCount, 20 + 12 - 1), []);
  t.deepEqual(
    [...new Set(fleet.executionLog.getExecutions(requestId).map((execution) => execution.endpoint))].sort(),
    ["g1", "g2"],
  );
});

test("a completion and a chat completion have the OpenAI response format", async (t) => {
  const completion = JSON.parse(
    (await post("/v1/completions", { model, prompt: "abc", max_tokens: 4 })).body,
  );
  t.is(completion.object, "text_completion");
  t.is(completion.choices[0].finish_reason, "length");
  t.deepEqual(completion.usage, { prompt_tokens: 3, completion_tokens: 4, total_tokens: 7 });
  const messages = [{ role: "user", content: "hello" }];
  const chat = JSON.parse((await post("/v1/chat/completions", { model, messages, max_tokens: 3 })).body);
  t.is(chat.choices[0].message.role, "assistant");
  t.is(chat.choices[0].message.content.trim().split(" ").length, 3);
});

test("an invalid request gets an error that names the field and states that nothing ran", async (t) => {
  const cases: [unknown, number, RegExp][] = [
    [{ model, prompt: "a", max_tokens: -1 }, 400, /max_tokens/],
    [{ prompt: "a" }, 400, /model/],
    ["{", 400, /not valid JSON/],
    [{ model: "nothing", prompt: "a" }, 404, /nothing/],
  ];
  for (const [body, status, message] of cases) {
    const response = await post("/v1/completions", body);
    t.is(response.statusCode, status);
    t.regex(readError(response).message, message);
    t.is(readError(response).ran, "no");
    t.is(response.headers["shedtiller-ran"], "no");
  }
});

test("a missing key, an unknown key and a key with a wrong secret get 401", async (t) => {
  const wrongSecret = `${key.slice(0, -4)}0000`;
  for (const authorization of ["", "Bearer sk-00-00", `Bearer ${wrongSecret}`]) {
    const response = await post("/v1/completions", { model, prompt: "a" }, { authorization });
    t.is(response.statusCode, 401);
  }
});

test("a body over the size limit gets 413, with and without Content-Length", async (t) => {
  const large = "x".repeat(1_100_000);
  t.is((await post("/v1/completions", large)).statusCode, 413);
  const chunked = got.stream.post(`http://${address}/v1/completions`, {
    headers: { authorization: `Bearer ${key}` },
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
  const status = new Promise((resolve) =>
    chunked.once("response", (r: { statusCode: number }) => resolve(r.statusCode)),
  );
  chunked.on("error", () => undefined);
  for (let part = 0; part < 12; part++) chunked.write(large.slice(0, 100_000));
  chunked.end();
  t.is(await status, 413);
});

test("a service receives a body of any content type unchanged", async (t) => {
  for (const type of ["application/octet-stream", "text/plain", "application/json"]) {
    const response = await post("/services/billing/echo", "1234567890", { "content-type": type });
    t.is((JSON.parse(response.body) as { bodyBytes: number }).bodyBytes, 10);
  }
});

test("an idempotency key without a timestamp is rejected with an error that names the header", async (t) => {
  const response = await post("/services/billing/entries", {}, { "idempotency-key": "pickup-7" });
  t.is(response.statusCode, 400);
  t.regex(readError(response).message, /Idempotency-Key/);
});

test("an unknown service gets 404, and a known service answers", async (t) => {
  t.is((await post("/services/none/x", {})).statusCode, 404);
  t.is((await post("/services/billing/entries", {})).statusCode, 200);
});

test("an account over its concurrency limit gets 429 with Retry-After", async (t) => {
  const officeHeaders = { authorization: `Bearer ${fleet.accountKeys.get("office") ?? ""}` };
  const calls = Array.from({ length: 6 }, (_value, index) =>
    post("/v1/completions", { model, prompt: `p${index}`, max_tokens: 40 }, officeHeaders),
  );
  const refused = (await Promise.all(calls)).filter((response) => response.statusCode === 429);
  t.true(refused.length >= 1);
  for (const response of refused) {
    t.true(Number(response.headers["retry-after"]) >= 1);
    t.is(readError(response).ran, "no");
  }
});

test("the engines release the stream of a caller that disconnects", async (t) => {
  const caller = new AbortController();
  const prompt = createPrompt("gone", 10);
  const request = sendModelRequest({
    address,
    key,
    model,
    layerCount,
    prompt,
    outputTokens: 5_000,
    signal: caller.signal,
  });
  t.true(await utils.waitUntil(() => fleet.requireEngine("g1").simulator.activeStreams > 0, 10_000));
  caller.abort();
  await request;
  const isFree = (): boolean =>
    fleet.requireEngine("g1").simulator.activeStreams === 0 &&
    fleet.requireEngine("g2").simulator.activeStreams === 0;
  t.true(await utils.waitUntil(isFree, 10_000));
});

test("a request whose deadline has passed is rejected before any layer runs", async (t) => {
  const response = await post(
    "/v1/completions",
    { model, prompt: "late", max_tokens: 2 },
    { "shedtiller-deadline-ms": "0.001" },
  );
  t.is(readError(response).ran, "no");
  t.is(fleet.executionLog.getExecutions(String(response.headers["shedtiller-request-id"])).length, 0);
});

test("headers over the size limit close only their own connection", async (t) => {
  const [host = "", port = ""] = address.split(":");
  const socket = net.connect(Number(port), host);
  const reply = new Promise<string>((resolve) => {
    socket.once("data", (data) => resolve(String(data)));
    socket.once("close", () => resolve(""));
  });
  socket.on("error", () => undefined);
  socket.write(`GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: ${"y".repeat(40_000)}\r\n\r\n`);
  t.regex(await reply, /431|^$/);
  t.is((await got.get(`http://${address}/healthz`)).statusCode, 200);
});

test("readiness, liveness and the list of models are served", async (t) => {
  t.is((await got.get(`http://${address}/readyz`)).statusCode, 200);
  const models = await got
    .get(`http://${address}/v1/models`, { headers: { authorization: `Bearer ${key}` } })
    .json<{ data: { id: string }[] }>();
  t.deepEqual(
    models.data.map((entry) => entry.id),
    [model],
  );
});
