/** Handling of model requests, from the caller's body to the answer. */
import { digestRequest, getPartTraits, type RequestTraits } from "@shedtiller/crashes";
import { errors, results, utils } from "@shedtiller/common";
import {
  AdmissionRefusedError,
  type AccountLimits,
  type AccountPermit,
  type AdmissionPermit,
} from "@shedtiller/admission";
import type { AtMostOnceExecutor } from "@shedtiller/claims";
import type * as intent from "@shedtiller/intent";
import {
  PipelineRun,
  type PipelineAnswer,
  type PipelineContext,
  type PipelineError,
  type VersionChoice,
} from "@shedtiller/pipeline";
import type { InstanceSettings } from "@shedtiller/settings";
import type { Timeline } from "@shedtiller/timeline";
import type * as restify from "restify";
import type * as http from "node:http";
import type { InstanceMetrics } from "../metrics/InstanceMetrics.js";
import type { VersionsInUse } from "../feeds/VersionsInUse.js";
import type { PipelineQueues } from "../PipelineQueues.js";
import type { Tokenizer } from "../text/Tokenizer.js";
import type { InFlightRequests } from "../InFlightRequests.js";
import { AnswerWriter, type CompletionFormat } from "./AnswerWriter.js";
import { ApiError, requestIdHeader, sendError, toApiError } from "./apiErrors.js";
import { requireAccount, type AccountDirectory } from "./authenticate.js";
import {
  chatBodySchema,
  getChatPrompt,
  getMaxTokens,
  getMessageIds,
  textBodySchema,
} from "./completionSchemas.js";
import * as callerRequest from "./callerRequest.js";
import type { StoredAnswer } from "./StoredAnswer.js";

const badRequestStatus = 400;
const notFoundStatus = 404;
const forbiddenStatus = 403;
const lowestRank = 9;

/** Dependencies of {@link CompletionHandler}. */
export interface CompletionHandlerStructure {
  readonly settings: InstanceSettings;
  readonly configuration: intent.ConfigurationProjection;
  readonly accounts: AccountDirectory;
  readonly limits: AccountLimits;
  readonly queues: PipelineQueues;
  readonly versions: VersionsInUse;
  readonly pipeline: PipelineContext;
  readonly atMostOnceExecutor: AtMostOnceExecutor<StoredAnswer>;
  readonly tokenizer: Tokenizer;
  readonly timeline: Timeline;
  readonly metrics: InstanceMetrics;
  readonly inFlight: InFlightRequests;
}

/** One parsed and authenticated request. */
interface Completion {
  readonly requestId: string;
  readonly account: intent.AccountObject;
  readonly pipeline: intent.PipelineObject;
  readonly rank: number;
  readonly floorShare: number;
  readonly promptTokens: readonly number[];
  /** Ids of the messages of a chat in order, which other requests may share except for the last one. */
  readonly promptPartIds: readonly string[];
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Key under which the request runs at most once; undefined if the request is repeatable or has no key. */
  readonly idempotencyKey: string | undefined;
  readonly isStream: boolean;
  readonly format: CompletionFormat;
  readonly signal: AbortSignal;
}

/** Version on which a request runs, and the means to switch to another version. */
interface RequestVersion extends VersionChoice {
  readonly initialVersion: string;
  /** Ends the request's use of its current version. */
  release(): void;
}

type CompletionResult = results.Result<PipelineAnswer, PipelineError | AdmissionRefusedError>;

/** Handles `/v1/chat/completions` and `/v1/completions`: parsing, admission, at-most-once execution and writing of the answer. */
export class CompletionHandler {
  constructor(private readonly _structure: CompletionHandlerStructure) {}

  /** Handles one request and writes its answer. */
  async handle(
    request: restify.Request,
    response: http.ServerResponse,
    format: CompletionFormat,
  ): Promise<void> {
    const { inFlight, metrics } = this._structure;
    const controller = new AbortController();
    const completion = this._parse(request, format, controller.signal);
    // A request that runs at most once continues after its caller disconnects, so that a retry finds the answer.
    if (completion.idempotencyKey === undefined) callerRequest.abortOnDisconnect(response, controller);
    response.setHeader(requestIdHeader, completion.requestId);
    const removeRequest = inFlight.add(completion.requestId, controller);
    try {
      const outcome = await this._answer(completion, response);
      metrics.requests.inc({ kind: "model", outcome });
    } finally {
      removeRequest();
    }
  }

