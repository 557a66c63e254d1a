/** The record of every layer application at every engine of a fleet, and the check of the promise on it. */

/** One call that an engine ran to its end. */
export interface Application {
  readonly requestId: string;
  readonly attempt: number;
  readonly endpoint: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly position: number;
  readonly count: number;
  /** Monotonic milliseconds when the call ended. */
  readonly atMs: number;
  /** Monotonic milliseconds when the engine first heard of the stream. */
  readonly streamBeganAtMs: number;
}

/** Applications of all engines of a fleet. */
export class ApplicationLog {
  private readonly _byRequest = new Map<string, Application[]>();

  add(application: Application): void {
    const known = this._byRequest.get(application.requestId);
    if (known === undefined) this._byRequest.set(application.requestId, [application]);
    else known.push(application);
  }

  /** Forgets everything, for long benches. */
  clear(): void {
    this._byRequest.clear();
  }

  getApplications(requestId: string): readonly Application[] {
    return this._byRequest.get(requestId) ?? [];
  }

  getRequestIds(): string[] {
    return [...this._byRequest.keys()];
  }

  /**
   * Checks that every layer ran once for each token and in order, within every attempt and so in the answered one,
   * and that stages which reached the last position cover all layers.
   * @returns What is wrong, one sentence each.
   */
  findFaults(requestId: string, layerCount: number, positions: number): string[] {
    const groups = groupByStage(this.getApplications(requestId));
    const faults = [...groups.values()].flatMap((group) => findGaps(requestId, group));
    const whole = [...groups.values()].filter((group) => getEnd(group) >= positions);
    if (!coversAllLayers(whole, layerCount))
      faults.push(`${requestId}: no attempt took all layers to position ${positions}.`);
    return faults;
  }
}

function groupByStage(applications: readonly Application[]): Map<string, Application[]> {
  const groups = new Map<string, Application[]>();
  for (const application of applications) {
    const key = `${application.attempt}|${application.firstLayer}|${application.endpoint}`;
    groups.set(key, [...(groups.get(key) ?? []), application]);
  }
  return groups;
}

function findGaps(requestId: string, group: readonly Application[]): string[] {
  const faults: string[] = [];
  let next = 0;
  for (const { attempt, endpoint, position, count } of group) {
    if (position !== next) {
      faults.push(
        `${requestId}: attempt ${attempt} at ${endpoint} ran position ${position} where ${next} was due.`,
      );
    }
    next = position + count;
  }
  return faults;
}

function getEnd(group: readonly Application[]): number {
  const last = group[group.length - 1];
  return last === undefined ? 0 : last.position + last.count;
}

function coversAllLayers(groups: readonly (readonly Application[])[], layerCount: number): boolean {
  const reached = new Set([0]);
  const ordered = [...groups].sort((a, b) => (a[0]?.firstLayer ?? 0) - (b[0]?.firstLayer ?? 0));
  for (const [first] of ordered)
    if (first !== undefined && reached.has(first.firstLayer)) reached.add(first.endLayer);
  return reached.has(layerCount);
}
