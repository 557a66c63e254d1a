/** One admission queue for each pipeline, sized by this instance's share of the pipeline's streams. */
import { results, utils } from "@shedtiller/common";
import {
  AdmissionQueue,
  type Admission,
  type AdmissionPermit,
  type AdmissionRefusedError,
  type AdmissionRequest,
} from "@shedtiller/admission";
import type { PipelineObject } from "@shedtiller/intent";
import type { EndpointDirectory } from "@shedtiller/routing";
import type { PipelineDemand, PipelineDemands } from "./feeds/PipelineDemands.js";
import { getServedVersion } from "./orders/servedVersions.js";

/** Streams for each slot: while some wait for a slot at the next stage, the slots stay full. */
const streamsPerSlot = 1.75;
const refreshMs = 100;
const limitCacheMs = 100;
const limitGrowthPerSecond = 2;

/** Makes a queue with a given limit; the bench puts another kind in its place. */
export type QueueFactory = (getLimit: () => number) => Admission;

/** Holds the queues. */
export class ModelQueues {
  private readonly _queues = new Map<string, Admission>();
  /** The newest form of each pipeline, by its name: its version changes while its queue stays. */
  private readonly _pipelines = new Map<string, PipelineObject>();
  private readonly _limits = new Map<string, { streams: number; atMs: number }>();
  private _demands: PipelineDemands | undefined;
  private _getInstanceCount: () => number = () => 1;

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _createQueue: QueueFactory = (getLimit) => new AdmissionQueue(getLimit),
  ) {}

  /** Streams under way over all pipelines. */
  get active(): number {
    return utils.getSum([...this._queues.values()].map((queue) => queue.active));
  }

  /** Requests that wait over all pipelines. */
  get waiting(): number {
    return utils.getSum([...this._queues.values()].map((queue) => queue.waiting));
  }

  /** Shares are computed with the demands of the others from here on. */
  setDemands(demands: PipelineDemands, getInstanceCount: () => number): void {
    this._demands = demands;
    this._getInstanceCount = getInstanceCount;
  }

  /** This instance's own demands. */
  getOwnDemands(): PipelineDemand[] {
    return [...this._queues].map(([model, queue]) => [model, queue.active + queue.waiting]);
  }

  /** Waits for the right to run a request of a pipeline. */
  acquire(
    pipeline: PipelineObject,
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>> {
    this._pipelines.set(pipeline.name, pipeline);
    const known = this._queues.get(pipeline.name) ?? this._addQueue(pipeline);
    return known.acquire(request);
  }

  /** Lets more in when shares have grown, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const refresh = (): void => {
      for (const queue of this._queues.values()) if (queue instanceof AdmissionQueue) queue.refresh();
    };
    await utils.repeat(refreshMs, signal, refresh, () => undefined);
  }

  private _addQueue(pipeline: PipelineObject): Admission {
    const queue = this._createQueue(() => this._getLimit(this._pipelines.get(pipeline.name) ?? pipeline));
    this._queues.set(pipeline.name, queue);
    return queue;
  }

  private _getLimit(pipeline: PipelineObject): number {
    const nowMs = utils.monotonicMs();
    const known = this._limits.get(pipeline.name);
    if (known !== undefined && nowMs - known.atMs < limitCacheMs) return known.streams;
    const all = this._getTotalStreams(pipeline);
    const share = this._demands?.getShare(pipeline.name, all) ?? all;
    // What the others want is heard late. In a rush each begins with an equal part, and takes more of what they leave
    // only step by step, so that all together never take much more than there is.
    const equal = all / this._getInstanceCount();
    const elapsedMs = known === undefined ? 0 : nowMs - known.atMs;
    const grown = Math.max(
      equal,
      (known?.streams ?? 0) * limitGrowthPerSecond ** (elapsedMs / utils.msPerSecond),
    );
    const streams = Math.max(1, Math.min(share, grown));
    this._limits.set(pipeline.name, { streams, atMs: nowMs });
    return streams;
  }

  /** Streams that keep all engines of a pipeline busy. */
  private _getTotalStreams(pipeline: PipelineObject): number {
    const version = getServedVersion(this._directory, pipeline);
    const engines = this._directory.getEngines(pipeline.name, version);
    return utils.getSum(engines.map((engine) => engine.report.slots)) * streamsPerSlot;
  }
}
