/** The fold of the configuration stream. Every instance that folds the same records holds the same configuration. */
import { errors, results, utils } from "@shedtiller/common";
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import type { ConfigurationObject, ObjectKind } from "./configurationObjects.js";
import * as records from "./configurationRecords.js";

const outcomesKept = 1_000;
const recordsKept = 1_000;

/** A record of a version or type that this code does not know. It is kept and reported, not passed over in silence. */
export interface UnknownRecord {
  readonly offset: number;
  readonly reason: string;
  readonly payload: unknown;
}

/** Holds the configuration in force. */
export class ConfigurationProjection implements LogSink {
  /** Records that could not be read; `status` shows them. */
  readonly unknownRecords: UnknownRecord[] = [];
  private _offset = -1;
  private readonly _objects = new Map<string, records.StoredObject>();
  private readonly _removedAt = new Map<string, Omit<records.StoredObject, "value">>();
  private readonly _outcomes = new utils.BoundedMap<records.PlanOutcome>(outcomesKept);
  /** Records that came while the state before them was missing. */
  private _held: LogRecord[] = [];
  private _isMissingPast = false;
  private _recent: LogRecord[] = [];
  private _listeners: ((changedKeys: readonly string[] | undefined) => void)[] = [];
  /** Offset of the last snapshot record seen, and when the log took it. */
  lastSnapshot: { offset: number; atMs: number } | undefined;

  /** All records up to this offset are in force. */
  get offset(): number {
    return this._offset;
  }

  /** Whether records aged out before they were read and no state has taken their place yet. */
  get hasHistoryGap(): boolean {
    return this._isMissingPast;
  }

  /** The whole state, for peers and snapshots. */
  get state(): records.ConfigurationState {
    return {
      offset: this._offset,
      objects: Object.fromEntries(this._objects),
      removedAt: Object.fromEntries(this._removedAt),
      outcomes: this._outcomes.getValues(),
    };
  }

  /** Objects with what set them, by key. */
  getStoredObjects(): ReadonlyMap<string, records.StoredObject> {
    return this._objects;
  }

  /** Calls `listener` after each change of the configuration in force, with the changed keys; undefined for all. */
  onChanged(listener: (changedKeys: readonly string[] | undefined) => void): void {
    this._listeners.push(listener);
  }

  getObject<K extends ObjectKind>(
    kind: K,
    name: string,
  ): Extract<ConfigurationObject, { kind: K }> | undefined {
    const held = this._objects.get(`${kind}/${name}`);
    return held?.value as Extract<ConfigurationObject, { kind: K }> | undefined;
  }

  getObjects<K extends ObjectKind>(kind: K): Extract<ConfigurationObject, { kind: K }>[] {
    const values = [...this._objects.values()].map((held) => held.value);
    return values.filter((value): value is Extract<ConfigurationObject, { kind: K }> => value.kind === kind);
  }

  /** Offset at which an object was last set or removed, for the base of a plan. */
  getBaseOffset(key: string): number {
    return this._getStanding(key)?.setAtOffset ?? records.absentOffset;
  }

  getOutcome(planId: string): records.PlanOutcome | undefined {
    return this._outcomes.get(planId);
  }

  acceptRecord(record: LogRecord): void {
    if (record.offset <= this._offset) return;
    const parsed = records.configurationRecordSchema.safeParse(record.payload);
    if (parsed.success && parsed.data.type === "snapshot")
      return this._acceptSnapshot(record, parsed.data.state);
    if (this._isMissingPast) {
      this._held.push(record);
      return;
    }
    const confirmation = parsed.success && parsed.data.type === "confirm" ? parsed.data : undefined;
    this._fold(record, confirmation);
    this._notify(confirmation?.changes.map((change) => change.key) ?? []);
  }

  skipTo(oldestOffset: number): void {
    if (oldestOffset > this._offset + 1) this._isMissingPast = true;
  }

  /** Takes a peer's state, if it is newer than ours. Tells whether it was taken. */
  adoptState(state: records.ConfigurationState): boolean {
    if (state.offset <= this._offset) return false;
    this._replaceState(state);
    return true;
  }

  /** Takes a peer's records, where they follow on without a gap. Tells whether anything was taken. */
  adoptRecords(recent: readonly LogRecord[]): boolean {
    const before = this._offset;
    for (const record of recent) if (record.offset === this._offset + 1) this.acceptRecord(record);
    return this._offset > before;
  }

