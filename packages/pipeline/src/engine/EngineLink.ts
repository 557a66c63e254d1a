/** The one narrow interface to a model engine. */
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

/** The engine itself said that it did not run a frame. */
export class EngineRefusedError extends errors.ShedtillerError {
  readonly code = "engine_refused";

  constructor(
    readonly endpoint: string,
    readonly reason: RefusalReason,
  ) {
    super(`The endpoint ${endpoint} did not run the call: ${reason}.`);
  }
}

/** Why there is no link. After a `DeadlineError` the engine may live, and another try waits longer. */
export type LinkError = errors.NotReachedError | errors.DeadlineError;

/** Why a call to an engine has no outcome. All but `ConnectionLostError` prove that it did not run. */
export type EngineError = LinkError | errors.ConnectionLostError | EngineRefusedError;

/** A link to one engine. Calls may overlap; replies may come in any order. */
export abstract class EngineLink {
  /** Name of the endpoint. */
  abstract readonly endpoint: string;

  /** Whether the link stands. */
  abstract readonly isOpen: boolean;

  /** Sends work and waits for its outcome, however long that takes; the caller watches the time. */
  abstract apply(frame: ApplyFrame): Promise<results.Result<AppliedFrame, EngineError>>;

  /** Asks where a stage stands. */
  abstract probe(key: StageKey): Promise<results.Result<StageStatusFrame, EngineError>>;

  /** Fetches a stage's KV cache. */
  abstract exportCache(key: StageKey): Promise<results.Result<ExportedFrame, EngineError>>;

  /** Puts a KV cache into place, as the beginning of a new attempt of a stage. */
  abstract importCache(frame: ImportFrame): Promise<results.Result<ImportedFrame, EngineError>>;

  /** Gives up a stage: stops its work and frees its cache. Replies that still come are dropped. */
  abstract release(key: StageKey): void;
}

/** Gives links to engines, opening them when needed. */
export abstract class EngineConnector {
  /** Gives an open link, or why none could be opened. */
  abstract getLink(endpoint: string, address: string): Promise<results.Result<EngineLink, LinkError>>;
}
