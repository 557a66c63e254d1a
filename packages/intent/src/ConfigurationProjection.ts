/** Projection of the configuration stream. Instances that apply the same records have the same configuration. */
import { errors, results, utils } from "@shedtiller/common";
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import type { ConfigurationObject, ObjectKind } from "./configurationObjects.js";
import * as records from "./configurationRecords.js";

const maxOutcomes = 1_000;
const maxRecentRecords = 1_000;

/** A record with an unsupported version or type. It is stored and reported instead of being ignored silently. */
export interface UnknownRecord {
  readonly offset: number;
  readonly reason: string;
  readonly payload: unknown;
}

/** Derives the current configuration and the outcomes of plans from the records of the stream. */
export class ConfigurationProjection implements LogSink {
  /** Records that could not be parsed; the `status` command shows them. */
  readonly unknownRecords: UnknownRecord[] = [];
  private _offset = -1;
  private readonly _objects = new Map<string, records.StoredObject>();
  private readonly _removedAt = new Map<string, Omit<records.StoredObject, "value">>();
  private readonly _outcomes = new utils.BoundedMap<records.PlanOutcome>(maxOutcomes);
  /** Records received while earlier ones were missing; they are applied after a snapshot. */
  private _buffered: LogRecord[] = [];
  private _hasHistoryGap = false;
  private _recent: LogRecord[] = [];
  private _listeners: ((changedKeys: readonly string[] | undefined) => void)[] = [];
  /** Offset of the last snapshot record read, and the time at which the log stored it. */
  lastSnapshot: { offset: number; atMs: number } | undefined;

  /** Offset of the last applied record; -1 if there is none. */
  get offset(): number {
    return this._offset;
  }

  /** Whether records expired from the log before they were read, and no snapshot or peer state has replaced them yet. */
  get hasHistoryGap(): boolean {
    return this._hasHistoryGap;
  }

  /** The full state, for peers and snapshots. */
  get state(): records.ConfigurationState {
    return {
      offset: this._offset,
      objects: Object.fromEntries(this._objects),
      removedAt: Object.fromEntries(this._removedAt),
      outcomes: this._outcomes.getValues(),
    };
  }

  /** Returns the objects by key, each with the plan and operator that set it. */
  getStoredObjects(): ReadonlyMap<string, records.StoredObject> {
    return this._objects;
  }

  /** Calls `listener` after each change of the configuration with the changed keys; undefined means that any key may have changed. */
  onChanged(listener: (changedKeys: readonly string[] | undefined) => void): void {
    this._listeners.push(listener);
  }

  getObject<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Extract<ConfigurationObject, { kind: K }> | undefined {
    const stored = this._objects.get(`${kind}/${name}`);
    return stored?.value as Extract<ConfigurationObject, { kind: K }> | undefined;
  }

  getObjects<K extends ObjectKind>(kind: K): Extract<ConfigurationObject, { kind: K }>[] {
    const values = [...this._objects.values()].map((stored) => stored.value);
    return values.filter((value): value is Extract<ConfigurationObject, { kind: K }> => value.kind === kind);
  }

  /** Returns the offset at which an object was last set or removed; a plan records it as its base. */
  getBaseOffset(key: string): number {
    return this._getLastChange(key)?.setAtOffset ?? records.absentOffset;
  }

  getOutcome(planId: string): records.PlanOutcome | undefined {
    return this._outcomes.get(planId);
  }

  acceptRecord(record: LogRecord): void {
    if (record.offset <= this._offset) return;
    const parsed = records.configurationRecordSchema.safeParse(record.payload);
    if (parsed.success && parsed.data.type === "snapshot")
      return this._acceptSnapshot(record, parsed.data.state);
    if (this._hasHistoryGap) {
      this._buffered.push(record);
      return;
    }
    const confirmation = parsed.success && parsed.data.type === "confirm" ? parsed.data : undefined;
    this._applyRecord(record, confirmation);
    this._notify(confirmation?.changes.map((change) => change.key) ?? []);
  }

  skipTo(oldestOffset: number): void {
    if (oldestOffset > this._offset + 1) this._hasHistoryGap = true;
  }

  /** Replaces the state by a peer's if that is newer; returns whether it was replaced. */
  adoptState(state: records.ConfigurationState): boolean {
    if (state.offset <= this._offset) return false;
    this._replaceState(state);
    return true;
  }

  /** Applies the records of a peer that follow the local ones without a gap; returns whether any was applied. */
  adoptRecords(recent: readonly LogRecord[]): boolean {
    const before = this._offset;
    for (const record of recent) if (record.offset === this._offset + 1) this.acceptRecord(record);
    return this._offset > before;
  }

