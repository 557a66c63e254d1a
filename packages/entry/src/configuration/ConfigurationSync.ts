/** Keeps the configuration at the highest offset that the log or any peer knows. */
import { utils } from "@shedtiller/common";
import {
  configurationStateSchema,
  configurationStream,
  recordVersion,
  type ConfigurationProjection,
  type SnapshotRecord,
} from "@shedtiller/intent";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import { logRecordSchema, type LogService } from "@shedtiller/logservice";
import * as zod from "zod";

const sinceTopic = "configuration";
const offsetField = "offset";
const newsTopic = "configuration-news";
const requestTimeoutMs = 2_000;
const snapshotTickMs = 5_000;
const snapshotAfterRecords = 500;
/** A snapshot is written when this part of the retention has gone since the last one. */
const retentionPart = 0.25;

const sinceSchema = zod.object({ offset: zod.number().int() });
const answerSchema = zod.object({
  offset: zod.number().int(),
  records: zod.array(logRecordSchema).optional(),
  state: configurationStateSchema.optional(),
});

/** What the sync works on. */
export interface ConfigurationSyncStructure {
  readonly fold: ConfigurationProjection;
  readonly membership: Membership;
  readonly log: LogService;
  readonly logRetentionMs: number;
}

/** Learns from peers, tells peers, and writes snapshots before records age out. */
export class ConfigurationSync {
  private readonly _asking = new Set<string>();
  private readonly _answered = new Set<string>();

  constructor(private readonly _structure: ConfigurationSyncStructure) {
    const { fold, membership } = _structure;
    membership.addHeartbeatField(offsetField, () => fold.offset);
    membership.onRequest(sinceTopic, (body) => this._answer(body));
    membership.onNotice(newsTopic, (body, from) => {
      if (typeof body === "number" && body > fold.offset) void this._ask(from);
    });
    membership.onLinked((peer) => void this._ask(peer));
    fold.onChanged(() => membership.notifyAll(newsTopic, fold.offset));
  }

  /** Offset that a peer last told, or -1. */
  getPeerOffset(name: string): number {
    const offset = this._structure.membership.getMember(name)?.heartbeat[offsetField];
    return typeof offset === "number" ? offset : -1;
  }

  /** Whether every peer that is linked now has been asked for its configuration. */
  get hasAskedPeers(): boolean {
    return this._structure.membership.getLinked().every((member) => this._answered.has(member.name));
  }

  /** Asks the peers that are ahead, and writes snapshots, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const ignore = (): void => undefined;
    await Promise.all([
      utils.repeat(utils.msPerSecond, signal, () => this._askAhead(), ignore),
      utils.repeat(snapshotTickMs, signal, () => this._keepSnapshot(), ignore),
    ]);
  }

  private _askAhead(): void {
    const { membership, fold } = this._structure;
    for (const member of membership.getLinked())
      if (this.getPeerOffset(member.name) > fold.offset) void this._ask(member);
  }

  private async _ask(peer: PeerIdentity): Promise<void> {
    if (this._asking.has(peer.name)) return;
    this._asking.add(peer.name);
    const { membership, fold } = this._structure;
    const reply = await membership.request(peer.name, sinceTopic, { offset: fold.offset }, requestTimeoutMs);
    this._asking.delete(peer.name);
    if (reply.err) return;
    const answer = answerSchema.safeParse(reply.val);
    if (!answer.success) return;
    this._answered.add(peer.name);
    if (answer.data.records !== undefined) fold.adoptRecords(answer.data.records);
    if (answer.data.state !== undefined) fold.adoptState(answer.data.state);
  }

  private _answer(body: unknown): unknown {
    const { fold } = this._structure;
    const asked = sinceSchema.safeParse(body);
    if (!asked.success) return undefined;
    const records = fold.getRecordsSince(asked.data.offset);
    if (records.ok) return { offset: fold.offset, records: records.val };
    return { offset: fold.offset, state: fold.state };
  }

  private async _keepSnapshot(): Promise<void> {
    const { fold, membership, log, logRetentionMs } = this._structure;
    if (fold.offset < 0 || fold.hasHistoryGap || !membership.ownsZoneRole("snapshot")) return;
    const last = fold.lastSnapshot;
    const ageMs = last === undefined ? Number.POSITIVE_INFINITY : utils.wallMs() - last.atMs;
    const isDue =
      ageMs > logRetentionMs * retentionPart || fold.offset - (last?.offset ?? -1) > snapshotAfterRecords;
    if (!isDue) return;
    const record: SnapshotRecord = { version: recordVersion, type: "snapshot", state: fold.state };
    await log.append(configurationStream, utils.newId(), record);
  }
}
