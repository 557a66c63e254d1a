/** What an instance knows in favour of suspects: runs that survived their initial phase, and requests that completed. */
import {
  CompletedRequests,
  isPartTrait,
  knownHarmlessMs,
  SurvivedTraits,
  type ClearingMessage,
  type CrashLedger,
  type RequestIdentity,
  type RequestTraits,
} from "@shedtiller/crashes";
import type { TrackedRun } from "./TrackedRun.js";

/** Dependencies of {@link SurvivalRecord}. */
export interface SurvivalRecordStructure {
  readonly ledger: CrashLedger;
  /** Returns the runs that are in flight and have survived their initial phase, with the time at which they had. */
  readonly getSurvivedRuns: () => Iterable<readonly [run: TrackedRun, atMs: number]>;
  readonly nowMs: () => number;
}

/** Records survivals of this instance's runs, and applies them to the ledger when a crash makes their traits suspects. */
export class SurvivalRecord {
  private readonly _completed = new CompletedRequests();
  private readonly _survived = new SurvivedTraits();

  constructor(private readonly _structure: SurvivalRecordStructure) {}

  /** Records that a run with these parts of a prompt survived its initial phase. */
  noteSurvived(partTraits: RequestTraits, atMs: number): void {
    this._survived.add(partTraits, atMs);
  }

  /** Records a completed request, whose digest is computed only if it becomes a suspect. */
  noteCompleted(kind: string, identity: RequestIdentity, atMs: number): void {
    this._completed.add(kind, identity, atMs);
  }

  /** Returns whether a run with a trait survived its initial phase shortly before. */
  isKnownHarmless(trait: string): boolean {
    const { ledger, nowMs } = this._structure;
    const survivedAtMs = this._survived.get(trait);
    if (survivedAtMs !== undefined && nowMs() - survivedAtMs < knownHarmlessMs) return true;
    return ledger.evidence.isKnownHarmless(trait, nowMs());
  }

  /**
   * Applies what is known in favour of the suspects of a crash, before the crash is counted.
   * @returns The clearings to report to the peers. Most instances know the common parts of prompts as harmless, so that a part is reported
   * only if it has survived after the crash.
   */
  clearSuspects(crashAtMs: number, suspects: RequestTraits): ClearingMessage[] {
    const { ledger } = this._structure;
    const digests = suspects.filter((trait) => !isPartTrait(trait));
    const clearings = [...this._findSurvived(new Set(digests))].flatMap(
      ([digest, atMs]) => ledger.noteHarmless(digest, atMs) ?? [],
    );
    for (const trait of suspects) {
      const atMs = isPartTrait(trait) ? this._survived.get(trait) : undefined;
      if (atMs === undefined) continue;
      const isNews = atMs >= crashAtMs && !ledger.evidence.hasSurvivedSince(trait, crashAtMs);
      const cleared = ledger.noteHarmless(trait, atMs);
      if (cleared !== undefined && isNews) clearings.push(cleared);
    }
    return clearings;
  }

  /** Returns when runs of requests with these digests last survived their initial phase. */
  private _findSurvived(digests: ReadonlySet<string>): Map<string, number> {
    if (digests.size === 0) return new Map();
    const found = this._completed.find(digests);
    for (const [run, atMs] of this._structure.getSurvivedRuns()) {
      for (const trait of run.request.traits)
        if (digests.has(trait)) found.set(trait, Math.max(atMs, found.get(trait) ?? 0));
    }
    return found;
  }
}