  /** Returns the records after `offset`, or an error if some of them are no longer stored and the full state must be sent instead. */
  getRecordsSince(offset: number): results.Result<LogRecord[], errors.InvalidInputError> {
    const first = this._recent[0];
    if (offset >= this._offset) return results.Ok([]);
    if (first === undefined || first.offset > offset + 1) {
      return results.Err(new errors.InvalidInputError("offset", "records are no longer stored"));
    }
    return results.Ok(this._recent.filter((record) => record.offset > offset));
  }

  private _acceptSnapshot(record: LogRecord, state: records.ConfigurationState): void {
    this.lastSnapshot = { offset: record.offset, atMs: record.atMs };
    if (this._hasHistoryGap) {
      const buffered = this._buffered;
      const firstBufferedOffset = buffered[0]?.offset ?? record.offset;
      // If the snapshot ends before the buffered records begin, the records in between are missing.
      if (firstBufferedOffset > state.offset + 1) {
        buffered.push(record);
        return;
      }
      this._replaceState(state);
      for (const later of buffered) this._applyBuffered(later);
      this._notify(undefined);
    }
    this._addRecent(record);
    this._offset = record.offset;
    this._notify([]);
  }

  private _applyBuffered(record: LogRecord): void {
    if (record.offset <= this._offset) return;
    const parsed = records.confirmRecordSchema.safeParse(record.payload);
    this._applyRecord(record, parsed.success ? parsed.data : undefined);
  }

  private _replaceState(state: records.ConfigurationState): void {
    this._offset = state.offset;
    this._objects.clear();
    this._removedAt.clear();
    for (const [key, stored] of Object.entries(state.objects)) this._objects.set(key, stored);
    for (const [key, removed] of Object.entries(state.removedAt)) this._removedAt.set(key, removed);
    for (const outcome of state.outcomes) this._outcomes.set(outcome.planId, outcome);
    this._hasHistoryGap = false;
    this._buffered = [];
    this._recent = [];
    this._notify(undefined);
  }

  private _applyRecord(record: LogRecord, confirmation: records.ConfirmRecord | undefined): void {
    if (confirmation === undefined) this._addUnknown(record);
    else if (this.getOutcome(confirmation.planId) === undefined)
      this._decidePlan(record.offset, confirmation);
    this._addRecent(record);
    this._offset = record.offset;
  }

  private _addRecent(record: LogRecord): void {
    this._recent.push(record);
    if (this._recent.length > maxRecentRecords) this._recent.shift();
  }

  private _addUnknown(record: LogRecord): void {
    const version = (record.payload as { version?: unknown } | null)?.version;
    const reason =
      version === records.recordVersion ? "does not match its schema" : `has version ${String(version)}`;
    this.unknownRecords.push({ offset: record.offset, reason, payload: record.payload });
  }

  /** Accepts a plan, or rejects it if one of its objects was changed after the plan was made: the first confirmation in the log wins. */
  private _decidePlan(offset: number, record: records.ConfirmRecord): void {
    const overtaken = record.changes.find((change) => this.getBaseOffset(change.key) !== change.baseOffset);
    const outcome = { planId: record.planId, operator: record.operator, offset };
    if (overtaken !== undefined) {
      const lastChange = this._getLastChange(overtaken.key);
      this._addOutcome({
        ...outcome,
        isAccepted: false,
        overtakenKey: overtaken.key,
        overtakenBy: lastChange?.setByPlan,
        overtakenByOperator: lastChange?.setByOperator,
      });
      return;
    }
    for (const change of record.changes) this._applyChange(offset, record, change);
    this._addOutcome({ ...outcome, isAccepted: true });
  }

  private _applyChange(offset: number, record: records.ConfirmRecord, change: records.Change): void {
    const origin = { setAtOffset: offset, setByPlan: record.planId, setByOperator: record.operator };
    this._objects.delete(change.key);
    this._removedAt.delete(change.key);
    if (change.value === null) this._removedAt.set(change.key, origin);
    else this._objects.set(change.key, { value: change.value, ...origin });
  }

  private _getLastChange(key: string): Omit<records.StoredObject, "value"> | undefined {
    return this._objects.get(key) ?? this._removedAt.get(key);
  }

  private _addOutcome(outcome: records.PlanOutcome): void {
    this._outcomes.set(outcome.planId, outcome);
  }

  private _notify(changedKeys: readonly string[] | undefined): void {
    for (const listener of this._listeners) listener(changedKeys);
  }
}