  private _parse(request: restify.Request, format: CompletionFormat, signal: AbortSignal): Completion {
    const account = requireAccount(request, this._structure.accounts);
    const schema = format === "chat" ? chatBodySchema : textBodySchema;
    const checked = schema.safeParse(callerRequest.parseJson(request.body));
    if (!checked.success) {
      const fault = errors.fromSchemaIssues("body", checked.error.issues);
      throw new ApiError(badRequestStatus, "invalid_request_error", "invalid_body", fault.message);
    }
    const body = checked.data;
    const pipeline = this._requirePipeline(body.model, account);
    const priority = this._structure.configuration.getObject("class", account.priorityClass);
    const chat = "messages" in body ? chatBodySchema.parse(body) : undefined;
    const prompt = chat === undefined ? textBodySchema.parse(body).prompt : getChatPrompt(chat);
    const isRepeatable = request.header("shedtiller-repeatable") !== "no";
    const key = callerRequest.getIdempotencyKey(request);
    return {
      requestId: utils.newId(),
      account,
      pipeline,
      rank: priority?.rank ?? lowestRank,
      floorShare: priority?.floorShare ?? 0,
      promptTokens: this._structure.tokenizer.encode(prompt),
      promptPartIds: chat === undefined ? [] : getMessageIds(chat),
      maxTokens: getMaxTokens(body),
      deadlineMs: callerRequest.getDeadlineMs(request, this._structure.settings.limits.requestTimeoutMs),
      idempotencyKey: isRepeatable ? undefined : key,
      isStream: body.stream,
      format,
      signal,
    };
  }

  private _requirePipeline(model: string, account: intent.AccountObject): intent.PipelineObject {
    const pipeline = this._structure.configuration.getObject("pipeline", model);
    if (pipeline === undefined) {
      throw new ApiError(
        notFoundStatus,
        "not_found_error",
        "model_not_found",
        `The model ${model} does not exist.`,
      );
    }
    const mayUse = pipeline.clientAccounts.length === 0 || pipeline.clientAccounts.includes(account.name);
    if (mayUse) return pipeline;
    throw new ApiError(
      forbiddenStatus,
      "permission_error",
      "model_not_allowed",
      `The account may not use the model ${model}.`,
    );
  }

  /** Runs a request and writes its answer; returns the outcome for the metrics. */
  private async _answer(completion: Completion, response: http.ServerResponse): Promise<string> {
    const { requestId, format, isStream, pipeline, promptTokens } = completion;
    const writer = new AnswerWriter({
      response,
      format,
      isStream,
      requestId,
      model: pipeline.name,
      promptTokens: promptTokens.length,
    });
    const outcome =
      completion.idempotencyKey === undefined
        ? await this._run(completion, writer)
        : await this._runAtMostOnce(completion, completion.idempotencyKey, writer);
    const { timeline, metrics } = this._structure;
    if (outcome.ok) {
      writer.finish(outcome.val.isEnd);
      timeline.add("answered", { requestId, detail: `${outcome.val.tokens.length} tokens` });
      return "answered";
    }
    const error = toApiError(outcome.val);
    if (outcome.val instanceof AdmissionRefusedError) metrics.refusals.inc({ reason: outcome.val.reason });
    else if (error.ran === "no") metrics.refusals.inc({ reason: outcome.val.code });
    timeline.add(error.ran === "no" ? "refused" : "cancelled", { requestId, detail: outcome.val.message });
    if (response.headersSent) writer.fail(error);
    else sendError(response, error);
    return error.ran === "no" ? "refused" : "unknown";
  }

  private async _runAtMostOnce(
    completion: Completion,
    key: string,
    writer: AnswerWriter,
  ): Promise<results.Result<PipelineAnswer, errors.ShedtillerError & { ran: "no" | "unknown" }>> {
    let hasRunHere = false;
    const outcome = await this._structure.atMostOnceExecutor.run(key, {
      requestId: completion.requestId,
      deadlineMs: completion.deadlineMs,
      signal: completion.signal,
      run: async () => {
        hasRunHere = true;
        const answer = await this._run(completion, writer);
        return answer.ok ? results.Ok({ kind: "model" as const, ...answer.val }) : answer;
      },
    });
    if (outcome.err) return outcome;
    if (outcome.val.kind !== "model") return results.Err(new KeyReusedError());
    // The answer to an earlier call with this key has not been streamed to this caller yet.
    if (!hasRunHere)
      for (const token of outcome.val.tokens) writer.addToken(this._structure.tokenizer.decode(token));
    return results.Ok(outcome.val);
  }