  /** Records after `offset`, or an error where some are no longer kept and the state must be sent instead. */
  getRecordsSince(offset: number): results.Result<LogRecord[], errors.InvalidInputError> {
    const first = this._recent[0];
    if (offset >= this._offset) return results.Ok([]);
    if (first === undefined || first.offset > offset + 1) {
      return results.Err(new errors.InvalidInputError("offset", "records are no longer kept"));
    }
    return results.Ok(this._recent.filter((record) => record.offset > offset));
  }

  private _acceptSnapshot(record: LogRecord, state: records.ConfigurationState): void {
    this.lastSnapshot = { offset: record.offset, atMs: record.atMs };
    if (this._isMissingPast) {
      const held = this._held;
      const firstHeldOffset = held[0]?.offset ?? record.offset;
      // A snapshot older than what is held would leave a gap between the two.
      if (firstHeldOffset > state.offset + 1) {
        held.push(record);
        return;
      }
      this._replaceState(state);
      for (const later of held) this._foldHeld(later);
      this._notify(undefined);
    }
    this._remember(record);
    this._offset = record.offset;
    this._notify([]);
  }

  private _foldHeld(record: LogRecord): void {
    if (record.offset <= this._offset) return;
    const parsed = records.confirmRecordSchema.safeParse(record.payload);
    this._fold(record, parsed.success ? parsed.data : undefined);
  }

  private _replaceState(state: records.ConfigurationState): void {
    this._offset = state.offset;
    this._objects.clear();
    this._removedAt.clear();
    for (const [key, held] of Object.entries(state.objects)) this._objects.set(key, held);
    for (const [key, removed] of Object.entries(state.removedAt)) this._removedAt.set(key, removed);
    for (const outcome of state.outcomes) this._outcomes.set(outcome.planId, outcome);
    this._isMissingPast = false;
    this._held = [];
    this._recent = [];
    this._notify(undefined);
  }

  private _fold(record: LogRecord, confirmation: records.ConfirmRecord | undefined): void {
    if (confirmation === undefined) this._keepUnknown(record);
    else if (this.getOutcome(confirmation.planId) === undefined) this._decide(record.offset, confirmation);
    this._remember(record);
    this._offset = record.offset;
  }

  private _remember(record: LogRecord): void {
    this._recent.push(record);
    if (this._recent.length > recordsKept) this._recent.shift();
  }

  private _keepUnknown(record: LogRecord): void {
    const version = (record.payload as { version?: unknown } | null)?.version;
    const reason =
      version === records.recordVersion ? "does not match its schema" : `has version ${String(version)}`;
    this.unknownRecords.push({ offset: record.offset, reason, payload: record.payload });
  }

  /** The first confirmation in log order wins; one that touches an object changed since its plan is rejected. */
  private _decide(offset: number, record: records.ConfirmRecord): void {
    const overtaken = record.changes.find((change) => this.getBaseOffset(change.key) !== change.baseOffset);
    const outcome = { planId: record.planId, operator: record.operator, offset };
    if (overtaken !== undefined) {
      const by = this._getStanding(overtaken.key);
      this._addOutcome({
        ...outcome,
        isAccepted: false,
        overtakenKey: overtaken.key,
        overtakenBy: by?.setByPlan,
        overtakenByOperator: by?.setByOperator,
      });
      return;
    }
    for (const change of record.changes) this._apply(offset, record, change);
    this._addOutcome({ ...outcome, isAccepted: true });
  }

  private _apply(offset: number, record: records.ConfirmRecord, change: records.Change): void {
    const standing = { setAtOffset: offset, setByPlan: record.planId, setByOperator: record.operator };
    this._objects.delete(change.key);
    this._removedAt.delete(change.key);
    if (change.value === null) this._removedAt.set(change.key, standing);
    else this._objects.set(change.key, { value: change.value, ...standing });
  }

  private _getStanding(key: string): Omit<records.StoredObject, "value"> | undefined {
    return this._objects.get(key) ?? this._removedAt.get(key);
  }

  private _addOutcome(outcome: records.PlanOutcome): void {
    this._outcomes.set(outcome.planId, outcome);
  }

  private _notify(changedKeys: readonly string[] | undefined): void {
    for (const listener of this._listeners) listener(changedKeys);
  }
}
