/** Records every layer execution at the engines of a fleet, and checks that each layer ran exactly once for each token. */

/** One completed call of an engine. */
export interface LayerExecution {
  readonly requestId: string;
  readonly attempt: number;
  readonly endpoint: string;
  readonly firstLayer: number;
  readonly endLayer: number;
  readonly position: number;
  readonly count: number;
  /** Monotonic time in milliseconds at which the call completed. */
  readonly atMs: number;
  /** Monotonic time in milliseconds at which the engine created the stream. */
  readonly streamStartedAtMs: number;
}

/** Stores the layer executions of all engines of a fleet by request. */
export class ExecutionLog {
  private readonly _byRequest = new Map<string, LayerExecution[]>();

  add(execution: LayerExecution): void {
    const existing = this._byRequest.get(execution.requestId);
    if (existing === undefined) this._byRequest.set(execution.requestId, [execution]);
    else existing.push(execution);
  }

  /** Removes all executions, which bounds the memory of long benchmarks. */
  clear(): void {
    this._byRequest.clear();
  }

  getExecutions(requestId: string): readonly LayerExecution[] {
    return this._byRequest.get(requestId) ?? [];
  }

  getRequestIds(): string[] {
    return [...this._byRequest.keys()];
  }

  /**
   * Checks that within every attempt, and therefore within the answered one, each layer ran once for each token and in order, and that
   * the stages which reached the last position cover all layers.
   * @returns One sentence for each violation.
   */
  findViolations(requestId: string, layerCount: number, positions: number): string[] {
    const groups = groupByStage(this.getExecutions(requestId));
    const violations = [...groups.values()].flatMap((group) => findOrderViolations(requestId, group));
    const completed = [...groups.values()].filter((group) => getEndPosition(group) >= positions);
    if (!coversAllLayers(completed, layerCount))
      violations.push(`${requestId}: no attempt ran all layers up to position ${positions}.`);
    return violations;
  }
}

function groupByStage(executions: readonly LayerExecution[]): Map<string, LayerExecution[]> {
  const groups = new Map<string, LayerExecution[]>();
  for (const execution of executions) {
    const key = `${execution.attempt}|${execution.firstLayer}|${execution.endpoint}`;
    groups.set(key, [...(groups.get(key) ?? []), execution]);
  }
  return groups;
}

function findOrderViolations(requestId: string, group: readonly LayerExecution[]): string[] {
  const violations: string[] = [];
  let next = 0;
  for (const { attempt, endpoint, position, count } of group) {
    if (position !== next) {
      violations.push(
        `${requestId}: attempt ${attempt} at ${endpoint} ran position ${position} where ${next} was expected.`,
      );
    }
    next = position + count;
  }
  return violations;
}

function getEndPosition(group: readonly LayerExecution[]): number {
  const last = group[group.length - 1];
  return last === undefined ? 0 : last.position + last.count;
}

function coversAllLayers(groups: readonly (readonly LayerExecution[])[], layerCount: number): boolean {
  const reached = new Set([0]);
  const ordered = [...groups].sort((a, b) => (a[0]?.firstLayer ?? 0) - (b[0]?.firstLayer ?? 0));
  for (const [first] of ordered)
    if (first !== undefined && reached.has(first.firstLayer)) reached.add(first.endLayer);
  return reached.has(layerCount);
}
