/** Admission queues by pipeline. */
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

/** Streams admitted per slot of an engine. The factor is above 1 so that slots stay full while streams wait at the next stage. */
const streamsPerSlot = 1.75;
const refreshIntervalMs = 100;
const limitCacheMs = 100;
/** Factor by which the limit of a queue may grow in a second. */
const limitGrowthPerSecond = 2;

/** Creates a queue with the given limit. Benchmarks supply a factory for another kind of queue. */
export type QueueFactory = (getLimit: () => number) => Admission;

/** Admits requests through one queue per pipeline, limited to this instance's share of the pipeline's streams. */
export class PipelineQueues {
  private readonly _queues = new Map<string, Admission>();
  /** Newest configuration of each pipeline, by name. A pipeline's version changes while its queue stays. */
  private readonly _pipelines = new Map<string, PipelineObject>();
  private readonly _limits = new Map<string, { streams: number; atMs: number }>();
  private _demands: PipelineDemands | undefined;
  private _getInstanceCount: () => number = () => 1;

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _createQueue: QueueFactory = (getLimit) => new AdmissionQueue(getLimit),
  ) {}

  /** Number of admitted streams in flight, over all pipelines. */
  get active(): number {
    return utils.getSum([...this._queues.values()].map((queue) => queue.active));
  }

  /** Number of requests that wait in the queues, over all pipelines. */
  get waiting(): number {
    return utils.getSum([...this._queues.values()].map((queue) => queue.waiting));
  }

  /** Sets the demands of the other instances, from which shares are computed. */
  setDemands(demands: PipelineDemands, getInstanceCount: () => number): void {
    this._demands = demands;
    this._getInstanceCount = getInstanceCount;
  }

  /** Returns this instance's own demands. */
  getOwnDemands(): PipelineDemand[] {
    return [...this._queues].map(([model, queue]) => [model, queue.active + queue.waiting]);
  }

  /** Waits until a request of a pipeline is admitted or rejected. */
  acquire(
    pipeline: PipelineObject,
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>> {
    this._pipelines.set(pipeline.name, pipeline);
    const queue = this._queues.get(pipeline.name) ?? this._addQueue(pipeline);
    return queue.acquire(request);
  }

  /** Admits waiting requests when shares have grown, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const refresh = (): void => {
      for (const queue of this._queues.values()) if (queue instanceof AdmissionQueue) queue.refresh();
    };
    await utils.repeat(refreshIntervalMs, signal, refresh, () => undefined);
  }

  private _addQueue(pipeline: PipelineObject): Admission {
    const queue = this._createQueue(() => this._getLimit(this._pipelines.get(pipeline.name) ?? pipeline));
    this._queues.set(pipeline.name, queue);
    return queue;
  }

  private _getLimit(pipeline: PipelineObject): number {
    const nowMs = utils.monotonicMs();
    const cached = this._limits.get(pipeline.name);
    if (cached !== undefined && nowMs - cached.atMs < limitCacheMs) return cached.streams;
    const totalStreams = this._getTotalStreams(pipeline);
    const share = this._demands?.getShare(pipeline.name, totalStreams) ?? totalStreams;
    // The demands of other instances arrive late. In a burst, each instance starts with an equal share and claims unused
    // streams of the others only gradually, so that all instances together never admit much more than the total.
    const equalShare = totalStreams / this._getInstanceCount();
    const elapsedMs = cached === undefined ? 0 : nowMs - cached.atMs;
    const grown = Math.max(
      equalShare,
      (cached?.streams ?? 0) * limitGrowthPerSecond ** (elapsedMs / utils.msPerSecond),
    );
    const streams = Math.max(1, Math.min(share, grown));
    this._limits.set(pipeline.name, { streams, atMs: nowMs });
    return streams;
  }

  /** Returns the number of streams that keeps all engines of a pipeline busy. */
  private _getTotalStreams(pipeline: PipelineObject): number {
    const version = getServedVersion(this._directory, pipeline);
    const engines = this._directory.getEngines(pipeline.name, version);
    return utils.getSum(engines.map((engine) => engine.report.slots)) * streamsPerSlot;
  }
}
