/** State and dependencies that all requests of one instance share. */
import { NoCrashQuarantine, type CrashQuarantine } from "./CrashQuarantine.js";
import type { utils } from "@shedtiller/common";
import type { ChainChooser, EndpointDirectory } from "@shedtiller/routing";
import type { Timeline } from "@shedtiller/timeline";
import type { EngineConnector } from "../engine/EngineLink.js";
import { defaultSilenceOptions, SilenceDetector, type SilenceOptions } from "../engine/SilenceDetector.js";
import { HistoryBudget } from "./BoundaryHistory.js";

const defaultHistoryLimitBytes = 64 * 1024 * 1024;

/** Counters for the metrics. */
export interface PipelineCounters {
  probes: number;
  /** Stages that were replaced: lost ones, and silent ones whose replica replied first. */
  stagesLost: number;
  /** Stages whose engines fell silent. */
  stagesSilent: number;
  /** Stages whose silent engines answered while the stage was kept. */
  stagesResumed: number;
  stagesRebuilt: number;
  chainsRestarted: number;
  strayReplies: number;
  tokens: number;
}

/** Dependencies and options of {@link PipelineContext}. */
export interface PipelineContextStructure {
  readonly availabilityZone: string;
  readonly directory: EndpointDirectory;
  readonly connector: EngineConnector;
  readonly chooser: ChainChooser;
  readonly timeline: Timeline;
  readonly random: utils.RandomSource;
  readonly silence?: SilenceOptions;
  readonly historyLimitBytes?: number;
  /** Returns the number of instances that share the engines, including this one. */
  readonly getInstanceCount?: () => number;
  readonly crashes?: CrashQuarantine;
}

/** Provides the dependencies of a run, and the silence detector of each endpoint. */
export class PipelineContext {
  readonly availabilityZone: string;
  readonly directory: EndpointDirectory;
  readonly connector: EngineConnector;
  readonly chooser: ChainChooser;
  readonly timeline: Timeline;
  readonly random: utils.RandomSource;
  readonly historyBudget: HistoryBudget;
  readonly getInstanceCount: () => number;
  readonly crashes: CrashQuarantine;
  readonly counters: PipelineCounters = {
    probes: 0,
    stagesLost: 0,
    stagesSilent: 0,
    stagesResumed: 0,
    stagesRebuilt: 0,
    chainsRestarted: 0,
    strayReplies: 0,
    tokens: 0,
  };
  private readonly _silence: SilenceOptions;
  private readonly _detectors = new Map<string, SilenceDetector>();

  constructor(structure: PipelineContextStructure) {
    this.availabilityZone = structure.availabilityZone;
    this.directory = structure.directory;
    this.connector = structure.connector;
    this.chooser = structure.chooser;
    this.timeline = structure.timeline;
    this.random = structure.random;
    this.crashes = structure.crashes ?? new NoCrashQuarantine();
    this.getInstanceCount = structure.getInstanceCount ?? (() => 1);
    this._silence = structure.silence ?? defaultSilenceOptions;
    this.historyBudget = new HistoryBudget(structure.historyLimitBytes ?? defaultHistoryLimitBytes);
  }

  /** Returns the silence detector of an endpoint, with the response times observed so far. */
  getDetector(endpoint: string): SilenceDetector {
    const known = this._detectors.get(endpoint);
    if (known !== undefined) return known;
    const detector = new SilenceDetector(this._silence);
    this._detectors.set(endpoint, detector);
    return detector;
  }
}
