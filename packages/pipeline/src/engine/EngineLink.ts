/** Interface to model engines. */
import { errors, type results } from "@shedtiller/common";
import type {
  ApplyFrame,
  AppliedFrame,
  ExportedFrame,
  ImportFrame,
  ImportedFrame,
  RefusalReason,
  StageKey,
  StageStatusFrame,
} from "./engineFrames.js";

/** The engine replied that it did not run the call. */
export class EngineRefusedError extends errors.ShedtillerError {
  readonly code = "engine_refused";

  constructor(
    readonly endpoint: string,
    readonly reason: RefusalReason,
  ) {
    super(`The endpoint ${endpoint} did not run the call: ${reason}.`);
  }
}

/** Error of opening a link. After a `DeadlineError` the engine may be live, and the next attempt has a longer timeout. */
export type LinkError = errors.NotReachedError | errors.DeadlineError;

/** Error of a call to an engine. All but `ConnectionLostError` prove that the call did not run. */
export type EngineError = LinkError | errors.ConnectionLostError | EngineRefusedError;

/** Connection to one engine. Calls may overlap, and replies may arrive in any order. */
export abstract class EngineLink {
  /** Name of the endpoint. */
  abstract readonly endpoint: string;

  /** Whether the connection is open. */
  abstract readonly isOpen: boolean;

  /** Sends work and waits for its outcome. The call itself has no timeout; callers limit the wait. */
  abstract apply(frame: ApplyFrame): Promise<results.Result<AppliedFrame, EngineError>>;

  /** Requests the status of a stage. */
  abstract probe(key: StageKey): Promise<results.Result<StageStatusFrame, EngineError>>;

  /** Fetches a stage's KV cache. */
  abstract exportCache(key: StageKey): Promise<results.Result<ExportedFrame, EngineError>>;

  /** Loads a KV cache into the engine, as the start of a new attempt of a stage. */
  abstract importCache(frame: ImportFrame): Promise<results.Result<ImportedFrame, EngineError>>;

  /** Aborts a stage's work and frees its cache. Replies that arrive later are dropped. */
  abstract release(key: StageKey): void;
}

/** Provides links to engines, and opens them when needed. */
export abstract class EngineConnector {
  /** Returns an open link, or the error of opening one. */
  abstract getLink(endpoint: string, address: string): Promise<results.Result<EngineLink, LinkError>>;
}