  private async _run(completion: Completion, writer: AnswerWriter): Promise<CompletionResult> {
    const { limits, queues, timeline } = this._structure;
    const tokens = completion.promptTokens.length + completion.maxTokens;
    const arrivedAtMs = utils.monotonicMs();
    const permit = limits.tryAdmit(completion.account.name, completion.account, tokens);
    if (permit.err) return permit;
    const queued = await queues.acquire(completion.pipeline, {
      ...completion,
      account: completion.account.name,
      tokens,
    });
    if (queued.err) {
      permit.val.release(0);
      return queued;
    }
    timeline.add("admitted", {
      requestId: completion.requestId,
      subject: completion.pipeline.name,
      durationMs: queued.val.waitedMs,
    });
    return this._runAdmitted(completion, writer, permit.val, queued.val, arrivedAtMs);
  }

  private async _runAdmitted(
    completion: Completion,
    writer: AnswerWriter,
    account: AccountPermit,
    queue: AdmissionPermit,
    arrivedAtMs: number,
  ): Promise<CompletionResult> {
    const { pipeline: context, tokenizer } = this._structure;
    // The version in force may have changed while the request waited for admission.
    const pipeline =
      this._structure.configuration.getObject("pipeline", completion.pipeline.name) ?? completion.pipeline;
    const requestVersion = await this._acquireVersion(pipeline, completion);
    const recordToken = this._createTokenTimer(completion.rank, arrivedAtMs);
    const run = new PipelineRun(
      context,
      {
        requestId: completion.requestId,
        traits: getTraits(completion, pipeline),
        model: pipeline.name,
        version: requestVersion.initialVersion,
        versions: requestVersion,
        layerCount: pipeline.layerCount,
        promptTokens: completion.promptTokens,
        maxTokens: completion.maxTokens,
        priority: completion.rank,
        deadlineMs: completion.deadlineMs,
      },
      completion.signal,
    );
    let tokenCount = 0;
    try {
      return await run.run((token) => {
        tokenCount += 1;
        recordToken();
        writer.addToken(tokenizer.decode(token));
      });
    } finally {
      requestVersion.release();
      queue.release();
      account.release(tokenCount === 0 ? 0 : completion.promptTokens.length + tokenCount);
    }
  }

  /** Starts the request on the version that is served now, and lets it switch to another one if that version is replaced. */
  private async _acquireVersion(
    pipeline: intent.PipelineObject,
    completion: Completion,
  ): Promise<RequestVersion> {
    const { versions, configuration } = this._structure;
    const handle = await versions.acquire(pipeline, completion);
    let { release } = handle;
    return {
      initialVersion: handle.version,
      release: () => release(),
      isReplaced: (version) => configuration.getObject("pipeline", pipeline.name)?.version !== version,
      changeVersion: () => {
        const served = versions.getServed(configuration.getObject("pipeline", pipeline.name) ?? pipeline);
        release();
        release = versions.addRequest(pipeline.name, served);
        return served;
      },
    };
  }

  /** Returns a function that records the time to the first token, and at each further call the time since the last token. */
  private _createTokenTimer(rank: number, arrivedAtMs: number): () => void {
    const { metrics } = this._structure;
    const label = { rank: String(rank) };
    let lastMs = arrivedAtMs;
    let isFirst = true;
    return () => {
      const nowMs = utils.monotonicMs();
      const histogram = isFirst ? metrics.firstToken : metrics.tokenGap;
      histogram.observe(label, (nowMs - lastMs) / utils.msPerSecond);
      isFirst = false;
      lastMs = nowMs;
    };
  }
}

/** The idempotency key has been used for a call to a service. */
class KeyReusedError extends errors.ShedtillerError {
  readonly code = "outcome_unknown";
  readonly ran = "unknown" as const;

  constructor() {
    super("The idempotency key was used for a call of another kind.");
  }
}

/** Returns the properties by which a request may crash the engines that run it. */
function getTraits(completion: Completion, pipeline: intent.PipelineObject): RequestTraits {
  const digest = digestRequest({
    method: "POST",
    path: pipeline.name,
    accountName: completion.account.name,
    body: Buffer.from(completion.promptTokens.join(",")),
  });
  return [digest, ...getPartTraits(completion.promptPartIds)];
}
